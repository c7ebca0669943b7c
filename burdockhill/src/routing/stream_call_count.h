#ifndef BURDOCKHILL_SRC_ROUTING_STREAM_CALL_COUNT_H_
#define BURDOCKHILL_SRC_ROUTING_STREAM_CALL_COUNT_H_

#include <algorithm>

namespace burdockhill {

// Counts the calls to engines for one stream, to find how many of them are
// retries, which the retry budget has to allow.
//
// Every call is a retry but the first, whether the engine runs or rejects it.
// One prefill call does not count as a call: the first one that an engine has
// answered with the computed prompt.
class StreamCallCount {
 public:
  void BeginPrefill() { ++m_calls; }
  void BeginDecode() { ++m_calls; }
  void RecordPrefillDone() {
    if (m_has_prefill) return;
    m_has_prefill = true;
    --m_calls;
  }
  // The latest call did not reach the engine.
  void RecordNotSent() { --m_calls; }

  // Retries to be paid for before a decode call.
  int DueBeforeDecode() const { return std::max(0, m_calls - m_paid); }
  // Before a prefill call, with the decode call that follows it if it succeeds.
  int DueBeforePrefill() const {
    return std::max(0, m_calls + (m_has_prefill ? 1 : 0) - m_paid);
  }
  void RecordPaid(int retries) { m_paid += retries; }

 private:
  int m_calls = 0;  // Without the prefill call that does not count.
  int m_paid = 0;
  bool m_has_prefill = false;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_STREAM_CALL_COUNT_H_

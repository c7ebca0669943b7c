#ifndef BURDOCKHILL_SRC_GATEWAY_SHUTDOWN_H_
#define BURDOCKHILL_SRC_GATEWAY_SHUTDOWN_H_

#include "burdockhill/src/base/clock.h"

namespace burdockhill {

// Decides which requests an entry takes after it was asked to stop, and when
// its process ends. At first the load balancer still sends callers, so that
// nearly all requests are taken; then those whose deadline allows an answer;
// in the end none.
class Shutdown {
 public:
  // The process is killed `stop_time` after `now`.
  void Begin(TimePoint now, Duration stop_time);
  bool HasBegun() const { return m_began_at != TimePoint(); }

  // Whether a request is taken that ends at `deadline` at the latest, and
  // normally after `expected_time`.
  bool Takes(TimePoint now, TimePoint deadline, Duration expected_time) const;
  // Whether the load balancer has had time to send callers to other entries.
  bool CallersAreElsewhere(TimePoint now) const;
  // Each request that was taken has an answer by then.
  TimePoint AnswerDeadline() const { return m_answer_deadline; }
  // Whether the process ends now. `idle`: nothing is received, in progress or
  // unsent. Call once per iteration of the event loop.
  bool IsOver(TimePoint now, bool idle);
  // Waits anew for requests, of connections that were accepted last.
  void RestartQuietTime(TimePoint now) { m_idle_since = now; }

 private:
  TimePoint m_began_at{};
  TimePoint m_balancer_deadline{};
  TimePoint m_answer_deadline{};
  TimePoint m_end{};
  TimePoint m_idle_since{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_SHUTDOWN_H_

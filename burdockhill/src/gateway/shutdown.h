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
  // Whether the process accepts no more connections from now on, so that none
  // is accepted that its end would cut. `idle`: nothing is received, in
  // progress or unsent. Call once per iteration of the event loop.
  bool StopsListening(TimePoint now, bool idle);
  // Whether the process ends now. Call after StopsListening.
  bool IsOver(TimePoint now) const;

 private:
  TimePoint m_began_at{};
  TimePoint m_balancer_deadline{};
  TimePoint m_answer_deadline{};
  TimePoint m_listen_deadline{};
  TimePoint m_end{};
  TimePoint m_idle_since{};
  bool m_stopped_listening = false;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_SHUTDOWN_H_

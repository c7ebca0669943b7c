#ifndef BURDOCKHILL_SRC_TRANSPORT_EVENT_LOOP_H_
#define BURDOCKHILL_SRC_TRANSPORT_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "burdockhill/src/base/clock.h"

struct lws_context;

namespace burdockhill {

// The single loop of a process. Servers, clients and peer connections are
// created on it and must be destroyed before it.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Waits for I/O or for the wake-up time, and runs the callbacks that are due.
  void RunOnce();

  // Lets RunOnce begin only this long after the one before began. With many
  // connections each wait for I/O costs time by their number, so a busy
  // process that waits less often gets more done a wait.
  void SetMinIterationInterval(Duration pace) {
    m_min_iteration_interval = pace;
  }

  // Makes RunOnce return after at most `delay`; replaces an earlier call.
  void WakeAfter(Duration delay);

  // Makes RunOnce return soon. Safe in a signal handler.
  void Interrupt();

  // For the other classes of this module.
  lws_context* Context() const { return m_context; }

 private:
  struct Timer;
  SystemClock m_clock;
  Duration m_min_iteration_interval{0};
  TimePoint m_last_iteration_start{};
  std::unique_ptr<Timer> m_timer;
  lws_context* m_context = nullptr;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TRANSPORT_EVENT_LOOP_H_

#ifndef BURDOCKHILL_SRC_TRANSPORT_EVENT_LOOP_H_
#define BURDOCKHILL_SRC_TRANSPORT_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "burdockhill/src/base/buffer_budget.h"
#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/table.h"
#include "burdockhill/src/transport/connection_limit.h"

struct lws_context;

namespace burdockhill {

// Identifies a call that EventLoop::CallAfter has scheduled.
using TimerId = NumericId<struct TimerIdTag>;

// The event loop of a process. Servers, clients and peer connections are
// created on it and must be destroyed before it.
class EventLoop {
 public:
  // Throws std::runtime_error if libwebsockets cannot be initialized.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs one iteration: waits for I/O or the wake-up time, then runs the
  // callbacks that are due.
  void RunOnce();

  // Sets the minimum time between the starts of two iterations; zero for none.
  // The cost of each wait for I/O grows with the number of connections, so a
  // busy process with many of them is faster if it handles more I/O per
  // iteration.
  void SetMinIterationInterval(Duration interval) {
    m_min_iteration_interval = interval;
  }

  // Makes RunOnce return after at most `delay`. Replaces the delay of an
  // earlier call.
  void WakeAfter(Duration delay);

  // Calls `action` once from RunOnce, after `delay`.
  TimerId CallAfter(Duration delay, std::function<void()> action);
  // Ignores an id that is invalid or whose action was called.
  void CancelTimer(TimerId id);

  // Ends the wait for I/O of the current or next RunOnce. May be called from a
  // signal handler.
  void Interrupt();

  // What the connections on this loop may keep together.
  BufferBudget& Buffers() { return m_buffers; }

  // How many connections may be open on this loop.
  ConnectionLimit& Connections() { return m_connections; }

  // Only for the other classes of this module.
  lws_context* Context() const { return m_context; }

 private:
  struct Timer;
  struct TimerEntry;
  struct ScheduledCall;
  void RunScheduledCall(TimerId id);

  SystemClock m_clock;
  BufferBudget m_buffers;
  ConnectionLimit m_connections;
  Duration m_min_iteration_interval{0};
  TimePoint m_last_iteration_start{};
  std::unique_ptr<Timer> m_timer;
  lws_context* m_context = nullptr;
  uint64_t m_last_timer_id = 0;
  Table<TimerId, std::unique_ptr<ScheduledCall>> m_scheduled_calls;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TRANSPORT_EVENT_LOOP_H_

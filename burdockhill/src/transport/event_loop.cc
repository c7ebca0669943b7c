#include "burdockhill/src/transport/event_loop.h"

#include <libwebsockets.h>

#include <algorithm>
#include <stdexcept>
#include <thread>
#include <utility>

namespace burdockhill {

struct EventLoop::Timer {
  lws_sorted_usec_list_t entry{};
  lws_context* context = nullptr;
};

// Standard layout, so that libwebsockets' pointer to `entry` leads to it.
struct EventLoop::TimerEntry {
  lws_sorted_usec_list_t entry{};
  EventLoop* loop = nullptr;
  uint64_t id = 0;
};

struct EventLoop::ScheduledCall {
  TimerEntry timer;
  std::function<void()> action;
};

EventLoop::EventLoop() : m_timer(std::make_unique<Timer>()) {
  lws_set_log_level(LLL_ERR, nullptr);
  lws_context_creation_info info = {};
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.gid = -1;
  info.uid = -1;
  m_context = lws_create_context(&info);
  if (m_context == nullptr) {
    throw std::runtime_error("cannot create the event loop");
  }
  m_timer->context = m_context;
}

EventLoop::~EventLoop() {
  for (const auto& [id, call] : m_scheduled_calls) {
    lws_sul_cancel(&call->timer.entry);
  }
  lws_context_destroy(m_context);
}

void EventLoop::RunOnce() {
  if (m_min_iteration_interval > Duration(0)) {
    const Duration early =
        m_last_iteration_start + m_min_iteration_interval - m_clock.Now();
    if (early > Duration(0)) std::this_thread::sleep_for(early);
    m_last_iteration_start = m_clock.Now();
  }
  lws_service(m_context, 0);
}

void EventLoop::WakeAfter(Duration delay) {
  const int64_t microseconds = std::max<int64_t>(delay.count(), 1);
  // lws_service runs a timer that is already due before it waits for I/O, and
  // that wait then has no timeout; lws_cancel_service ends it.
  lws_sul_schedule(
      m_context, 0, &m_timer->entry,
      [](lws_sorted_usec_list_t* entry) {
        lws_cancel_service(lws_container_of(entry, Timer, entry)->context);
      },
      microseconds);
}

TimerId EventLoop::CallAfter(Duration delay, std::function<void()> action) {
  const TimerId id(++m_last_timer_id);
  auto& call =
      m_scheduled_calls.FindOrInsert(id, std::make_unique<ScheduledCall>());
  call->timer.loop = this;
  call->timer.id = id.Value();
  call->action = std::move(action);
  lws_sul_schedule(
      m_context, 0, &call->timer.entry,
      [](lws_sorted_usec_list_t* entry) {
        const auto* due = lws_container_of(entry, TimerEntry, entry);
        due->loop->RunScheduledCall(TimerId(due->id));
      },
      std::max<int64_t>(delay.count(), 1));
  return id;
}

void EventLoop::RunScheduledCall(TimerId id) {
  const std::unique_ptr<ScheduledCall> call =
      std::move(*m_scheduled_calls.Find(id));
  m_scheduled_calls.Erase(id);
  call->action();
  lws_cancel_service(m_context);  // For the reason given in WakeAfter.
}

void EventLoop::CancelTimer(TimerId id) {
  const auto* call = m_scheduled_calls.Find(id);
  if (call == nullptr) return;
  lws_sul_cancel(&(*call)->timer.entry);
  m_scheduled_calls.Erase(id);
}

void EventLoop::Interrupt() { lws_cancel_service(m_context); }

}  // namespace burdockhill

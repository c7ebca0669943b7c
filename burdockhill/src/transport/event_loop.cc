#include "burdockhill/src/transport/event_loop.h"

#include <libwebsockets.h>

#include <algorithm>
#include <stdexcept>
#include <thread>

namespace burdockhill {

struct EventLoop::Timer {
  lws_sorted_usec_list_t entry{};
  lws_context* context = nullptr;
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

EventLoop::~EventLoop() { lws_context_destroy(m_context); }

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

void EventLoop::Interrupt() { lws_cancel_service(m_context); }

}  // namespace burdockhill

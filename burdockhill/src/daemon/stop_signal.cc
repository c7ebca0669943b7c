#include "burdockhill/src/daemon/stop_signal.h"

#include <csignal>

#include "burdockhill/src/transport/event_loop.h"

namespace burdockhill {

namespace {

volatile std::sig_atomic_t g_stop = 0;
volatile std::sig_atomic_t g_reload = 0;
EventLoop* g_loop = nullptr;

void OnSignal(int signal) {
  if (signal == SIGHUP) {
    g_reload = 1;
  } else {
    g_stop = 1;
  }
  g_loop->Interrupt();
}

}  // namespace

void WatchStopSignals(EventLoop* loop) {
  g_loop = loop;
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGHUP, OnSignal);
  std::signal(SIGPIPE, SIG_IGN);
}

bool StopRequested() { return g_stop != 0; }

bool ConsumeReloadRequest() {
  const bool requested = g_reload != 0;
  g_reload = 0;
  return requested;
}

}  // namespace burdockhill

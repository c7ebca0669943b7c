#include "burdockhill/src/daemon/stop_signal.h"

#include <csignal>

#include "burdockhill/src/transport/event_loop.h"

namespace burdockhill {

namespace {

volatile std::sig_atomic_t g_stop = 0;
EventLoop* g_loop = nullptr;

void OnSignal(int /*signal*/) {
  g_stop = 1;
  g_loop->Interrupt();
}

}  // namespace

void WatchStopSignals(EventLoop* loop) {
  g_loop = loop;
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGPIPE, SIG_IGN);
}

bool StopRequested() { return g_stop != 0; }

}  // namespace burdockhill

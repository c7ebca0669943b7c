#ifndef BURDOCKHILL_SRC_DAEMON_STOP_SIGNAL_H_
#define BURDOCKHILL_SRC_DAEMON_STOP_SIGNAL_H_

namespace burdockhill {

class EventLoop;

// Installs handlers that record SIGTERM, SIGINT and SIGHUP and wake up `loop`,
// and ignores SIGPIPE. `loop` must live until the process ends.
void WatchStopSignals(EventLoop* loop);

// Whether SIGTERM or SIGINT was received.
bool StopRequested();

// Whether SIGHUP, which reloads the settings, was received since the last call.
bool ConsumeReloadRequest();

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_DAEMON_STOP_SIGNAL_H_

#ifndef BURDOCKHILL_SRC_DAEMON_STOP_SIGNAL_H_
#define BURDOCKHILL_SRC_DAEMON_STOP_SIGNAL_H_

namespace burdockhill {

class EventLoop;

// Turns SIGTERM and SIGINT into a flag and wakes `loop` up. `loop` must live
// until the process ends.
void WatchStopSignals(EventLoop* loop);

// Whether a stop was asked for.
bool StopRequested();

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_DAEMON_STOP_SIGNAL_H_

#ifndef BURDOCKHILL_SRC_TRANSPORT_PATH_STATE_H_
#define BURDOCKHILL_SRC_TRANSPORT_PATH_STATE_H_

#include <optional>

#include "burdockhill/src/base/clock.h"

namespace burdockhill {

// What the operating system knows of a TCP connection on which sent bytes are
// not acknowledged yet.
struct PathState {
  Duration since_last_acknowledgement{0};
  int retransmissions = 0;  // In a row, of the same bytes.
  int window_probes = 0;    // In a row without an answer.

  // Whether the path or the remote host is taken to be lost. A remote process
  // that does not read closes its window; its host still answers the probes.
  // TCP_USER_TIMEOUT does not make this difference.
  bool IsLost() const;
};

// Nullopt if all bytes have been acknowledged, or the system does not tell.
std::optional<PathState> ReadPathState(int fd);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TRANSPORT_PATH_STATE_H_

#include "burdockhill/src/transport/path_state.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace burdockhill {

namespace {

constexpr Duration kAcknowledgementTimeout = std::chrono::seconds(3);
// One may be lost, and one may be on its way.
constexpr int kMinUnanswered = 3;

}  // namespace

bool PathState::IsLost() const {
  return since_last_acknowledgement >= kAcknowledgementTimeout &&
         (retransmissions >= kMinUnanswered || window_probes >= kMinUnanswered);
}

std::optional<PathState> ReadPathState(int fd) {
  int unacknowledged_bytes = 0;
  if (ioctl(fd, SIOCOUTQ, &unacknowledged_bytes) != 0 ||
      unacknowledged_bytes == 0) {
    return std::nullopt;
  }
  tcp_info info = {};
  socklen_t size = sizeof info;
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return std::nullopt;
  }
  PathState state;
  state.since_last_acknowledgement =
      std::chrono::milliseconds(info.tcpi_last_ack_recv);
  state.retransmissions = info.tcpi_retransmits;
  state.window_probes = info.tcpi_probes;
  return state;
}

}  // namespace burdockhill

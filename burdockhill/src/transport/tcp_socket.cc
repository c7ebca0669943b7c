#include "burdockhill/src/transport/tcp_socket.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "burdockhill/src/transport/path_state.h"

namespace burdockhill::internal {

namespace {

// Of the operating system, for each connection.
constexpr int kReceiveBufferBytes = 128 << 10;
constexpr int kSendBufferBytes = 128 << 10;
constexpr size_t kMinReceiveBufferBytes = size_t{16} << 10;
// Memory of an output queue that is kept once the queue is empty.
constexpr size_t kIdleOutputBytes = size_t{4} << 10;
// Keep-alive probes detect a failed path or remote host on an idle connection.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;
constexpr Duration kQueueCheckInterval = std::chrono::milliseconds(50);

size_t QueueBytes(int fd, int request) {
  int bytes = 0;
  return ioctl(fd, request, &bytes) == 0 ? static_cast<size_t>(bytes) : 0;
}

}  // namespace

void TcpSocket::DropSent(size_t bytes) {
  output_start += bytes;
  if (PendingBytes() > 0 && output_start < output.size() / 2) return;
  output.erase(0, output_start);
  output_start = 0;
  if (output.empty() && output.capacity() > kIdleOutputBytes) {
    std::string().swap(output);
  }
  output_charge.SetBytes(output.empty() ? 0 : output.capacity());
}

bool TcpSocket::MeasureQueues() {
  const size_t unsent = connecting ? 0 : UnacknowledgedBytes(fd);
  const size_t unread = reading || input_ended ? 0 : QueueBytes(fd, SIOCINQ);
  output_charge.SetQueuedBytes(unsent);
  input_charge.SetQueuedBytes(unread);
  return unsent + unread > 0;
}

void QueueChecks::Add(SocketId id, TcpSocket* socket) {
  if (std::exchange(socket->checks_queues, true)) return;
  m_ids.push_back(id);
  if (m_timer.IsValid()) return;
  m_timer = m_loop->CallAfter(kQueueCheckInterval, [this] { Check(); });
}

void QueueChecks::Check() {
  m_timer = TimerId();
  std::erase_if(m_ids, [this](SocketId id) {
    TcpSocket* socket = m_sockets->Find(id);
    if (socket == nullptr) return true;
    const bool is_done = !socket->MeasureQueues() && socket->reading &&
                         socket->PendingBytes() == 0;
    if (is_done) socket->checks_queues = false;
    return is_done;
  });
  if (!m_ids.empty()) {
    m_timer = m_loop->CallAfter(kQueueCheckInterval, [this] { Check(); });
  }
  m_loop->Buffers().Enforce();
}

std::vector<SocketId> TakeLostPaths(Table<SocketId, TcpSocket>* sockets,
                                    std::vector<SocketId>* to_check) {
  std::vector<SocketId> lost;
  std::erase_if(*to_check, [&](SocketId id) {
    TcpSocket* socket = sockets->Find(id);
    if (socket == nullptr) return true;
    const std::optional<PathState> state = ReadPathState(socket->fd);
    if (state.has_value() && state->IsLost()) lost.push_back(id);
    const bool is_done = !state.has_value() && socket->PendingBytes() == 0;
    if (is_done) socket->checks_path = false;
    return is_done;
  });
  return lost;
}

size_t UnacknowledgedBytes(int fd) { return QueueBytes(fd, SIOCOUTQ); }

bool HasFailed(int fd) {
  tcp_info info = {};
  socklen_t size = sizeof info;
  return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
         info.tcpi_state == TCP_CLOSE;
}

sockaddr_in SocketAddress(const Address& address) {
  sockaddr_in result = {};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
  return result;
}

void SetOption(int fd, int level, int option, int value) {
  setsockopt(fd, level, option, &value, sizeof value);
}

void SetTcpOptions(int fd) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_RCVBUF, kReceiveBufferBytes);
  SetOption(fd, SOL_SOCKET, SO_SNDBUF, kSendBufferBytes);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

int ReceiveBufferBytes(const BufferBudget& buffers, size_t open_connections) {
  // Half of the connections are those of callers.
  const size_t share =
      buffers.Limit() / 2 / std::max<size_t>(open_connections, 1);
  return static_cast<int>(
      std::clamp(share, kMinReceiveBufferBytes, size_t{kReceiveBufferBytes}));
}

}  // namespace burdockhill::internal

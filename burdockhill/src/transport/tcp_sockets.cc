#include "burdockhill/src/transport/tcp_sockets.h"

#include <libwebsockets.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/transport/event_loop.h"
#include "burdockhill/src/transport/tcp_socket.h"
#include "burdockhill/src/transport/vhost_owner.h"
#include "burdockhill/src/transport/wsi_support.h"

namespace burdockhill {

namespace {

constexpr char kProtocolName[] = "tcp";
constexpr int kListenBacklog = 512;
// Bytes that are read from a connection in one iteration of the event loop, so
// that one which sends without end leaves turns to the others.
constexpr size_t kReadBufferBytes = size_t{32} << 10;
// Input that a graceful close discards.
constexpr size_t kMaxDiscardedBytes = size_t{16} << 20;
// An outgoing connection fails when sent data is not acknowledged within this
// time, since the path is then taken to be lost. It would also fail if the
// remote process does not read for so long, as callers may: see PathState.
constexpr int kUserTimeoutMs = 3000;
constexpr Duration kPathCheckInterval = std::chrono::milliseconds(500);
// Time limits of a graceful close: for the remote side to close after the end
// of the stream, and between two sends before that.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
constexpr Duration kSendTimeout = std::chrono::seconds(15);
// Limit per iteration of the event loop and listening address, so that a burst
// of new connections does not block the loop.
constexpr int kMaxAcceptsPerIteration = 64;

// The queue of a connection is measured once so many bytes were written.
constexpr size_t kMeasuredBytes = size_t{1} << 10;

using Socket = internal::TcpSocket;
using internal::SetOption;
using internal::SetTcpOptions;
using internal::SocketAddress;
using internal::TakeLostPaths;

bool WouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

}  // namespace

class TcpSockets::Impl : public internal::VhostOwner<TcpSockets::Impl>,
                         private BufferOwner {
 public:
  explicit Impl(EventLoop* loop)
      : m_loop(loop), m_context(loop->Context()), m_queues(loop, &m_sockets) {
    m_protocols[0] = {kProtocolName, &Impl::Callback, 0, 0, 0, nullptr, 0};
    m_protocols[1] = {};
    lws_context_creation_info info = {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = m_protocols.data();
    info.vhost_name = "tcp";
    info.user = this;
    m_vhost = lws_create_vhost(m_context, &info);
    if (m_vhost == nullptr) {
      throw std::runtime_error("cannot create the virtual host for TCP");
    }
  }

  ~Impl() override {
    for (SocketAcceptor* acceptor : m_listeners) {
      m_loop->Connections().RemoveListener(acceptor);
    }
    m_loop->CancelTimer(m_request_timer);
    // libwebsockets closes the descriptors only later.
    for (const auto& [id, socket] : m_sockets) shutdown(socket.fd, SHUT_RDWR);
    lws_vhost_destroy(m_vhost);
  }

  BufferBudget& Buffers() { return m_loop->Buffers(); }

  void Listen(const Address& address, SocketAcceptor* acceptor) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    SetOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    const sockaddr_in local = SocketAddress(address);
    if (fd < 0 ||
        bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof local) !=
            0 ||
        listen(fd, kListenBacklog) != 0) {
      if (fd >= 0) close(fd);
      throw std::runtime_error("cannot listen on " + address.host + ":" +
                               std::to_string(address.port));
    }
    const SocketId id = Adopt(fd, nullptr);
    m_sockets.Find(id)->listens_on = address;
    m_acceptors[id] = acceptor;
    m_listeners.push_back(acceptor);
    m_loop->Connections().AddListener(acceptor, address);
  }

  int StopListening(const Address& address) {
    const auto found = std::find_if(
        m_acceptors.begin(), m_acceptors.end(), [&](const auto& item) {
          return m_sockets.Find(item.first)->listens_on == address;
        });
    if (found == m_acceptors.end()) return 0;
    const auto [id, acceptor] = *found;
    const int fd = m_sockets.Find(id)->fd;
    int accepted = 0;
    int latest = 0;
    do {
      latest = AcceptConnections(fd, acceptor);
      accepted += latest;
    } while (latest == kMaxAcceptsPerIteration);
    // Takes effect at once; libwebsockets closes the descriptor only later.
    shutdown(fd, SHUT_RDWR);
    Close(id, /*reset=*/false);
    return accepted;
  }

  SocketId Connect(const Address& address, SocketEvents* events) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return SocketId();
    SetTcpOptions(fd);
    SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
    SetOption(
        fd, SOL_SOCKET, SO_RCVBUF,
        internal::ReceiveBufferBytes(Buffers(), m_loop->Connections().Open()));
    const sockaddr_in remote = SocketAddress(address);
    const int result =
        connect(fd, reinterpret_cast<const sockaddr*>(&remote), sizeof remote);
    if (result != 0 && errno != EINPROGRESS) {
      close(fd);
      return SocketId();
    }
    const SocketId id = Adopt(fd, events);
    Socket* socket = m_sockets.Find(id);
    if (socket == nullptr) return SocketId();
    socket->connecting = true;
    lws_callback_on_writable(socket->wsi);
    return id;
  }

  void Write(SocketId id, std::string_view bytes) {
    Socket* socket = m_sockets.Find(id);
    if (socket == nullptr || socket->closing || bytes.empty()) return;
    if (socket->accepted && !std::exchange(socket->checks_path, true)) {
      m_paths_to_check.push_back(id);
    }
    if (socket->PendingBytes() == 0 && !socket->connecting) {
      const ssize_t sent =
          send(socket->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      // An error is reported after the next poll instead, so that Write never
      // calls back into its caller.
      if (sent > 0) bytes.remove_prefix(static_cast<size_t>(sent));
      MeasureWrites(id, socket, std::max<ssize_t>(sent, 0));
      if (bytes.empty()) return;
    }
    m_queues.Add(id, socket);
    socket->output.append(bytes);
    socket->output_charge.SetBytes(socket->output.capacity());
    RequestWritable(id);
  }

  size_t PendingBytes(SocketId id) const {
    const Socket* socket = m_sockets.Find(id);
    return socket == nullptr ? 0 : socket->PendingBytes();
  }

  size_t UnacknowledgedBytes(SocketId id) const {
    const Socket* socket = m_sockets.Find(id);
    if (socket == nullptr) return 0;
    const size_t bytes =
        socket->PendingBytes() + internal::UnacknowledgedBytes(socket->fd);
    return bytes == 0 && internal::HasFailed(socket->fd) ? 1 : bytes;
  }

  size_t TotalPendingBytes() const {
    size_t total = 0;
    for (const auto& [id, socket] : m_sockets) total += socket.PendingBytes();
    return total;
  }

  void SetReading(SocketId id, bool reading) {
    Socket* socket = m_sockets.Find(id);
    if (socket == nullptr || socket->reading == reading) return;
    socket->reading = reading;
    if (!socket->input_ended) lws_rx_flow_control(socket->wsi, reading ? 1 : 0);
    socket->MeasureQueues();
    if (!reading) m_queues.Add(id, socket);
  }

  bool HasUnreadInput(SocketId id) const {
    const Socket* socket = m_sockets.Find(id);
    char byte = 0;
    return socket != nullptr && !socket->closing &&
           recv(socket->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }

  void CloseGracefully(SocketId id) {
    Socket* socket = m_sockets.Find(id);
    if (socket == nullptr || socket->closing) return;
    socket->closing = true;
    socket->events = nullptr;
    socket->close_deadline = m_clock.Now() + kSendTimeout;
    m_lingering.push_back(id);
    if (!socket->reading && !socket->input_ended) {
      socket->reading = true;
      lws_rx_flow_control(socket->wsi, 1);
    }
    if (socket->PendingBytes() == 0) ShutDownOutput(id, socket);
  }

  void Close(SocketId id, bool reset) {
    Socket* socket = m_sockets.Find(id);
    if (socket == nullptr) return;
    if (reset) {
      const linger linger_option = {1, 0};
      setsockopt(socket->fd, SOL_SOCKET, SO_LINGER, &linger_option,
                 sizeof linger_option);
    }
    lws* wsi = socket->wsi;
    m_sockets.Erase(id);
    m_acceptors.erase(id);
    // libwebsockets frees the wsi and closes the descriptor in the next
    // iteration. Callbacks for the wsi find no Socket any more.
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }

  void CheckTimeouts(TimePoint now) {
    CheckPaths(now);
    std::erase_if(m_lingering, [&](SocketId id) {
      const Socket* socket = m_sockets.Find(id);
      if (socket == nullptr) return true;
      if (now < socket->close_deadline) return false;
      Close(id, false);
      return true;
    });
  }

 private:
  static int Callback(lws* wsi, lws_callback_reasons reason, void* /*user*/,
                      void* /*in*/, size_t /*length*/) {
    Impl* self = FindOwner(wsi);
    if (self == nullptr) return 0;
    const SocketId id = internal::FromOpaque<SocketId>(wsi);
    switch (reason) {
      case LWS_CALLBACK_RAW_RX_FILE:
        return self->OnReadable(id);
      case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        return self->OnWritable(id);
      case LWS_CALLBACK_RAW_CLOSE_FILE:
        self->HandleFailure(id);
        return 0;
      default:
        return 0;
    }
  }

  SocketId Adopt(int fd, SocketEvents* events) {
    const SocketId id(++m_last_socket_id);
    lws_sock_file_fd_type descriptor;
    descriptor.filefd = fd;
    lws* wsi = lws_adopt_descriptor_vhost(m_vhost, LWS_ADOPT_RAW_FILE_DESC,
                                          descriptor, kProtocolName, nullptr);
    if (wsi == nullptr) {
      close(fd);
      return SocketId();
    }
    lws_set_opaque_user_data(wsi, internal::ToOpaque(id));
    Socket& socket = m_sockets.FindOrInsert(id);
    socket.fd = fd;
    socket.wsi = wsi;
    socket.events = events;
    socket.count.Open(&m_loop->Connections());
    OpenCharges(id, &socket, "connection " + std::to_string(id.Value()));
    // What an upstream has sent is not its fault, and not evicted.
    socket.input_charge.SetEvictable(false);
    return id;
  }

  // Measuring each small write would cost a system call and a timer for every
  // message between processes.
  void MeasureWrites(SocketId id, Socket* socket, size_t sent) {
    socket->unmeasured_bytes += sent;
    if (socket->unmeasured_bytes < kMeasuredBytes) return;
    socket->unmeasured_bytes = 0;
    if (socket->MeasureQueues()) m_queues.Add(id, socket);
  }

  void OpenCharges(SocketId id, Socket* socket, const std::string& source) {
    const BufferKey key(id.Value());
    socket->output_charge.Open(&Buffers(), BufferKind::kOutput, source, this,
                               key);
    socket->input_charge.Open(&Buffers(), BufferKind::kAnswer, source, this,
                              key);
  }

  // Results of a callback: libwebsockets closes the connection on -1.
  static constexpr int kKeepOpen = 0;
  static constexpr int kClose = -1;

  int OnReadable(SocketId id) {
    Socket* socket = m_sockets.Find(id);
    if (socket == nullptr) return kClose;
    if (const auto found = m_acceptors.find(id); found != m_acceptors.end()) {
      AcceptConnections(socket->fd, found->second);
      return kKeepOpen;
    }
    Buffers().Enforce();
    socket = m_sockets.Find(id);
    if (socket == nullptr) return kClose;
    const ssize_t received =
        recv(socket->fd, m_buffer.data(), kReadBufferBytes, 0);
    if (received < 0) return WouldBlock(errno) ? kKeepOpen : kClose;
    if (received == 0) {
      return internal::HasFailed(socket->fd) ? kClose
                                             : OnEndOfInput(id, socket);
    }
    if (socket->events == nullptr) {
      socket->discarded_bytes += static_cast<size_t>(received);
      return socket->discarded_bytes > kMaxDiscardedBytes ? kClose : kKeepOpen;
    }
    socket->events->OnBytes(
        id, std::string_view(m_buffer.data(), static_cast<size_t>(received)));
    return m_sockets.Find(id) == nullptr ? kClose : kKeepOpen;
  }

  // The remote side does not take what it was sent.
  void OnBufferEvicted(BufferKey key) override {
    const SocketId id(key.Value());
    const Socket* socket = m_sockets.Find(id);
    if (socket == nullptr) return;
    SocketEvents* events = socket->events;
    Close(id, /*reset=*/true);
    if (events != nullptr) events->OnFailed(id);
  }

  int OnEndOfInput(SocketId id, Socket* socket) {
    if (socket->events == nullptr) return kClose;
    // A socket stays readable after the end of its input, so polling it would
    // keep the loop busy.
    socket->input_ended = true;
    lws_rx_flow_control(socket->wsi, 0);
    socket->events->OnEndOfInput(id);
    return m_sockets.Find(id) == nullptr ? kClose : kKeepOpen;
  }

  // Returns the number of connections.
  int AcceptConnections(int listener, SocketAcceptor* acceptor) {
    ConnectionLimit& limit = m_loop->Connections();
    const std::string source = ClientsOf(AddressOf(acceptor));
    int count = 0;
    for (; count < kMaxAcceptsPerIteration; ++count) {
      if (limit.IsReached()) {
        // Room is made for the next iteration.
        if (limit.MakeRoom()) break;
        if (!limit.RefuseConnection(listener, acceptor)) break;
        continue;
      }
      const int fd =
          accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0 && (errno == EMFILE || errno == ENFILE)) {
        // A listening socket that stays readable would keep the loop busy.
        if (!limit.RefuseConnection(listener, acceptor)) break;
        continue;
      }
      if (fd < 0) break;
      SetTcpOptions(fd);
      const SocketId id = Adopt(fd, nullptr);
      if (!id.IsValid()) continue;
      Socket* socket = m_sockets.Find(id);
      socket->accepted = true;
      socket->count.SetAcceptor(acceptor);
      OpenCharges(id, socket, source);
      SocketEvents* events = acceptor->OnAccepted(id);
      if (events == nullptr) {
        Close(id, true);
      } else if (socket = m_sockets.Find(id); socket != nullptr) {
        socket->events = events;
      }
    }
    return count;
  }

  Address AddressOf(const SocketAcceptor* acceptor) const {
    for (const auto& [id, other] : m_acceptors) {
      if (other == acceptor) return m_sockets.Find(id)->listens_on;
    }
    return {};
  }

  int OnWritable(SocketId id) {
    Socket* socket = m_sockets.Find(id);
    if (socket == nullptr) return kClose;
    if (socket->connecting) {
      int error = 0;
      socklen_t size = sizeof error;
      getsockopt(socket->fd, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return kClose;
      socket->connecting = false;
      if (socket->events != nullptr) socket->events->OnConnected(id);
      socket = m_sockets.Find(id);
      if (socket == nullptr) return kClose;
    }
    if (socket->PendingBytes() == 0) return kKeepOpen;
    const ssize_t sent =
        send(socket->fd, socket->output.data() + socket->output_start,
             socket->PendingBytes(), MSG_NOSIGNAL);
    if (sent < 0 && !WouldBlock(errno)) return kClose;
    if (sent > 0) {
      socket->DropSent(static_cast<size_t>(sent));
      socket->MeasureQueues();
      socket->close_deadline = m_clock.Now() + kSendTimeout;
    }
    if (socket->PendingBytes() > 0) {
      RequestWritable(id);
      return kKeepOpen;
    }
    if (socket->closing) {
      ShutDownOutput(id, socket);
    } else if (socket->events != nullptr) {
      socket->events->OnOutputDrained(id);
    }
    return m_sockets.Find(id) == nullptr ? kClose : kKeepOpen;
  }

  // Has OnWritable called once the socket is writable. libwebsockets forgets a
  // request that is made inside of the callback for the same descriptor, so
  // requests are made in the next iteration.
  void RequestWritable(SocketId id) {
    m_writable_requests.push_back(id);
    if (m_request_timer.IsValid()) return;
    m_request_timer = m_loop->CallAfter(Duration(0), [this] {
      m_request_timer = TimerId();
      for (const SocketId requested : std::exchange(m_writable_requests, {})) {
        const Socket* socket = m_sockets.Find(requested);
        if (socket != nullptr) lws_callback_on_writable(socket->wsi);
      }
    });
  }

  // Fails the accepted connections whose path is lost.
  void CheckPaths(TimePoint now) {
    if (now < m_next_path_check) return;
    m_next_path_check = now + kPathCheckInterval;
    for (const SocketId id : TakeLostPaths(&m_sockets, &m_paths_to_check)) {
      const Socket* socket = m_sockets.Find(id);
      if (socket == nullptr) continue;
      SocketEvents* events = socket->events;
      Close(id, /*reset=*/true);
      if (events != nullptr) events->OnFailed(id);
    }
  }

  void ShutDownOutput(SocketId id, Socket* socket) {
    socket->close_deadline = m_clock.Now() + kLingerTimeout;
    shutdown(socket->fd, SHUT_WR);
    if (socket->input_ended) Close(id, false);
  }

  void HandleFailure(SocketId id) {
    Socket* socket = m_sockets.Find(id);
    if (socket == nullptr) return;
    SocketEvents* events = socket->events;
    m_sockets.Erase(id);
    m_acceptors.erase(id);
    if (events != nullptr) events->OnFailed(id);
  }

  EventLoop* m_loop;
  lws_context* m_context;
  lws_vhost* m_vhost = nullptr;
  std::array<lws_protocols, 2> m_protocols{};
  std::array<char, kReadBufferBytes> m_buffer{};
  SystemClock m_clock;
  uint64_t m_last_socket_id = 0;
  Table<SocketId, Socket> m_sockets;
  std::unordered_map<SocketId, SocketAcceptor*> m_acceptors;
  // Those that have listened, whose connections may still be open.
  std::vector<SocketAcceptor*> m_listeners;
  std::vector<SocketId> m_lingering;
  TimerId m_request_timer;
  std::vector<SocketId> m_writable_requests;
  TimePoint m_next_path_check{};
  std::vector<SocketId> m_paths_to_check;
  internal::QueueChecks m_queues;
};

TcpSockets::TcpSockets(EventLoop* loop)
    : m_impl(std::make_unique<Impl>(loop)) {}
TcpSockets::~TcpSockets() = default;

BufferBudget& TcpSockets::Buffers() { return m_impl->Buffers(); }
void TcpSockets::Listen(const Address& address, SocketAcceptor* acceptor) {
  m_impl->Listen(address, acceptor);
}
int TcpSockets::StopListening(const Address& address) {
  return m_impl->StopListening(address);
}
SocketId TcpSockets::Connect(const Address& address, SocketEvents* events) {
  return m_impl->Connect(address, events);
}
void TcpSockets::Write(SocketId id, std::string_view bytes) {
  m_impl->Write(id, bytes);
}
size_t TcpSockets::PendingBytes(SocketId id) const {
  return m_impl->PendingBytes(id);
}
size_t TcpSockets::UnacknowledgedBytes(SocketId id) const {
  return m_impl->UnacknowledgedBytes(id);
}
void TcpSockets::SetReading(SocketId id, bool reading) {
  m_impl->SetReading(id, reading);
}
bool TcpSockets::HasUnreadInput(SocketId id) const {
  return m_impl->HasUnreadInput(id);
}
void TcpSockets::CloseGracefully(SocketId id) { m_impl->CloseGracefully(id); }
void TcpSockets::Close(SocketId id, bool reset) { m_impl->Close(id, reset); }
size_t TcpSockets::TotalPendingBytes() const {
  return m_impl->TotalPendingBytes();
}
void TcpSockets::CheckTimeouts(TimePoint now) { m_impl->CheckTimeouts(now); }

}  // namespace burdockhill

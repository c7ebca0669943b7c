#include "burdockhill/src/transport/peer_transport.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/transport/event_loop.h"
#include "burdockhill/src/transport/vhost_owner.h"
#include "burdockhill/src/transport/wsi_support.h"
#include "burdockhill/src/wire/peer_session.h"

namespace burdockhill {

namespace {

constexpr char kProtocolName[] = "peer";
constexpr size_t kWriteBytes = size_t{64} << 10;
constexpr size_t kNonceWords = 4;
constexpr Duration kReconnectDelay = std::chrono::milliseconds(500);
// A dialled peer that has not proved itself by then is dialled again.
constexpr Duration kHandshakeTime = std::chrono::seconds(2);
// A peer that does not read is cut off once this much waits for it.
constexpr size_t kMaxBacklogBytes = size_t{32} << 20;

using ConnectionId = NumericId<struct ConnectionIdTag>;

struct Connection {
  Connection(wire::PeerSession::Side side, const std::string& shared_key,
             const Hello& self)
      : session(side, shared_key, self) {}

  wire::PeerSession session;
  lws* wsi = nullptr;
  VmName dialled;  // Set on the connecting side.
  bool announced = false;
  std::string out;
  size_t out_start = 0;

  size_t Pending() const { return out.size() - out_start; }
};

// A peer as the core names it.
struct Peer {
  std::optional<Address> address;  // Set for peers that we dial.
  ConnectionId current;
  ConnectionId dialling;
  TimePoint next_dial{};
  TimePoint dialled_at{};
  std::vector<Message> queue;
};

ConnectionId IdOf(lws* wsi) { return internal::FromOpaque<ConnectionId>(wsi); }

}  // namespace

class PeerTransport::Impl : public internal::VhostOwner<PeerTransport::Impl> {
 public:
  Impl(EventLoop* loop, const Options& options, Random* random)
      : m_context(loop->Context()), m_options(options), m_random(random) {
    m_protocols[0] = {
        kProtocolName, &Impl::Callback, 0, kWriteBytes, 0, nullptr, 0};
    m_protocols[1] = {};
    lws_context_creation_info info = {};
    info.port = m_options.listen.port;
    info.iface = m_options.listen.host.c_str();
    info.protocols = m_protocols.data();
    info.vhost_name = "peer";
    info.user = this;
    info.options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = kProtocolName;
    m_vhost = lws_create_vhost(m_context, &info);
    if (m_vhost == nullptr) {
      throw std::runtime_error("cannot listen for peers on port " +
                               std::to_string(m_options.listen.port));
    }
  }

  ~Impl() {
    m_events = nullptr;
    lws_vhost_destroy(m_vhost);
  }

  void SetEvents(PeerEvents* events) { m_events = events; }

  void Connect(const VmName& vm, const std::string& address) {
    Peer& peer = m_peers.FindOrInsert(vm);
    peer.address = ParseAddress(address);
    peer.next_dial = TimePoint();
  }

  void Disconnect(const VmName& vm) {
    Peer* peer = m_peers.Find(vm);
    if (peer == nullptr) return;
    const ConnectionId current = peer->current;
    const ConnectionId dialling = peer->dialling;
    m_peers.Erase(vm);
    Kill(current);
    Kill(dialling);
  }

  void Send(const VmName& vm, Message message) {
    Peer* peer = m_peers.Find(vm);
    if (peer == nullptr || !peer->current.IsValid()) return;
    if (peer->queue.empty()) m_with_queue.push_back(vm);
    peer->queue.push_back(std::move(message));
    ++m_traffic.messages_sent;
  }

  void Flush(TimePoint now) {
    for (const VmName& vm : std::exchange(m_with_queue, {})) FlushPeer(vm);
    if (now < m_next_dial_check) return;
    constexpr Duration kDialCheckInterval = std::chrono::milliseconds(50);
    m_next_dial_check = now + kDialCheckInterval;
    std::vector<VmName> due;
    std::vector<ConnectionId> stuck;
    for (auto& [vm, peer] : m_peers) {
      if (peer.dialling.IsValid() && now - peer.dialled_at > kHandshakeTime) {
        stuck.push_back(peer.dialling);
      }
      const bool wants = peer.address.has_value() && !peer.dialling.IsValid();
      const bool asked = peer.next_dial == TimePoint();
      if (wants && now >= peer.next_dial &&
          (asked || !peer.current.IsValid())) {
        due.push_back(vm);
      }
    }
    for (const ConnectionId& id : stuck) Kill(id);
    for (const VmName& vm : due) Dial(vm, now);
  }

  const PeerTraffic& Traffic() const { return m_traffic; }

 private:
  Hello SelfWithNonce() {
    Hello self = m_options.self;
    for (size_t i = 0; i < kNonceWords; ++i) {
      const uint64_t word = m_random->NextId();
      self.nonce.append(reinterpret_cast<const char*>(&word), sizeof(word));
    }
    return self;
  }

  void Dial(const VmName& vm, TimePoint now) {
    const ConnectionId id(++m_last_id);
    Connection& connection =
        m_connections.FindOrInsert(id, wire::PeerSession::Side::kConnecting,
                                   m_options.shared_key, SelfWithNonce());
    connection.dialled = vm;
    Peer* peer = m_peers.Find(vm);
    peer->dialling = id;
    peer->dialled_at = now;
    peer->next_dial = now + m_random->Jitter(kReconnectDelay);
    const Address address = *peer->address;
    lws_client_connect_info info = {};
    info.context = m_context;
    info.vhost = m_vhost;
    info.address = address.host.c_str();
    info.host = address.host.c_str();
    info.port = address.port;
    info.method = "RAW";
    info.local_protocol_name = kProtocolName;
    info.opaque_user_data = internal::ToOpaque(id);
    lws* wsi = lws_client_connect_via_info(&info);
    Connection* dialled = m_connections.Find(id);
    if (dialled == nullptr) return;
    dialled->wsi = wsi;
    if (wsi == nullptr) Forget(id);
  }

  static int Callback(lws* wsi, lws_callback_reasons reason, void* user,
                      void* in, size_t length) {
    Impl* impl = Of(wsi);
    if (impl == nullptr || impl->m_events == nullptr) return 0;
    return impl->Handle(wsi, reason, user, in, length);
  }

  int Handle(lws* wsi, lws_callback_reasons reason, void* user, void* in,
             size_t length) {
    switch (reason) {
      case LWS_CALLBACK_RAW_ADOPT:
        OnAccepted(wsi);
        return 0;
      case LWS_CALLBACK_RAW_CONNECTED:
        if (Connection* c = m_connections.Find(IdOf(wsi))) c->wsi = wsi;
        return 0;
      case LWS_CALLBACK_RAW_RX:
        return OnReceived(wsi, {static_cast<char*>(in), length});
      case LWS_CALLBACK_RAW_WRITEABLE:
        return OnWriteable(wsi);
      case LWS_CALLBACK_RAW_CLOSE:
      case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      case LWS_CALLBACK_WSI_DESTROY:
        Forget(IdOf(wsi));
        return 0;
      default:
        return lws_callback_http_dummy(wsi, reason, user, in, length);
    }
  }

  void OnAccepted(lws* wsi) {
    const ConnectionId id(++m_last_id);
    Connection& connection =
        m_connections.FindOrInsert(id, wire::PeerSession::Side::kAccepting,
                                   m_options.shared_key, SelfWithNonce());
    connection.wsi = wsi;
    lws_set_opaque_user_data(wsi, internal::ToOpaque(id));
    Write(&connection, connection.session.Open());
  }

  int OnReceived(lws* wsi, std::string_view bytes) {
    const ConnectionId id = IdOf(wsi);
    Connection* connection = m_connections.Find(id);
    if (connection == nullptr) return -1;
    m_traffic.bytes_received += bytes.size();
    std::vector<Message> messages;
    if (connection->session.Receive(bytes, &messages)) return -1;
    Write(connection, connection->session.TakeReply());
    if (connection->session.IsEstablished() && !connection->announced &&
        !Announce(id, connection)) {
      return -1;
    }
    if (!connection->announced) return 0;
    const VmName vm = connection->session.Peer().vm;
    for (const Message& message : messages) {
      const Peer* peer = m_peers.Find(vm);
      if (peer == nullptr || peer->current != id) return -1;
      m_events->OnMessage(vm, message);
    }
    return 0;
  }

  // Makes a connection the current one of its peer. The connection that it
  // replaces is closed, so that nothing sent on that one can still arrive.
  bool Announce(ConnectionId id, Connection* connection) {
    connection->announced = true;
    const Hello& hello = connection->session.Peer();
    const bool dialled = connection->dialled.IsValid();
    if (dialled && connection->dialled != hello.vm) return false;
    Peer& peer = m_peers.FindOrInsert(hello.vm);
    const ConnectionId replaced = std::exchange(peer.current, id);
    if (peer.dialling == id) peer.dialling = ConnectionId();
    peer.queue.clear();
    if (replaced.IsValid()) Kill(replaced);
    m_events->OnPeerUp(hello);
    return true;
  }

  void FlushPeer(const VmName& vm) {
    Peer* peer = m_peers.Find(vm);
    if (peer == nullptr) return;
    const std::vector<Message> messages = std::exchange(peer->queue, {});
    Connection* connection = m_connections.Find(peer->current);
    if (connection == nullptr || messages.empty()) return;
    ++m_traffic.frames_sent;
    const bool was_empty = connection->Pending() == 0;
    Write(connection, connection->session.Encode(messages));
    // One wait for I/O less a frame; the callback writes what is left.
    const bool direct = was_empty && connection->wsi != nullptr &&
                        internal::CanWriteNow(connection->wsi);
    const bool broken = direct && !WriteSome(connection);
    // Kill may erase the peer, so nothing of it is used afterwards.
    if (broken || connection->Pending() > kMaxBacklogBytes) {
      Kill(peer->current);
    }
  }

  void Write(Connection* connection, std::string bytes) {
    if (bytes.empty()) return;
    m_traffic.bytes_sent += bytes.size();
    if (connection->out.empty()) {
      connection->out = std::move(bytes);
    } else {
      connection->out += bytes;
    }
    if (connection->wsi != nullptr) lws_callback_on_writable(connection->wsi);
  }

  int OnWriteable(lws* wsi) {
    Connection* connection = m_connections.Find(IdOf(wsi));
    if (connection == nullptr || !WriteSome(connection)) return -1;
    if (connection->Pending() > 0) lws_callback_on_writable(wsi);
    return 0;
  }

  // Hands one part of what is pending to the socket; false if that is broken.
  static bool WriteSome(Connection* connection) {
    const size_t size = std::min(connection->Pending(), kWriteBytes);
    if (size == 0) return true;
    static thread_local std::vector<uint8_t> buffer(LWS_PRE + kWriteBytes);
    std::memcpy(buffer.data() + LWS_PRE,
                connection->out.data() + connection->out_start, size);
    if (lws_write(connection->wsi, buffer.data() + LWS_PRE, size,
                  LWS_WRITE_RAW) < 0) {
      return false;
    }
    connection->out_start += size;
    if (connection->Pending() > 0) return true;
    connection->out.clear();
    connection->out_start = 0;
    return true;
  }

  void Kill(ConnectionId id) {
    Connection* connection = m_connections.Find(id);
    if (connection == nullptr) return;
    lws* wsi = connection->wsi;
    Forget(id);
    if (wsi != nullptr) {
      lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
  }

  void Forget(ConnectionId id) {
    Connection* connection = m_connections.Find(id);
    if (connection == nullptr) return;
    const bool announced = connection->announced;
    const VmName vm =
        announced ? connection->session.Peer().vm : connection->dialled;
    m_connections.Erase(id);
    Peer* peer = m_peers.Find(vm);
    if (peer == nullptr) return;
    if (peer->dialling == id) peer->dialling = ConnectionId();
    if (peer->current != id) return;
    peer->current = ConnectionId();
    peer->queue.clear();
    if (!peer->address.has_value()) m_peers.Erase(vm);
    m_events->OnPeerDown(vm);
  }

  lws_context* m_context;
  Options m_options;
  Random* m_random;
  PeerEvents* m_events = nullptr;
  lws_vhost* m_vhost = nullptr;
  std::array<lws_protocols, 2> m_protocols{};
  uint64_t m_last_id = 0;
  TimePoint m_next_dial_check{};
  Table<ConnectionId, Connection> m_connections;
  Table<VmName, Peer> m_peers;
  std::vector<VmName> m_with_queue;
  PeerTraffic m_traffic;
};

PeerTransport::PeerTransport(EventLoop* loop, const Options& options,
                             Random* random)
    : m_impl(std::make_unique<Impl>(loop, options, random)) {}

PeerTransport::~PeerTransport() = default;

void PeerTransport::SetEvents(PeerEvents* events) { m_impl->SetEvents(events); }

void PeerTransport::Connect(const VmName& vm, const std::string& address) {
  m_impl->Connect(vm, address);
}

void PeerTransport::Disconnect(const VmName& vm) { m_impl->Disconnect(vm); }

void PeerTransport::Send(const VmName& vm, Message message) {
  m_impl->Send(vm, std::move(message));
}

void PeerTransport::Flush(TimePoint now) { m_impl->Flush(now); }

const PeerTraffic& PeerTransport::Traffic() const { return m_impl->Traffic(); }

}  // namespace burdockhill

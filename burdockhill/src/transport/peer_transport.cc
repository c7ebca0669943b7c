#include "burdockhill/src/transport/peer_transport.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/transport/event_loop.h"
#include "burdockhill/src/transport/tcp_sockets.h"
#include "burdockhill/src/wire/peer_session.h"

namespace burdockhill {

namespace {

constexpr size_t kNonceWords = 4;
constexpr Duration kReconnectDelay = std::chrono::milliseconds(500);
// A connection that is not authenticated within this time is closed. Outgoing
// ones are dialled again.
constexpr Duration kHandshakeTimeout = std::chrono::seconds(2);
constexpr Duration kDialCheckInterval = std::chrono::milliseconds(50);
// The connection is closed when more unsent data is queued, as the peer then
// does not read.
constexpr size_t kMaxBacklogBytes = size_t{8} << 20;

struct Connection {
  Connection(wire::PeerSession::Side side, const std::string& shared_key,
             const Hello& self)
      : session(side, shared_key, self) {}

  wire::PeerSession session;
  VmName dialled;  // Set on the connecting side.
  bool announced = false;
  TimePoint opened_at{};
  BufferCharge receive_charge;
};

// State of a peer, by VM name.
struct Peer {
  std::optional<Address> address;  // Set for peers that this process dials.
  SocketId current;                // The authenticated connection, if any.
  SocketId dialling;  // The outgoing connection that is being established.
  // The default value asks for a new connection even if there is a current one.
  TimePoint next_dial{};
  TimePoint dialled_at{};
  std::vector<Message> queue;
};

}  // namespace

class PeerTransport::Impl : private SocketAcceptor,
                            private SocketEvents,
                            private BufferOwner {
 public:
  Impl(EventLoop* loop, const Options& options, Random* random)
      : m_sockets(loop), m_options(options), m_random(random) {
    m_sockets.Listen(m_options.listen, this);
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
    const SocketId current = peer->current;
    const SocketId dialling = peer->dialling;
    m_peers.Erase(vm);
    CloseConnection(current);
    CloseConnection(dialling);
  }

  void Send(const VmName& vm, Message message) {
    Peer* peer = m_peers.Find(vm);
    if (peer == nullptr || !peer->current.IsValid()) return;
    if (peer->queue.empty()) m_queued_peers.push_back(vm);
    peer->queue.push_back(std::move(message));
    ++m_traffic.messages_sent;
  }

  void Flush(TimePoint now) {
    for (const VmName& vm : std::exchange(m_queued_peers, {})) FlushPeer(vm);
    if (now < m_next_dial_check) return;
    m_next_dial_check = now + kDialCheckInterval;
    std::vector<VmName> due;
    std::vector<SocketId> timed_out;
    for (auto& [vm, peer] : m_peers) {
      if (peer.dialling.IsValid() &&
          now - peer.dialled_at > kHandshakeTimeout) {
        timed_out.push_back(peer.dialling);
      }
      const bool can_dial =
          peer.address.has_value() && !peer.dialling.IsValid();
      const bool dial_requested = peer.next_dial == TimePoint();
      if (can_dial && now >= peer.next_dial &&
          (dial_requested || !peer.current.IsValid())) {
        due.push_back(vm);
      }
    }
    for (const auto& [id, connection] : m_connections) {
      const bool is_stranger = IsStranger(connection);
      if (is_stranger && now - connection.opened_at > kHandshakeTimeout) {
        timed_out.push_back(id);
      }
    }
    for (const SocketId& id : timed_out) CloseConnection(id);
    for (const VmName& vm : due) Dial(vm, now);
  }

  const PeerTraffic& Traffic() const { return m_traffic; }

 private:
  Hello HelloWithNewNonce() {
    Hello self = m_options.self;
    for (size_t i = 0; i < kNonceWords; ++i) {
      const uint64_t word = m_random->NextId();
      self.nonce.append(reinterpret_cast<const char*>(&word), sizeof(word));
    }
    return self;
  }

  Connection& AddConnection(SocketId id, wire::PeerSession::Side side) {
    Connection& connection = m_connections.FindOrInsert(
        id, side, m_options.shared_key, HelloWithNewNonce());
    connection.opened_at = m_clock.Now();
    connection.receive_charge.Open(
        &m_sockets.Buffers(), BufferKind::kPeer,
        "peer connection " + std::to_string(id.Value()), this,
        BufferKey(id.Value()));
    return connection;
  }

  void OnBufferEvicted(BufferKey key) override {
    CloseConnection(SocketId(key.Value()));
  }

  void Dial(const VmName& vm, TimePoint now) {
    Peer* peer = m_peers.Find(vm);
    peer->dialled_at = now;
    peer->next_dial = now + m_random->Jitter(kReconnectDelay);
    const SocketId id = m_sockets.Connect(*peer->address, this);
    if (!id.IsValid()) return;
    peer->dialling = id;
    AddConnection(id, wire::PeerSession::Side::kConnecting).dialled = vm;
  }

  SocketEvents* OnAccepted(SocketId id) override {
    if (m_events == nullptr) return nullptr;
    Connection& connection =
        AddConnection(id, wire::PeerSession::Side::kAccepting);
    Write(id, connection.session.StartHandshake());
    return this;
  }

  // An accepted connection that is not authenticated.
  static bool IsStranger(const Connection& connection) {
    return !connection.announced && !connection.dialled.IsValid();
  }

  size_t ShedConnections() override {
    std::vector<std::pair<TimePoint, SocketId>> strangers;
    for (const auto& [id, connection] : m_connections) {
      if (IsStranger(connection)) {
        strangers.emplace_back(connection.opened_at, id);
      }
    }
    std::sort(strangers.begin(), strangers.end());
    // The newer half may be peers that are about to authenticate.
    strangers.resize((strangers.size() + 1) / 2);
    for (const auto& [opened_at, id] : strangers) CloseConnection(id);
    return strangers.size();
  }

  void OnBytes(SocketId id, std::string_view bytes) override {
    if (!Receive(id, bytes)) CloseConnection(id);
  }

  // Peers never close one direction only.
  void OnEndOfInput(SocketId id) override { CloseConnection(id); }

  void OnFailed(SocketId id) override { RemoveConnection(id); }

  // Returns false if the connection must be closed.
  bool Receive(SocketId id, std::string_view bytes) {
    Connection* connection = m_connections.Find(id);
    if (connection == nullptr) return false;
    m_traffic.bytes_received += bytes.size();
    std::vector<Message> messages;
    if (connection->session.Receive(bytes, &messages)) return false;
    connection->receive_charge.SetBytes(connection->session.BufferedBytes());
    Write(id, connection->session.DrainHandshakeReply());
    if (connection->session.IsEstablished() && !connection->announced &&
        !Announce(id, connection)) {
      return false;
    }
    if (!connection->announced) return true;
    const VmName vm = connection->session.Peer().vm;
    for (const Message& message : messages) {
      const Peer* peer = m_peers.Find(vm);
      if (peer == nullptr || peer->current != id) return false;
      m_events->OnMessage(vm, message);
    }
    return true;
  }

  // Makes `id` the current connection of its peer. The connection that it
  // replaces is closed, so that no message sent on that one can still arrive.
  // Returns false if the connection must be closed.
  bool Announce(SocketId id, Connection* connection) {
    connection->announced = true;
    const Hello& hello = connection->session.Peer();
    const bool dialled = connection->dialled.IsValid();
    if (dialled && connection->dialled != hello.vm) return false;
    Peer& peer = m_peers.FindOrInsert(hello.vm);
    const SocketId replaced = std::exchange(peer.current, id);
    if (peer.dialling == id) peer.dialling = SocketId();
    peer.queue.clear();
    if (replaced.IsValid()) CloseConnection(replaced);
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
    const SocketId id = peer->current;
    Write(id, connection->session.EncodeFrame(messages));
    // CloseConnection may erase the peer, so `peer` must not be used
    // afterwards.
    if (m_sockets.PendingBytes(id) > kMaxBacklogBytes) CloseConnection(id);
  }

  void Write(SocketId id, const std::string& bytes) {
    m_traffic.bytes_sent += bytes.size();
    m_sockets.Write(id, bytes);
  }

  void CloseConnection(SocketId id) {
    m_sockets.Close(id, /*reset=*/false);
    RemoveConnection(id);
  }

  void RemoveConnection(SocketId id) {
    Connection* connection = m_connections.Find(id);
    if (connection == nullptr) return;
    const bool announced = connection->announced;
    const VmName vm =
        announced ? connection->session.Peer().vm : connection->dialled;
    m_connections.Erase(id);
    Peer* peer = m_peers.Find(vm);
    if (peer == nullptr) return;
    if (peer->dialling == id) peer->dialling = SocketId();
    if (peer->current != id) return;
    peer->current = SocketId();
    peer->queue.clear();
    if (!peer->address.has_value()) m_peers.Erase(vm);
    m_events->OnPeerDown(vm);
  }

  SystemClock m_clock;
  TcpSockets m_sockets;
  Options m_options;
  Random* m_random;
  PeerEvents* m_events = nullptr;
  TimePoint m_next_dial_check{};
  Table<SocketId, Connection> m_connections;
  Table<VmName, Peer> m_peers;
  std::vector<VmName> m_queued_peers;
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

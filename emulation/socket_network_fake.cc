#include "emulation/socket_network_fake.h"

#include <vector>

namespace burdockhill::emulation {

namespace {

std::string FormatAddress(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace

void SocketNetworkFake::Listen(const Address& address,
                               SocketAcceptor* acceptor) {
  m_listeners[FormatAddress(address)] = acceptor;
}

int SocketNetworkFake::StopListening(const Address& address) {
  m_listeners.erase(FormatAddress(address));
  return 0;
}

SocketId SocketNetworkFake::Connect(const Address& address,
                                    SocketEvents* events) {
  const SocketId id(++m_last_id);
  m_ends.FindOrInsert(id).events = events;
  m_queue->Schedule(
      m_delay, [this, id, text = FormatAddress(address)] { Accept(id, text); });
  return id;
}

void SocketNetworkFake::Accept(SocketId connecting,
                               const std::string& address) {
  Endpoint* end = m_ends.Find(connecting);
  if (!end->open) return;
  const auto listener = m_listeners.find(address);
  if (listener == m_listeners.end()) {
    end->open = false;
    end->events->OnFailed(connecting);
    return;
  }
  const SocketId id(++m_last_id);
  Endpoint& accepted = m_ends.FindOrInsert(id);
  accepted.peer = connecting;
  accepted.listen_address = address;
  end->peer = id;
  accepted.events = listener->second->OnAccepted(id);
  RunAtPeer(id,
            [connecting](Endpoint* e) { e->events->OnConnected(connecting); });
}

template <typename Action>
void SocketNetworkFake::RunAtPeer(SocketId id, Action action) {
  const SocketId peer = m_ends.Find(id)->peer;
  m_queue->Schedule(m_delay, [this, peer, action] {
    Endpoint* end = m_ends.Find(peer);
    if (end != nullptr && end->open) action(end);
  });
}

void SocketNetworkFake::Write(SocketId id, std::string_view bytes) {
  const Endpoint* end = m_ends.Find(id);
  if (end == nullptr || !end->open) return;
  const SocketId peer = end->peer;
  RunAtPeer(id, [peer, text = std::string(bytes)](Endpoint* e) {
    e->events->OnBytes(peer, text);
  });
}

void SocketNetworkFake::CloseGracefully(SocketId id) {
  Endpoint* end = m_ends.Find(id);
  if (end == nullptr || !end->open) return;
  end->open = false;
  const SocketId peer = end->peer;
  RunAtPeer(id, [peer](Endpoint* e) { e->events->OnEndOfInput(peer); });
}

void SocketNetworkFake::Close(SocketId id, bool reset) {
  if (!reset) return CloseGracefully(id);
  Endpoint* end = m_ends.Find(id);
  if (end == nullptr || !end->open) return;
  end->open = false;
  const SocketId peer = end->peer;
  RunAtPeer(id, [peer](Endpoint* e) {
    e->open = false;
    e->events->OnFailed(peer);
  });
}

void SocketNetworkFake::KillListeningProcess(const std::string& address) {
  m_listeners.erase(address);
  std::vector<SocketId> accepted;
  for (const auto& [id, end] : m_ends) {
    if (end.open && end.listen_address == address) accepted.push_back(id);
  }
  for (const SocketId id : accepted) Close(id, /*reset=*/true);
}

}  // namespace burdockhill::emulation

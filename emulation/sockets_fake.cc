#include "emulation/sockets_fake.h"

#include <algorithm>
#include <utility>

namespace burdockhill::emulation {

namespace {

std::string FormatAddress(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace

void SocketsFake::Listen(const Address& address, SocketAcceptor* acceptor) {
  m_acceptors[FormatAddress(address)] = acceptor;
}

int SocketsFake::StopListening(const Address& address) {
  const auto found = m_acceptors.find(FormatAddress(address));
  if (found == m_acceptors.end()) return 0;
  int accepted = 0;
  for (const SocketId id : std::exchange(m_backlog, {})) {
    m_connections.Find(id)->events = found->second->OnAccepted(id);
    ++accepted;
  }
  m_acceptors.erase(found);
  return accepted;
}

SocketId SocketsFake::Connect(const Address& address, SocketEvents* events) {
  if (!m_has_sockets) return SocketId();
  const SocketId id(++m_last_id);
  Connection& connection = m_connections.FindOrInsert(id);
  connection.address = FormatAddress(address);
  connection.events = events;
  return id;
}

void SocketsFake::Write(SocketId id, std::string_view bytes) {
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr || !connection->open) return;
  connection->written.append(bytes);
}

size_t SocketsFake::PendingBytes(SocketId id) const {
  const auto found = m_pending.find(id);
  return found == m_pending.end() ? 0 : found->second;
}

size_t SocketsFake::UnacknowledgedBytes(SocketId id) const {
  const auto found = m_unacknowledged.find(id);
  return PendingBytes(id) +
         (found == m_unacknowledged.end() ? 0 : found->second);
}

void SocketsFake::SetReading(SocketId id, bool reading) {
  if (Connection* connection = m_connections.Find(id)) {
    connection->reading = reading;
  }
}

bool SocketsFake::HasUnreadInput(SocketId id) const {
  const Connection* connection = m_connections.Find(id);
  return connection != nullptr && !connection->unread.empty();
}

void SocketsFake::CloseGracefully(SocketId id) {
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr || !connection->open) return;
  connection->closed_gracefully = true;
  connection->open = false;
}

void SocketsFake::Close(SocketId id, bool reset) {
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr || !connection->open) return;
  connection->was_reset = reset;
  connection->open = false;
}

SocketId SocketsFake::ConnectAsCaller(const std::string& address) {
  const auto acceptor = m_acceptors.find(address);
  if (acceptor == m_acceptors.end()) return SocketId();
  const SocketId id(++m_last_id);
  Connection& connection = m_connections.FindOrInsert(id);
  connection.connected = true;
  SocketEvents* events = acceptor->second->OnAccepted(id);
  connection.events = events;
  connection.open = events != nullptr;
  return id;
}

SocketId SocketsFake::ConnectUnaccepted() {
  const SocketId id(++m_last_id);
  m_connections.FindOrInsert(id).connected = true;
  m_backlog.push_back(id);
  return id;
}

void SocketsFake::Inject(SocketId id, std::string_view bytes) {
  m_buffers.Enforce();
  const Connection* connection = m_connections.Find(id);
  if (connection->open) connection->events->OnBytes(id, bytes);
}

void SocketsFake::QueueInput(SocketId id, std::string_view bytes) {
  m_connections.Find(id)->unread.append(bytes);
}

void SocketsFake::ReadInput(SocketId id) {
  Inject(id, std::exchange(m_connections.Find(id)->unread, {}));
}

void SocketsFake::InjectEndOfInput(SocketId id) {
  const Connection* connection = m_connections.Find(id);
  if (connection->open) connection->events->OnEndOfInput(id);
}

void SocketsFake::Fail(SocketId id) {
  Connection* connection = m_connections.Find(id);
  if (!connection->open) return;
  connection->open = false;
  connection->events->OnFailed(id);
}

void SocketsFake::CompleteConnect(SocketId id) {
  Connection* connection = m_connections.Find(id);
  if (connection->connected || !connection->open) return;
  connection->connected = true;
  connection->events->OnConnected(id);
}

void SocketsFake::NotifyOutputDrained(SocketId id) {
  m_pending.erase(id);
  m_connections.Find(id)->events->OnOutputDrained(id);
}

std::string SocketsFake::DrainOutput(SocketId id) {
  Connection* connection = m_connections.Find(id);
  std::string bytes = connection->written.substr(connection->drained_bytes);
  connection->drained_bytes = connection->written.size();
  return bytes;
}

std::vector<SocketId> SocketsFake::OpenTo(const std::string& address) const {
  std::vector<SocketId> ids;
  for (const auto& [id, connection] : m_connections) {
    if (connection.open && connection.address == address) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

std::vector<SocketId> SocketsFake::AllOutgoing() const {
  std::vector<SocketId> ids;
  for (const auto& [id, connection] : m_connections) {
    if (connection.open && !connection.address.empty()) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

}  // namespace burdockhill::emulation

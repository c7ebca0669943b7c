// What Server charges to the budget of the process, and refuses because of it.

#include <algorithm>
#include <utility>

#include "burdockhill/src/base/heap_size.h"
#include "burdockhill/src/http/server.h"

namespace burdockhill::http {

namespace {

// Share of what the process may buffer that bodies of requests may take, and
// that requests in progress may.
constexpr size_t kBodyShareDivisor = 2;
// Part of that share for small requests, so that a few large ones leave room
// for those of ordinary callers.
constexpr size_t kReserveDivisor = 8;
constexpr size_t kSmallRequestBytes = size_t{16} << 10;
// Memory of a connection with its socket, 1.8 KiB measured, and of a request in
// progress beside its head and body.
constexpr size_t kConnectionBytes = size_t{2} << 10;
constexpr size_t kExchangeBytes = size_t{4} << 10;

}  // namespace

void Server::SetBodyBytes(Connection* connection, size_t bytes) {
  m_total_body_bytes += bytes - connection->body_bytes;
  connection->body_bytes = bytes;
  connection->request_charge.SetBytes(kConnectionBytes +
                                      connection->dispatched_head_bytes +
                                      connection->reader.HeadMemory() + bytes);
}

size_t Server::DispatchedHeadBytes(const MessageReader& reader) {
  // The controllers keep the target and the id of the request a second time.
  return kExchangeBytes + reader.HeadMemory() +
         HeapBytes(reader.MessageHead().target);
}

void Server::SetPipelined(SocketId id, Connection* connection,
                          std::string bytes) {
  connection->pipelined = std::move(bytes);
  if (connection->pipelined.empty()) {
    std::string().swap(connection->pipelined);
    return connection->pipelined_charge.Close();
  }
  if (connection->pipelined_charge.Bytes() == 0) {
    connection->pipelined_charge.Open(
        &m_sockets->Buffers(), BufferKind::kRequest, ClientsOf(m_address), this,
        BufferKey(id.Value()));
  }
  connection->pipelined_charge.SetBytes(connection->pipelined.capacity());
}

bool Server::HasRoomFor(const Connection& connection) const {
  const size_t size = connection.request_charge.Bytes();
  return m_sockets->Buffers().FixedBytes() + size <= MaxDispatchedBytes(size);
}

size_t Server::MaxDispatchedBytes(size_t request_bytes) const {
  const BufferBudget& buffers = m_sockets->Buffers();
  const size_t share = buffers.Limit() / kBodyShareDivisor;
  if (request_bytes <= kSmallRequestBytes) return share;
  // The largest body alone may be as large as the share.
  const size_t reserve = share / kReserveDivisor;
  return buffers.FixedBytes() < reserve ? share + share / 2 : share - reserve;
}

size_t Server::MaxTotalBodyBytes() const {
  return std::min(m_limits.max_total_body_bytes,
                  m_sockets->Buffers().Limit() / kBodyShareDivisor);
}

void Server::OnBufferEvicted(BufferKey key) {
  const SocketId id(key.Value());
  const Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return;
  const ExchangeId exchange = connection->exchange;
  if (!exchange.IsValid() && connection->reader.HasStarted()) {
    return Reject(id, kUnavailable);
  }
  RemoveConnection(id);
  // Without a request, the rest of an answer is still sent.
  if (!exchange.IsValid()) return m_sockets->CloseGracefully(id);
  // Bytes behind a request in progress.
  m_sockets->Close(id, /*reset=*/true);
  m_events->OnCallerDisconnected(exchange);
}

}  // namespace burdockhill::http

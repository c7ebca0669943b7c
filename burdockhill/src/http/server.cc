#include "burdockhill/src/http/server.h"

#include <algorithm>
#include <utility>

namespace burdockhill::http {

namespace {

// Reading from a connection stops when more pipelined bytes are buffered.
constexpr size_t kMaxPipelinedBytes = size_t{4} << 10;
// Pipelined requests are not answered while the caller leaves more of earlier
// answers unread.
constexpr size_t kMaxUnsentBytes = size_t{128} << 10;
// A response body that is longer is not copied to be sent with its head.
constexpr size_t kMaxCopiedBodyBytes = size_t{64} << 10;

}  // namespace

Server::Server(Sockets* sockets, const Clock* clock, ServerEvents* events)
    : m_sockets(sockets), m_clock(clock), m_events(events) {}

SocketEvents* Server::OnAccepted(SocketId id) {
  Connection& connection =
      m_connections.FindOrInsert(id, m_limits.max_header_bytes);
  // All clients are one source, since a request that is received is refused
  // without harm.
  connection.request_charge.Open(&m_sockets->Buffers(), BufferKind::kRequest,
                                 ClientsOf(m_address), this,
                                 BufferKey(id.Value()));
  SetBodyBytes(&connection, 0);
  StartWait(&connection);
  return this;
}

void Server::OnBytes(SocketId id, std::string_view bytes) {
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return;
  if (connection->exchange.IsValid() || !connection->pipelined.empty()) {
    std::string pipelined = std::move(connection->pipelined);
    SetPipelined(id, connection, std::move(pipelined.append(bytes)));
    if (connection->pipelined.size() > kMaxPipelinedBytes) {
      m_sockets->SetReading(id, false);
    }
    return;
  }
  const MessageReader& reader = connection->reader;
  if (!reader.HasStarted() || reader.HasHead()) StartWait(connection);
  ReadRequest(id, connection, bytes);
  ReadPipelined(id);
}

void Server::ReadRequest(SocketId id, Connection* connection,
                         std::string_view bytes) {
  MessageReader& reader = connection->reader;
  const bool had_head = reader.HasHead();
  const ServerLimits limits = LimitsOf(*connection);
  reader.SetMaxHeaderBytes(limits.max_header_bytes);
  const size_t consumed = reader.Consume(bytes);
  if (reader.Error() == ReadError::kHeaderTooLarge) {
    return Reject(id, kHeaderTooLarge);
  }
  if (reader.Error() != ReadError::kNone) return Reject(id, kBadRequest);
  SetBodyBytes(connection, reader.Body().size());
  if (!reader.HasHead()) return;
  const Head& head = reader.MessageHead();
  const bool declared_too_large =
      head.content_length.value_or(0) > limits.max_body_bytes;
  if (declared_too_large || reader.Body().size() > limits.max_body_bytes) {
    return Reject(id, kBodyTooLarge);
  }
  if (m_total_body_bytes > MaxTotalBodyBytes()) {
    return Reject(id, kUnavailable);
  }
  if (!had_head && head.headers.HasToken("Expect", "100-continue") &&
      !reader.IsComplete()) {
    m_sockets->Write(id, kInterimResponse);
  }
  if (!reader.IsComplete()) return;
  if (!HasRoomFor(*connection)) {
    const size_t size = connection->request_charge.Bytes();
    m_sockets->Buffers().ReportOverflow(
        {BufferKind::kRequest, ClientsOf(m_address), size,
         MaxDispatchedBytes(size), /*is_bound_of_process=*/true});
    return Reject(id, kUnavailable);
  }
  SetPipelined(id, connection, std::string(bytes.substr(consumed)));
  DispatchRequest(id, connection);
}

void Server::StartWait(Connection* connection) const {
  connection->wait_start = m_clock->Now();
  if (connection->reader.HasStarted()) return;
  connection->limits = m_limits;
  connection->limits.idle_timeout =
      std::max(m_limits.idle_timeout, connection->said_idle_timeout);
}

ServerLimits Server::LimitsOf(const Connection& connection) const {
  const ServerLimits& then = connection.limits;
  ServerLimits limits = m_limits;
  limits.max_header_bytes =
      std::max(limits.max_header_bytes, then.max_header_bytes);
  limits.max_body_bytes = std::max(limits.max_body_bytes, then.max_body_bytes);
  limits.header_timeout = std::max(limits.header_timeout, then.header_timeout);
  limits.idle_timeout = std::max(limits.idle_timeout, then.idle_timeout);
  return limits;
}

ConnectionNotice Server::AnnounceKeepAlive(Connection* connection,
                                           bool keep_alive) const {
  connection->said_idle_timeout = m_limits.idle_timeout;
  return {keep_alive, m_limits.idle_timeout};
}

void Server::DispatchRequest(SocketId id, Connection* connection) {
  const ExchangeId exchange(++m_last_exchange_id);
  connection->exchange = exchange;
  MessageReader& reader = connection->reader;
  connection->dispatched_head_bytes = DispatchedHeadBytes(reader);
  connection->is_head_request = reader.MessageHead().method == "HEAD";
  connection->request_charge.SetEvictable(false);
  Head head = reader.TakeHead();
  SetBodyBytes(connection, connection->body_bytes);
  m_exchanges.FindOrInsert(exchange, id);
  connection->is_dispatching = true;
  m_events->OnRequest(exchange, std::move(head), std::move(reader.Body()));
  connection = m_connections.Find(id);
  if (connection != nullptr) connection->is_dispatching = false;
}

void Server::OnEndOfInput(SocketId id) {
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return;
  connection->input_ended = true;
  connection->last_output_at = m_clock->Now();
  if (connection->exchange.IsValid()) {
    ProbeCaller(id, connection, m_clock->Now());
  } else {
    RemoveConnection(id);
    m_sockets->CloseGracefully(id);
  }
}

void Server::OnFailed(SocketId id) {
  const Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return;
  const ExchangeId exchange = connection->exchange;
  RemoveConnection(id);
  if (exchange.IsValid()) m_events->OnCallerDisconnected(exchange);
}

void Server::OnOutputDrained(SocketId id) {
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return;
  // The caller is idle only once it has the whole response.
  if (!connection->exchange.IsValid()) {
    StartWait(connection);
    m_sockets->SetReading(id, true);
    return ReadPipelined(id);
  }
  m_events->OnOutputDrained(connection->exchange);
}

void Server::Reject(SocketId id, int status) {
  Head head;
  head.status = status;
  if (status == kUnavailable) head.headers.Add("Retry-After", "1");
  m_sockets->Write(id, FormatResponse(head, 0, ConnectionNotice()));
  RemoveConnection(id);
  m_sockets->CloseGracefully(id);
}

void Server::RemoveConnection(SocketId id) {
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return;
  SetBodyBytes(connection, 0);
  m_exchanges.Erase(connection->exchange);
  m_connections.Erase(id);
}

Server::Connection* Server::FindConnection(ExchangeId id, SocketId* socket) {
  const SocketId* found = m_exchanges.Find(id);
  if (found == nullptr) return nullptr;
  *socket = *found;
  return m_connections.Find(*found);
}

const Server::Connection* Server::FindConnection(ExchangeId id) const {
  const SocketId* found = m_exchanges.Find(id);
  return found == nullptr ? nullptr : m_connections.Find(*found);
}

void Server::Respond(ExchangeId id, const Head& head, std::string_view body) {
  SocketId socket;
  Connection* connection = FindConnection(id, &socket);
  if (connection == nullptr) return;
  if (connection->is_streaming) return Abort(id);
  if (ReplaceInvalidHead(id, head)) return;
  const bool keep_alive = KeepsAlive(socket, *connection);
  std::string bytes = FormatResponse(head, body.size(),
                                     AnnounceKeepAlive(connection, keep_alive));
  if (connection->is_head_request) body = {};
  if (body.size() <= kMaxCopiedBodyBytes) bytes.append(std::exchange(body, {}));
  m_sockets->Write(socket, bytes);
  m_sockets->Write(socket, body);
  FinishExchange(id, keep_alive);
}

bool Server::ReplaceInvalidHead(ExchangeId id, const Head& head) {
  constexpr int kFirstFinalStatus = 200;
  if (IsStatus(head.status) && head.status >= kFirstFinalStatus) return false;
  m_events->OnInvalidStatus(id, head.status);
  Head replacement;
  replacement.status = kBadGateway;
  Respond(id, replacement, {});
  return true;
}

void Server::StartStream(ExchangeId id, const Head& head,
                         std::optional<size_t> body_size) {
  SocketId socket;
  Connection* connection = FindConnection(id, &socket);
  if (connection == nullptr || ReplaceInvalidHead(id, head)) return;
  const bool keep_alive = KeepsAlive(socket, *connection);
  connection->is_streaming = true;
  connection->is_chunked = !body_size.has_value();
  connection->said_close = !keep_alive;
  connection->last_output_at = m_clock->Now();
  m_sockets->Write(socket,
                   FormatResponse(head, body_size,
                                  AnnounceKeepAlive(connection, keep_alive)));
}

void Server::WriteStream(ExchangeId id, std::string_view bytes) {
  SocketId socket;
  Connection* connection = FindConnection(id, &socket);
  if (connection == nullptr || bytes.empty()) return;
  connection->last_output_at = m_clock->Now();
  if (!connection->is_chunked) return m_sockets->Write(socket, bytes);
  m_sockets->Write(socket, FormatChunk(bytes));
}

void Server::EndStream(ExchangeId id) {
  SocketId socket;
  Connection* connection = FindConnection(id, &socket);
  if (connection == nullptr) return;
  if (connection->is_chunked) m_sockets->Write(socket, kLastChunk);
  // The caller may already have sent its next request if it was told that the
  // connection stays open.
  FinishExchange(id, !connection->said_close);
}

void Server::Abort(ExchangeId id) {
  SocketId socket;
  if (FindConnection(id, &socket) == nullptr) return;
  RemoveConnection(socket);
  m_sockets->Close(socket, /*reset=*/true);
}

void Server::FinishExchange(ExchangeId id, bool keep_alive) {
  SocketId socket;
  Connection* connection = FindConnection(id, &socket);
  if (connection == nullptr) return;
  m_exchanges.Erase(id);
  connection->exchange = ExchangeId();
  connection->is_streaming = false;
  if (!keep_alive) {
    RemoveConnection(socket);
    m_sockets->CloseGracefully(socket);
    return;
  }
  connection->reader.Reset();
  connection->dispatched_head_bytes = 0;
  SetBodyBytes(connection, 0);
  connection->request_charge.SetEvictable(true);
  // Those under which a pipelined request has arrived.
  const ServerLimits earlier_limits = LimitsOf(*connection);
  StartWait(connection);
  m_sockets->SetReading(socket, true);
  if (!connection->pipelined.empty()) connection->limits = earlier_limits;
  // Otherwise the caller of DispatchRequest reads on. Calls that nest for each
  // request would exhaust the stack.
  if (!connection->is_dispatching) ReadPipelined(socket);
}

void Server::ReadPipelined(SocketId id) {
  Connection* connection = m_connections.Find(id);
  while (connection != nullptr && !connection->exchange.IsValid() &&
         !connection->pipelined.empty()) {
    if (m_sockets->PendingBytes(id) > kMaxUnsentBytes) {
      return m_sockets->SetReading(id, false);
    }
    const std::string pipelined = std::exchange(connection->pipelined, {});
    SetPipelined(id, connection, {});
    ReadRequest(id, connection, pipelined);
    connection = m_connections.Find(id);
  }
  if (connection == nullptr || connection->exchange.IsValid()) return;
  if (!connection->input_ended) return;
  RemoveConnection(id);
  m_sockets->CloseGracefully(id);
}

size_t Server::PendingBytes(ExchangeId id) const {
  const SocketId* socket = m_exchanges.Find(id);
  return socket == nullptr ? 0 : m_sockets->PendingBytes(*socket);
}

bool Server::KeepsAlive(SocketId id, const Connection& connection) const {
  if (!connection.reader.MessageHead().keep_alive) return false;
  if (!m_keep_alive_disabled && !connection.input_ended) return true;
  return !connection.pipelined.empty() || m_sockets->HasUnreadInput(id);
}

void Server::RefuseUnfinishedRequests() {
  std::vector<SocketId> unfinished;
  for (const auto& [id, connection] : m_connections) {
    if (IsReceiving(connection)) unfinished.push_back(id);
  }
  for (const SocketId id : unfinished) Reject(id, kUnavailable);
}

bool Server::IsReceiving() const {
  return std::any_of(m_connections.begin(), m_connections.end(),
                     [](const auto& item) { return IsReceiving(item.second); });
}

bool Server::IsReceiving(const Connection& connection) {
  return !connection.exchange.IsValid() && connection.reader.HasStarted();
}

}  // namespace burdockhill::http

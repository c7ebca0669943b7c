#include "burdockhill/src/http/server.h"

#include <algorithm>
#include <utility>

namespace burdockhill::http {

namespace {

// Reading from a connection stops when more pipelined bytes are buffered.
constexpr size_t kMaxPipelinedBytes = size_t{4} << 10;
// The caller counts its idle time only from when it has read the response, and
// its next request is under way for a time.
constexpr Duration kIdleMargin = std::chrono::milliseconds(500);
// What has arrived within a time limit is read within this time after it.
constexpr Duration kLateReadTime = std::chrono::milliseconds(500);
// A connection is closed if its caller reads nothing of a response for this
// time.
constexpr Duration kUnreadResponseTimeout = std::chrono::seconds(60);
// Callers skip it, whether they have asked for it or not.
constexpr std::string_view kInterimResponse = "HTTP/1.1 100 Continue\r\n\r\n";
// Between the first two probes of a caller; each interval is twice as long as
// the one before. Some callers give up after a few interim responses.
constexpr Duration kProbeInterval = std::chrono::milliseconds(200);
constexpr int kMaxProbes = 4;
// A caller that has closed its sending side is taken for gone if nothing can be
// sent to it for so long inside a response.
constexpr Duration kMaxSilence = std::chrono::milliseconds(300);
// Share of what the process may buffer that bodies of requests may take.
constexpr size_t kBodyShareDivisor = 2;
// A response body that is longer is not copied to be sent with its head.
constexpr size_t kMaxCopiedBodyBytes = size_t{64} << 10;

}  // namespace

Server::Server(Sockets* sockets, const Clock* clock, ServerEvents* events)
    : m_sockets(sockets), m_clock(clock), m_events(events) {}

SocketEvents* Server::OnAccepted(SocketId id) {
  Connection& connection =
      m_connections.FindOrInsert(id, m_limits.max_header_bytes);
  // All callers are one source, since a request that is received is refused
  // without harm.
  connection.request_charge.Open(&m_sockets->Buffers(), BufferKind::kRequest,
                                 "callers", this, BufferKey(id.Value()));
  StartWait(&connection);
  return this;
}

void Server::OnBytes(SocketId id, std::string_view bytes) {
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return;
  if (connection->exchange.IsValid()) {
    connection->pipelined.append(bytes);
    SetBodyBytes(connection, connection->body_bytes);
    if (connection->pipelined.size() > kMaxPipelinedBytes) {
      m_sockets->SetReading(id, false);
    }
    return;
  }
  const MessageReader& reader = connection->reader;
  if (!reader.HasStarted() || reader.HasHead()) StartWait(connection);
  ReadRequest(id, connection, bytes);
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
  connection->pipelined.assign(bytes.substr(consumed));
  SetBodyBytes(connection, connection->body_bytes);
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
  connection->request_charge.SetEvictable(false);
  m_exchanges.FindOrInsert(exchange, id);
  m_events->OnRequest(exchange, connection->reader.MessageHead(),
                      std::move(connection->reader.Body()));
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

void Server::ProbeCaller(SocketId id, Connection* connection, TimePoint now) {
  // An interim response must not stand inside a response, and HTTP/1.0 has
  // none.
  if (connection->is_streaming || m_sockets->PendingBytes(id) > 0 ||
      !connection->reader.MessageHead().allows_interim) {
    return;
  }
  const bool due = now >= connection->next_probe_at;
  if (!due || connection->probes >= kMaxProbes) return;
  connection->next_probe_at = now + kProbeInterval * (1 << connection->probes);
  ++connection->probes;
  m_sockets->Write(id, kInterimResponse);
}

bool Server::IsProbablyGone(SocketId id, const Connection& connection,
                            TimePoint now) const {
  return connection.input_ended && connection.is_streaming &&
         m_sockets->PendingBytes(id) == 0 &&
         now - connection.last_output_at > kMaxSilence;
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
    return;
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

void Server::SetBodyBytes(Connection* connection, size_t bytes) {
  m_total_body_bytes += bytes - connection->body_bytes;
  connection->body_bytes = bytes;
  connection->request_charge.SetBytes(connection->reader.HeadMemory() + bytes +
                                      connection->pipelined.size());
}

size_t Server::MaxTotalBodyBytes() const {
  return std::min(m_limits.max_total_body_bytes,
                  m_sockets->Buffers().Limit() / kBodyShareDivisor);
}

void Server::OnBufferEvicted(BufferKey key) {
  const SocketId id(key.Value());
  if (m_connections.Find(id) != nullptr) Reject(id, kUnavailable);
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
  const bool keep_alive = KeepsAlive(socket, *connection);
  std::string bytes = FormatResponse(head, body.size(),
                                     AnnounceKeepAlive(connection, keep_alive));
  if (connection->reader.MessageHead().method == "HEAD") body = {};
  if (body.size() <= kMaxCopiedBodyBytes) bytes.append(std::exchange(body, {}));
  m_sockets->Write(socket, bytes);
  m_sockets->Write(socket, body);
  FinishExchange(id, keep_alive);
}

void Server::StartStream(ExchangeId id, const Head& head,
                         std::optional<size_t> body_size) {
  SocketId socket;
  Connection* connection = FindConnection(id, &socket);
  if (connection == nullptr) return;
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
  SetBodyBytes(connection, 0);
  connection->request_charge.SetEvictable(true);
  // Those under which a pipelined request has arrived.
  const ServerLimits earlier_limits = LimitsOf(*connection);
  StartWait(connection);
  m_sockets->SetReading(socket, true);
  const std::string pipelined = std::exchange(connection->pipelined, {});
  SetBodyBytes(connection, 0);
  if (!pipelined.empty()) {
    connection->limits = earlier_limits;
    ReadRequest(socket, connection, pipelined);
  }
  connection = m_connections.Find(socket);
  if (connection == nullptr || connection->exchange.IsValid()) return;
  if (!connection->input_ended) return;
  RemoveConnection(socket);
  m_sockets->CloseGracefully(socket);
}

size_t Server::PendingBytes(ExchangeId id) const {
  const SocketId* socket = m_exchanges.Find(id);
  return socket == nullptr ? 0 : m_sockets->PendingBytes(*socket);
}

void Server::CloseIdleConnections() {
  std::vector<SocketId> idle;
  for (const auto& [id, connection] : m_connections) {
    const bool waits =
        !connection.exchange.IsValid() && !connection.reader.HasStarted();
    // The close would discard the rest of an answer.
    if (waits && m_sockets->PendingBytes(id) == 0) idle.push_back(id);
  }
  for (const SocketId id : idle) CloseUnlessInputArrived(id);
}

void Server::CloseUnlessInputArrived(SocketId id) {
  const Connection* connection = m_connections.Find(id);
  const Duration idle_time = m_clock->Now() - connection->wait_start;
  const bool closes = !m_sockets->HasUnreadInput(id);
  m_events->OnIdleConnection(idle_time, closes);
  if (!closes) return;
  RemoveConnection(id);
  // A request that crosses the close stays unread, which tells its caller that
  // it was not taken.
  m_sockets->Close(id, /*reset=*/false);
}

bool Server::MayReadLate(SocketId id, TimePoint now) {
  if (!m_sockets->HasUnreadInput(id)) return false;
  Connection* connection = m_connections.Find(id);
  if (connection->late_since <= connection->wait_start) {
    connection->late_since = now;
  }
  return now - connection->late_since <= kLateReadTime;
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

void Server::CheckTimeouts(TimePoint now) {
  std::vector<SocketId> idle;
  std::vector<SocketId> slow;
  std::vector<ExchangeId> gone;
  for (auto& [id, connection] : m_connections) {
    if (connection.exchange.IsValid()) {
      if (connection.input_ended) ProbeCaller(id, &connection, now);
      if (IsProbablyGone(id, connection, now)) {
        gone.push_back(connection.exchange);
      }
      continue;
    }
    const size_t unsent = m_sockets->PendingBytes(id);
    const size_t unsent_before = std::exchange(connection.unsent_bytes, unsent);
    if (unsent > 0 && unsent < unsent_before) connection.wait_start = now;
    const bool reading_head =
        connection.reader.HasStarted() && !connection.reader.HasHead();
    const ServerLimits limits = LimitsOf(connection);
    Duration limit = reading_head ? limits.header_timeout
                                  : limits.idle_timeout + kIdleMargin;
    if (unsent > 0) limit = kUnreadResponseTimeout;
    if (now - connection.wait_start <= limit) continue;
    (connection.reader.HasStarted() ? slow : idle).push_back(id);
  }
  for (const SocketId id : slow) {
    if (!MayReadLate(id, now)) Reject(id, kRequestTimeout);
  }
  for (const SocketId id : idle) CloseUnlessInputArrived(id);
  for (const ExchangeId id : gone) m_events->OnCallerDisconnected(id);
}

}  // namespace burdockhill::http

#include "burdockhill/src/http/connection_pool.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <utility>

namespace burdockhill::http {

namespace {

// Idle connections are closed this long before the upstream's timeout, so that
// no request is sent while the upstream closes the connection.
constexpr Duration kIdleTimeoutMargin = std::chrono::seconds(1);
// If a reused connection fails before any response byte, the upstream is
// assumed to drop idle connections early. Half of the idle time of that
// connection is then the limit for its address, for this long.
constexpr Duration kIdleLimitLifetime = std::chrono::seconds(10);
// Start of the requests whose responses have no body.
constexpr std::string_view kHeadMethod = "HEAD ";
// Used if the response has no Keep-Alive timeout.
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(4);

// Returns the `timeout` parameter of the Keep-Alive header field.
Duration KeepAliveTimeout(const Headers& headers) {
  const std::string* field = headers.Find("Keep-Alive");
  if (field == nullptr) return kDefaultIdleTimeout;
  constexpr std::string_view kName = "timeout=";
  const size_t at = field->find(kName);
  if (at == std::string::npos) return kDefaultIdleTimeout;
  std::string_view rest = *field;
  rest.remove_prefix(at + kName.size());
  const auto seconds =
      ParseNumber(rest.substr(0, rest.find_first_not_of("0123456789")));
  return seconds.has_value() ? Duration(std::chrono::seconds(*seconds))
                             : kDefaultIdleTimeout;
}

// Method and target of a formatted request.
std::string_view MethodAndTarget(std::string_view request) {
  const std::string_view line = request.substr(0, request.find("\r\n"));
  return line.substr(0, line.rfind(' '));
}

}  // namespace

std::string_view DescribeFailure(CallFailure failure) {
  switch (failure) {
    case CallFailure::kMalformed:
      return "malformed answer";
    case CallFailure::kEndedEarly:
      return "answer ended before the request was read";
    case CallFailure::kTooLarge:
      return "answer is too large";
    default:
      return "connection broke";
  }
}

ConnectionPool::ConnectionPool(Sockets* sockets, const Clock* clock)
    : m_sockets(sockets), m_clock(clock) {}

CallId ConnectionPool::Start(const std::string& address, std::string request,
                             CallEvents* events, const CallPolicy& policy) {
  const CallId id(++m_last_call_id);
  std::string name = policy.response_id.empty()
                         ? std::string(MethodAndTarget(request))
                         : policy.response_id;
  SocketId socket = TakeIdleConnection(address, policy);
  if (socket.IsValid()) {
    BeginCall(m_connections.Find(socket), id, request, policy);
    m_calls.FindOrInsert(id) = {socket, events, {}, std::move(name)};
    m_sockets->Write(socket, request);
    return id;
  }
  const std::optional<Address> parsed = ParseAddress(address);
  if (!parsed.has_value()) return CallId();
  socket = m_sockets->Connect(*parsed, this);
  if (!socket.IsValid()) return CallId();
  Connection& connection = m_connections.FindOrInsert(socket);
  connection.address = address;
  connection.answer_charge.Open(&m_sockets->Buffers(), BufferKind::kAnswer,
                                address, this, BufferKey(socket.Value()));
  connection.request_charge.Open(&m_sockets->Buffers(), BufferKind::kOutput,
                                 address, this, BufferKey(socket.Value()));
  connection.request_charge.SetEvictable(false);
  connection.request_charge.SetBytes(request.capacity());
  connection.idle_key = IdleKey(address, policy.lane);
  BeginCall(&connection, id, request, policy);
  connection.connect_deadline = m_clock->Now() + policy.connect_timeout;
  m_calls.FindOrInsert(id) = {socket, events, std::move(request),
                              std::move(name)};
  return id;
}

void ConnectionPool::BeginCall(Connection* connection, CallId id,
                               std::string_view request,
                               const CallPolicy& policy) const {
  connection->call = id;
  if (!policy.response_id.empty()) {
    connection->carried_ids.push_back(
        std::hash<std::string>()(policy.response_id));
  }
  connection->expects_no_body = request.starts_with(kHeadMethod);
  connection->discarded_bytes = 0;
  connection->max_kept_bytes = policy.max_kept_bytes;
  connection->call_deadline = policy.timeout == Duration(0)
                                  ? TimePoint()
                                  : m_clock->Now() + policy.timeout;
  ResetReader(connection);
}

void ConnectionPool::ResetReader(Connection* connection) {
  connection->reader.Reset();
  if (connection->expects_no_body) connection->reader.ExpectNoBody();
}

Duration ConnectionPool::MaxIdleTime(const std::string& address,
                                     TimePoint now) const {
  const auto found = m_idle_limits.find(address);
  return found == m_idle_limits.end() || now >= found->second.valid_until
             ? Duration::max()
             : found->second.max_idle_time;
}

std::string ConnectionPool::IdleKey(const std::string& address,
                                    const std::string& lane) {
  return lane.empty() ? address : address + " " + lane;
}

bool ConnectionPool::HasCarried(const Connection& connection,
                                const std::string& id) {
  const std::vector<size_t>& ids = connection.carried_ids;
  return !id.empty() && std::find(ids.begin(), ids.end(),
                                  std::hash<std::string>()(id)) != ids.end();
}

void ConnectionPool::CloseIdleConnections(const std::string& idle_key) {
  const auto found = m_idle_sockets.find(idle_key);
  if (found == m_idle_sockets.end()) return;
  for (const SocketId id : found->second) {
    m_connections.Erase(id);
    m_sockets->Close(id, /*reset=*/false);
  }
  m_idle_sockets.erase(found);
}

SocketId ConnectionPool::TakeIdleConnection(const std::string& address,
                                            const CallPolicy& policy) {
  const std::string key = IdleKey(address, policy.lane);
  if (!policy.allows_reuse) CloseIdleConnections(key);
  const auto found = m_idle_sockets.find(key);
  if (found == m_idle_sockets.end()) return SocketId();
  std::vector<SocketId>& idle = found->second;
  const TimePoint now = m_clock->Now();
  const Duration limit =
      std::min(policy.max_idle_time, MaxIdleTime(address, now));
  // The most recently used connection is the least likely to have been closed.
  for (size_t i = idle.size(); i-- > 0;) {
    const SocketId id = idle[i];
    Connection* connection = m_connections.Find(id);
    if (connection == nullptr || now >= connection->usable_until) {
      idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
      m_connections.Erase(id);
      m_sockets->Close(id, /*reset=*/false);
      continue;
    }
    const Duration idle_time = now - connection->idle_start;
    if (idle_time > limit) return SocketId();
    if (HasCarried(*connection, policy.response_id)) continue;
    connection->idle_time = idle_time;
    connection->has_response_bytes = false;
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    return id;
  }
  return SocketId();
}

void ConnectionPool::OnConnected(SocketId id) {
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return;
  connection->connected = true;
  Call* call = m_calls.Find(connection->call);
  if (call == nullptr) return;
  m_sockets->Write(id, std::exchange(call->request, {}));
  connection->request_charge.Close();
}

void ConnectionPool::OnBytes(SocketId id, std::string_view bytes) {
  ProcessInput(id, bytes);
}

void ConnectionPool::ProcessInput(SocketId id, std::string_view bytes) {
  while (!bytes.empty()) {
    Connection* connection = m_connections.Find(id);
    if (connection == nullptr) return;
    // An idle connection must not receive anything: the bytes cannot be
    // assigned to a request.
    if (!connection->call.IsValid()) return Fail(id, CallFailure::kMalformed);
    connection->has_response_bytes = true;
    const size_t consumed = connection->reader.Consume(bytes);
    bytes.remove_prefix(consumed);
    if (connection->reader.Error() != ReadError::kNone) return FailRead(id);
    if (!DeliverResponse(id)) return;
    connection = m_connections.Find(id);
    if (connection == nullptr) return;
    if (connection->discarding) {
      connection->discarded_bytes += consumed;
      if (connection->discarded_bytes > kMaxDiscardedBytes) {
        ReportOverflow(*connection, kMaxDiscardedBytes);
        return Fail(id, CallFailure::kTooLarge);
      }
    }
    if (!connection->reader.IsComplete()) continue;
    if (std::exchange(connection->discarding, false)) {
      connection->head_delivered = false;
      ResetReader(connection);
      continue;
    }
    EndCall(id, bytes.empty());
    return;
  }
}

void ConnectionPool::FailRead(SocketId id) {
  const Connection* connection = m_connections.Find(id);
  const Malformation reason = connection->reader.Fault();
  if (reason == Malformation::kNone) {
    ReportOverflow(*connection, kMaxResponseHeaderBytes);
  } else {
    ReportMalformed(*connection, reason);
  }
  DeliverResponse(id);
  Fail(id, reason == Malformation::kNone ? CallFailure::kTooLarge
                                         : CallFailure::kMalformed);
}

bool ConnectionPool::DeliverResponse(SocketId id) {
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return false;
  MessageReader& reader = connection->reader;
  const CallId call_id = connection->call;
  Call* call = m_calls.Find(call_id);
  if (!reader.HasHead() || call == nullptr) {
    connection->answer_charge.SetBytes(reader.HeadMemory());
    return true;
  }
  CallEvents* events = call->events;
  if (!std::exchange(connection->head_delivered, true)) {
    if (HeldEnd::Applies(reader)) {
      connection->held_end.BeginResponse(m_sockets->UnacknowledgedBytes(id));
    }
    const bool belongs_to_call =
        events->OnResponseHead(call_id, reader.MessageHead());
    connection = m_connections.Find(id);
    if (connection == nullptr) return false;
    connection->discarding = !belongs_to_call;
    connection->head_bytes = belongs_to_call ? reader.HeadMemory() : 0;
    connection->answer_charge.SetBytes(connection->head_bytes);
    connection->said_idle_timeout = KeepAliveTimeout(reader.TakeHead().headers);
  }
  const std::string body = std::exchange(reader.Body(), {});
  if (body.empty() || connection->discarding) return true;
  return DeliverBody(id, body);
}

bool ConnectionPool::DeliverBody(SocketId id, std::string_view body) {
  const CallId call = m_connections.Find(id)->call;
  const size_t kept = m_calls.Find(call)->events->OnResponseBody(call, body);
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return false;
  connection->answer_charge.SetBytes(connection->head_bytes + kept);
  if (kept <= connection->max_kept_bytes) return true;
  ReportOverflow(*connection, connection->max_kept_bytes);
  Fail(id, CallFailure::kTooLarge);
  return false;
}

void ConnectionPool::ReportOverflow(const Connection& connection,
                                    size_t bound) {
  m_sockets->Buffers().ReportOverflow(
      {BufferKind::kAnswer, connection.address,
       connection.answer_charge.Bytes() + connection.discarded_bytes, bound});
}

void ConnectionPool::ReportMalformed(const Connection& connection,
                                     Malformation reason) {
  const Call* call = m_calls.Find(connection.call);
  if (m_observer == nullptr || call == nullptr) return;
  m_observer->OnResponseRejected({connection.address, call->name, reason});
}

void ConnectionPool::OnBufferEvicted(BufferKey key) {
  Fail(SocketId(key.Value()), CallFailure::kTooLarge);
}

void ConnectionPool::EndCall(SocketId id, bool reusable) {
  Connection* connection = m_connections.Find(id);
  const CallId call_id = connection->call;
  const Call* call = m_calls.Find(call_id);
  CallEvents* events = call == nullptr ? nullptr : call->events;
  const Head& head = connection->reader.MessageHead();
  const TimePoint now = m_clock->Now();
  const Duration idle_timeout =
      connection->said_idle_timeout - kIdleTimeoutMargin;
  const bool reuse = reusable && head.keep_alive &&
                     idle_timeout > Duration(0) &&
                     connection->carried_ids.size() < kMaxCarriedIds &&
                     m_sockets->PendingBytes(id) == 0;
  connection->call = CallId();
  connection->answer_charge.SetBytes(0);
  m_calls.Erase(call_id);
  if (reuse) {
    connection->head_delivered = false;
    connection->idle_start = now;
    connection->usable_until = now + idle_timeout;
    m_idle_sockets[connection->idle_key].push_back(id);
  } else {
    m_connections.Erase(id);
    m_sockets->Close(id, /*reset=*/false);
  }
  if (events != nullptr) events->OnResponseEnd(call_id);
}

void ConnectionPool::OnEndOfInput(SocketId id) {
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return;
  if (!connection->call.IsValid()) return Fail(id, CallFailure::kBroken);
  if (HeldEnd::Applies(connection->reader) &&
      connection->held_end.Begin(m_sockets->UnacknowledgedBytes(id),
                                 m_clock->Now())) {
    return;
  }
  FinishAtEndOfInput(id);
}

void ConnectionPool::FinishAtEndOfInput(SocketId id) {
  Connection* connection = m_connections.Find(id);
  connection->reader.ConsumeEndOfInput();
  if (connection->reader.Error() == ReadError::kMalformed) {
    ReportMalformed(*connection, connection->reader.Fault());
  }
  if (!DeliverResponse(id)) return;
  connection = m_connections.Find(id);
  if (connection == nullptr) return;
  if (connection->reader.IsComplete() && !connection->discarding) {
    EndCall(id, /*reusable=*/false);
  } else {
    Fail(id, CallFailure::kBroken);
  }
}

void ConnectionPool::CheckHeldEnd(SocketId id, TimePoint now) {
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return;
  switch (connection->held_end.Check(m_sockets->UnacknowledgedBytes(id), now)) {
    case HeldEnd::State::kHeld:
      return;
    case HeldEnd::State::kOver:
      return FinishAtEndOfInput(id);
    case HeldEnd::State::kTimedOut:
      return FailEndedEarly(id);
  }
}

void ConnectionPool::FailEndedEarly(SocketId id) {
  ReportMalformed(*m_connections.Find(id), Malformation::kEndedEarly);
  Fail(id, CallFailure::kEndedEarly);
}

void ConnectionPool::OnFailed(SocketId id) {
  const Connection* connection = m_connections.Find(id);
  if (connection != nullptr && connection->held_end.HasBegun()) {
    return FailEndedEarly(id);
  }
  Fail(id, CallFailure::kBroken);
}

void ConnectionPool::Fail(SocketId id, CallFailure failure) {
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return;
  const CallId call_id = connection->call;
  const bool connected = connection->connected;
  if (call_id.IsValid() && connection->idle_time > Duration(0) &&
      !connection->has_response_bytes) {
    m_idle_limits[connection->address] = {connection->idle_time / 2,
                                          m_clock->Now() + kIdleLimitLifetime};
  }
  if (!call_id.IsValid()) std::erase(m_idle_sockets[connection->idle_key], id);
  m_connections.Erase(id);
  m_sockets->Close(id, /*reset=*/true);
  const Call* call = m_calls.Find(call_id);
  if (call == nullptr) return;
  CallEvents* events = call->events;
  m_calls.Erase(call_id);
  events->OnCallFailed(call_id, connected ? failure : CallFailure::kNotSent);
}

void ConnectionPool::Cancel(CallId id) {
  const Call* call = m_calls.Find(id);
  if (call == nullptr) return;
  const SocketId socket = call->socket;
  m_calls.Erase(id);
  m_connections.Erase(socket);
  m_sockets->Close(socket, /*reset=*/true);
}

void ConnectionPool::SetReading(CallId id, bool reading) {
  const Call* call = m_calls.Find(id);
  if (call != nullptr) m_sockets->SetReading(call->socket, reading);
}

bool ConnectionPool::WasSent(CallId id) const {
  const Call* call = m_calls.Find(id);
  return call != nullptr && call->request.empty();
}

void ConnectionPool::CheckTimeouts(TimePoint now) {
  std::vector<SocketId> timed_out;
  std::vector<SocketId> held;
  for (const auto& [id, connection] : m_connections) {
    const bool unconnected =
        !connection.connected && now > connection.connect_deadline;
    const bool stale =
        !connection.call.IsValid() && now > connection.usable_until;
    const bool overdue = connection.call.IsValid() &&
                         connection.call_deadline != TimePoint() &&
                         now > connection.call_deadline;
    if (unconnected || stale || overdue) {
      timed_out.push_back(id);
    } else if (connection.held_end.HasBegun()) {
      held.push_back(id);
    }
  }
  for (const SocketId id : timed_out) Fail(id, CallFailure::kBroken);
  for (const SocketId id : held) CheckHeldEnd(id, now);
}

}  // namespace burdockhill::http

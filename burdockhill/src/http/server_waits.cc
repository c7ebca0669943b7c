// How Server ends waits: for input, for callers that read nothing, and for
// those that have closed their sending side.

#include <algorithm>
#include <utility>

#include "burdockhill/src/http/server.h"

namespace burdockhill::http {

namespace {

// The caller counts its idle time only from when it has read the response, and
// its next request is under way for a time.
constexpr Duration kIdleMargin = std::chrono::milliseconds(500);
// What has arrived within a time limit is read within this time after it.
constexpr Duration kLateReadTime = std::chrono::milliseconds(500);
// A connection is closed if its caller reads nothing of a response for this
// time.
constexpr Duration kUnreadResponseTimeout = std::chrono::seconds(60);
// Between the first two probes of a caller; each interval is twice as long as
// the one before. Some callers give up after a few interim responses.
constexpr Duration kProbeInterval = std::chrono::milliseconds(200);
constexpr int kMaxProbes = 4;
// A caller that has closed its sending side is taken for gone if nothing can be
// sent to it for so long inside a response.
constexpr Duration kMaxSilence = std::chrono::milliseconds(300);
// Part of all connections that is closed at a time when there are too many, so
// that not each new one has to search for the next.
constexpr size_t kShedDivisor = 32;

}  // namespace

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

size_t Server::ShedConnections() {
  using Waiting = std::pair<TimePoint, SocketId>;
  std::vector<Waiting> idle;
  std::vector<Waiting> unfinished;
  for (const auto& [id, connection] : m_connections) {
    if (connection.exchange.IsValid() || m_sockets->PendingBytes(id) > 0) {
      continue;
    }
    (connection.reader.HasStarted() ? unfinished : idle)
        .emplace_back(connection.wait_start, id);
  }
  const size_t wanted = 1 + m_connections.Size() / kShedDivisor;
  size_t closed = 0;
  std::sort(idle.begin(), idle.end());
  for (const auto& [since, id] : idle) {
    if (closed == wanted) return closed;
    CloseUnlessInputArrived(id);
    if (m_connections.Find(id) == nullptr) ++closed;
  }
  std::sort(unfinished.begin(), unfinished.end());
  for (const auto& [since, id] : unfinished) {
    if (closed == wanted) return closed;
    // A graceful close would keep the descriptor for a time.
    Reject(id, kUnavailable);
    m_sockets->Close(id, /*reset=*/false);
    ++closed;
  }
  return closed;
}

bool Server::MayReadLate(SocketId id, TimePoint now) {
  if (!m_sockets->HasUnreadInput(id)) return false;
  Connection* connection = m_connections.Find(id);
  if (connection->late_since <= connection->wait_start) {
    connection->late_since = now;
  }
  return now - connection->late_since <= kLateReadTime;
}

void Server::CheckTimeouts(TimePoint now) {
  std::vector<SocketId> idle;
  std::vector<SocketId> slow;
  std::vector<SocketId> stuck;
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
    if (!connection.pipelined.empty()) {
      // Its answers are not read, so its further requests are not either.
      stuck.push_back(id);
      continue;
    }
    (connection.reader.HasStarted() ? slow : idle).push_back(id);
  }
  for (const SocketId id : slow) {
    if (!MayReadLate(id, now)) Reject(id, kRequestTimeout);
  }
  for (const SocketId id : idle) CloseUnlessInputArrived(id);
  for (const SocketId id : stuck) {
    RemoveConnection(id);
    m_sockets->Close(id, /*reset=*/true);
  }
  for (const ExchangeId id : gone) m_events->OnCallerDisconnected(id);
}

}  // namespace burdockhill::http

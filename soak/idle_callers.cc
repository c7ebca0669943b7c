#include "soak/idle_callers.h"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

#include "soak/callers.h"

namespace burdockhill::soak {

namespace {

constexpr int kConnections = 16;  // To each entry.
constexpr Duration kConnectInterval = std::chrono::milliseconds(200);
constexpr double kShareOfLimit = 0.8;
// Half of the idle times are as long as they may be.
constexpr double kMinShare = 0.3;
// A request that is due is sent so late at most, or not at all.
constexpr Duration kMaxDelay = std::chrono::milliseconds(30);

Duration AnnouncedTime(const http::Headers& headers) {
  constexpr std::string_view kName = "timeout=";
  const std::string* field = headers.Find("Keep-Alive");
  if (field == nullptr || !field->starts_with(kName)) return Duration::max();
  return std::chrono::seconds(std::atoi(field->c_str() + kName.size()));
}

}  // namespace

IdleCallers::IdleCallers(const Environment& environment, NextRequest next)
    : m_environment(environment),
      m_next(std::move(next)),
      m_random(environment.seed + 3) {}

void IdleCallers::SendDue(Duration limit) {
  const TimePoint now = m_environment.clock->Now();
  const Duration allowed = std::chrono::duration_cast<Duration>(
      kShareOfLimit * std::chrono::duration<double>(limit));
  std::vector<SocketId> due;
  std::vector<SocketId> over;
  std::vector<int> open(m_environment.entries);
  for (const auto& [id, connection] : m_connections) {
    ++open[connection.entry];
    if (!connection.is_kept || connection.caller != nullptr) continue;
    const Duration most = std::min(allowed, connection.announced);
    const Duration idle = now - connection.idle_since;
    if (idle > most + kMaxDelay) {
      over.push_back(id);
    } else if (std::chrono::duration<double>(idle) >=
               connection.share * std::chrono::duration<double>(most)) {
      due.push_back(id);
    }
  }
  for (const SocketId id : over) Fail(id);
  for (const SocketId id : due) Send(id);
  if (now < m_connect_at) return;
  m_connect_at = now + kConnectInterval;
  for (int entry = 0; entry < m_environment.entries; ++entry) {
    if (open[entry] >= kConnections) continue;
    const SocketId id = m_environment.sockets->Connect(
        *ParseAddress(m_environment.Host(0, 11 + entry) + ":8000"), this);
    if (id.IsValid()) m_connections[id].entry = entry;
  }
}

void IdleCallers::Send(SocketId id) {
  Connection& connection = m_connections.at(id);
  Request request = m_next(connection.entry, connection.is_kept);
  connection.caller = request.caller;
  connection.reader.Reset();
  m_environment.sockets->Write(id, request.bytes);
}

void IdleCallers::OnConnected(SocketId id) { Send(id); }

void IdleCallers::OnBytes(SocketId id, std::string_view bytes) {
  Connection& connection = m_connections.at(id);
  if (connection.caller == nullptr) return Fail(id);
  bytes.remove_prefix(connection.reader.Consume(bytes));
  const bool is_wrong = connection.reader.Error() != http::ReadError::kNone;
  if (is_wrong || !bytes.empty()) return Fail(id);
  if (connection.reader.IsComplete()) EndAnswer(id);
}

void IdleCallers::OnEndOfInput(SocketId id) {
  Connection& connection = m_connections.at(id);
  if (connection.caller != nullptr) {
    connection.reader.ConsumeEndOfInput();
    if (connection.reader.IsComplete()) EndAnswer(id);
  }
  Fail(id);
}

void IdleCallers::OnFailed(SocketId id) { Fail(id); }

void IdleCallers::EndAnswer(SocketId id) {
  Connection& connection = m_connections.at(id);
  Caller* caller = std::exchange(connection.caller, nullptr);
  const http::Head& head = connection.reader.MessageHead();
  caller->OnResponseHead({}, head);
  caller->OnResponseBody({}, connection.reader.Body());
  caller->OnResponseEnd({});
  connection.reader.Body().clear();
  connection.is_kept = true;
  connection.idle_since = m_environment.clock->Now();
  connection.announced =
      head.keep_alive ? AnnouncedTime(head.headers) : Duration(0);
  connection.share =
      std::min(1.0, kMinShare + 2 * (1 - kMinShare) * m_random.UniformDouble());
  if (connection.announced == Duration(0)) Fail(id);
}

void IdleCallers::Fail(SocketId id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) return;
  Caller* caller = found->second.caller;
  const bool has_head = found->second.reader.HasHead();
  if (caller != nullptr) {
    if (has_head) {
      caller->OnResponseHead({}, found->second.reader.MessageHead());
    }
    caller->OnResponseBody({}, found->second.reader.Body());
    caller->OnCallFailed({}, http::CallFailure::kBroken);
  }
  m_connections.erase(found);
  m_environment.sockets->Close(id, /*reset=*/false);
}

}  // namespace burdockhill::soak

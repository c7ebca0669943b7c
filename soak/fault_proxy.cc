#include "soak/fault_proxy.h"

#include <algorithm>
#include <utility>

#include "burdockhill/src/http/message_reader.h"

namespace burdockhill::soak {

FaultProxy::FaultProxy(Sockets* sockets, emulation::EventQueue* queue,
                       const Clock* clock, const std::string& address,
                       const std::string& target)
    : m_sockets(sockets),
      m_queue(queue),
      m_clock(clock),
      m_target_address(*ParseAddress(target)) {
  m_sockets->Listen(*ParseAddress(address), this);
}

SocketEvents* FaultProxy::OnAccepted(SocketId id) {
  const SocketId target = m_sockets->Connect(m_target_address, this);
  if (!target.IsValid()) return nullptr;
  m_connections.FindOrInsert(id) = {target, false, true, "", false, {}, ""};
  m_connections.FindOrInsert(target) = {id, true, false, "", false, {}, ""};
  return this;
}

void FaultProxy::OnConnected(SocketId id) {
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return;
  connection->connected = true;
  m_sockets->Write(id, std::exchange(connection->unsent_bytes, {}));
}

void FaultProxy::OnBytes(SocketId id, std::string_view bytes) {
  Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return;
  const bool dropped =
      m_fault == Fault::kDropAll ||
      (m_fault == Fault::kDropResponses && connection->to_target);
  connection->drops_all = connection->drops_all || dropped;
  if (connection->drops_all) return;
  if (m_repeats) RepeatAnswer(id, bytes);
  const TimePoint now = m_clock->Now();
  const TimePoint at = std::max(now + m_delay, connection->forward_at);
  if (at <= now) return Forward(id, bytes);
  connection->forward_at = at;
  m_queue->Schedule(
      at - now, [this, id, text = std::string(bytes)] { Forward(id, text); });
}

void FaultProxy::RepeatAnswer(SocketId id, std::string_view bytes) {
  Connection* connection = m_connections.Find(id);
  if (!connection->to_target) {
    m_sockets->Write(id, std::exchange(connection->last_answer, {}));
    return;
  }
  http::MessageReader reader(http::MessageKind::kResponse, bytes.size());
  const bool is_whole =
      reader.Consume(bytes) == bytes.size() && reader.IsComplete();
  Connection* other = m_connections.Find(connection->other);
  if (other != nullptr) other->last_answer = is_whole ? bytes : "";
}

void FaultProxy::Forward(SocketId id, std::string_view bytes) {
  const Connection* connection = m_connections.Find(id);
  if (connection == nullptr || connection->drops_all) return;
  Connection* other = m_connections.Find(connection->other);
  if (other == nullptr) return;
  if (!other->connected) {
    other->unsent_bytes.append(bytes);
  } else {
    m_sockets->Write(connection->other, bytes);
  }
}

void FaultProxy::OnEndOfInput(SocketId id) { CloseBoth(id, /*reset=*/false); }
void FaultProxy::OnFailed(SocketId id) { CloseBoth(id, /*reset=*/true); }

void FaultProxy::CloseBoth(SocketId id, bool reset) {
  const Connection* connection = m_connections.Find(id);
  if (connection == nullptr) return;
  const SocketId other = connection->other;
  m_connections.Erase(id);
  m_connections.Erase(other);
  for (const SocketId side : {id, other}) {
    if (reset) {
      m_sockets->Close(side, true);
    } else {
      m_sockets->CloseGracefully(side);
    }
  }
}

void FaultProxy::CloseAll(bool reset) {
  m_had_fault = true;
  std::vector<SocketId> ids;
  for (const auto& [id, connection] : m_connections) ids.push_back(id);
  for (const SocketId id : ids) CloseBoth(id, reset);
}

}  // namespace burdockhill::soak

#include "soak/fault_proxy.h"

#include <algorithm>
#include <utility>

#include "burdockhill/src/http/message_reader.h"
#include "soak/malformed.h"

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
  if (m_is_gone) return nullptr;
  const SocketId target = m_sockets->Connect(m_target_address, this);
  if (!target.IsValid()) return nullptr;
  m_connections.FindOrInsert(id) = {target, false, true,  "", false,
                                    {},     "",    false, 0};
  m_connections.FindOrInsert(target) = {id, true, false, "", false,
                                        {}, "",   false, 0};
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
  if (connection == nullptr || connection->is_endless) return;
  if (m_endless != nullptr && !connection->to_target) {
    return StartEndless(id, bytes);
  }
  const bool dropped =
      m_fault == Fault::kDropAll ||
      (m_fault == Fault::kDropResponses && connection->to_target);
  connection->drops_all = connection->drops_all || dropped;
  if (connection->drops_all) return;
  if (m_heads_to_cut > 0 && connection->to_target && CutHead(id, bytes)) return;
  if (m_malformed_to_send > 0 &&
      (connection->to_target ? ForwardMalformed(id, bytes)
                             : AnswerEarly(id, bytes))) {
    return;
  }
  if (m_repeats) RepeatAnswer(id, bytes);
  const TimePoint now = m_clock->Now();
  TimePoint at = std::max(now + m_delay, connection->forward_at);
  if (connection->to_target) at = std::max(at, m_silent_until);
  if (at <= now) return Forward(id, bytes);
  connection->forward_at = at;
  m_queue->Schedule(
      at - now, [this, id, text = std::string(bytes)] { Forward(id, text); });
}

void FaultProxy::SetGone(bool gone) {
  m_is_gone = gone;
  if (gone) CloseAll(/*reset=*/true);
}

void FaultProxy::CutHeads(int answers, double position, bool reset) {
  m_heads_to_cut = answers;
  m_cut_position = position;
  m_cut_resets = reset;
}

void FaultProxy::SendMalformed(int answers, uint64_t number) {
  m_malformed_to_send = answers;
  m_malformed_number = number;
}

bool FaultProxy::ForwardMalformed(SocketId id, std::string_view bytes) {
  if (!BeginsAnswer(bytes)) return false;
  --m_malformed_to_send;
  ++m_malformed_count;
  NoteFault();
  Forward(id, MakeMalformed(bytes, m_malformed_number++));
  return true;
}

bool FaultProxy::AnswerEarly(SocketId id, std::string_view bytes) {
  constexpr size_t kMinUploadDigits = 7;  // 1 MB, more than sockets take.
  if (!bytes.starts_with("POST ") ||
      FieldOf(bytes, "Content-Length").size() < kMinUploadDigits) {
    return false;
  }
  --m_malformed_to_send;
  ++m_malformed_count;
  NoteFault();
  m_sockets->Write(id, BeginEarlyAnswer(FieldOf(bytes, "X-Request-Id")));
  const SocketId target = m_connections.Find(id)->other;
  m_connections.Erase(id);
  m_connections.Erase(target);
  m_sockets->Close(target, /*reset=*/true);
  m_sockets->Close(id, /*reset=*/m_malformed_number++ % 2 == 0);
  return true;
}

bool FaultProxy::CutHead(SocketId id, std::string_view bytes) {
  if (!BeginsAnswer(bytes)) return false;
  const size_t end = bytes.find("\r\n\r\n");
  --m_heads_to_cut;
  NoteFault();
  auto cut =
      static_cast<size_t>(m_cut_position * static_cast<double>(end + 3)) + 1;
  // Every other cut is at the end of a line, where a head may look complete.
  if (++m_cut_count % 2 == 0) {
    cut = std::min(bytes.find("\r\n", cut - 1), end) + 2;
  }
  Forward(id, bytes.substr(0, cut));
  CloseBoth(id, m_cut_resets);
  return true;
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
  if (connection == nullptr || connection->drops_all ||
      connection->is_endless) {
    return;
  }
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

void FaultProxy::SendEndless(const EndlessAnswer& answer, TimePoint until) {
  EndEndless();
  NoteFault();
  m_endless = &answer;
  m_endless_until = until;
}

void FaultProxy::EndEndless() {
  if (m_endless == nullptr) return;
  NoteFault();
  m_endless = nullptr;
  std::vector<SocketId> ids;
  for (const auto& [id, connection] : m_connections) {
    if (connection.is_endless) ids.push_back(id);
  }
  for (const SocketId id : ids) CloseBoth(id, /*reset=*/true);
}

void FaultProxy::Tick() {
  if (m_endless == nullptr) return;
  if (m_clock->Now() >= m_endless_until) return EndEndless();
  std::vector<SocketId> ids;
  for (const auto& [id, connection] : m_connections) {
    if (connection.is_endless) ids.push_back(id);
  }
  for (const SocketId id : ids) WriteEndless(id);
}

void FaultProxy::StartEndless(SocketId id, std::string_view request) {
  constexpr std::string_view kField = "X-Request-Id: ";
  std::string name;
  if (const size_t at = request.find(kField); at != request.npos) {
    const size_t start = at + kField.size();
    name = request.substr(start, request.find("\r\n", start) - start);
  }
  Connection* connection = m_connections.Find(id);
  connection->is_endless = true;
  Connection* other = m_connections.Find(connection->other);
  if (other != nullptr) other->is_endless = true;
  std::string head = m_endless->head;
  if (const size_t at = head.find(kIdMark); at != std::string::npos) {
    head.replace(at, 1, name);
  }
  m_sockets->Write(id, head);
  WriteEndless(id);
}

void FaultProxy::WriteEndless(SocketId id) {
  constexpr int kMaxParts = 16;  // So that other connections have their turn.
  for (int i = 0; i < kMaxParts; ++i) {
    Connection* connection = m_connections.Find(id);
    if (m_endless == nullptr || connection == nullptr ||
        !connection->is_endless || connection->to_target ||
        connection->endless_bytes >= m_endless->max_bytes ||
        m_sockets->PendingBytes(id) > 0) {
      return;
    }
    connection->endless_bytes += m_endless->part.size();
    m_sockets->Write(id, m_endless->part);
  }
}

void FaultProxy::CloseAll(bool reset) {
  NoteFault();
  std::vector<SocketId> ids;
  for (const auto& [id, connection] : m_connections) ids.push_back(id);
  for (const SocketId id : ids) CloseBoth(id, reset);
}

}  // namespace burdockhill::soak

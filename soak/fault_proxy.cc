#include "soak/fault_proxy.h"

#include <algorithm>
#include <utility>

namespace burdockhill::soak {

FaultProxy::FaultProxy(Sockets* sockets, emulation::EventQueue* queue,
                       const Clock* clock, const std::string& address,
                       const std::string& target)
    : m_sockets(sockets),
      m_queue(queue),
      m_clock(clock),
      m_target(*ParseAddress(target)) {
  m_sockets->Listen(*ParseAddress(address), this);
}

SocketEvents* FaultProxy::OnAccepted(SocketId id) {
  const SocketId target = m_sockets->Connect(m_target, this);
  if (!target.IsValid()) return nullptr;
  m_ends.FindOrInsert(id) = {target, false, true, "", false, {}};
  m_ends.FindOrInsert(target) = {id, true, false, "", false, {}};
  return this;
}

void FaultProxy::OnConnected(SocketId id) {
  End* end = m_ends.Find(id);
  if (end == nullptr) return;
  end->connected = true;
  m_sockets->Write(id, std::exchange(end->early, {}));
}

void FaultProxy::OnBytes(SocketId id, std::string_view bytes) {
  End* end = m_ends.Find(id);
  if (end == nullptr) return;
  const bool swallowed = m_fault == Fault::kSilence ||
                         (m_fault == Fault::kSilenceAnswers && end->to_target);
  end->silent = end->silent || swallowed;
  if (end->silent) return;
  const TimePoint now = m_clock->Now();
  const TimePoint at = std::max(now + m_delay, end->pass_on_at);
  if (at <= now) return PassOn(id, bytes);
  end->pass_on_at = at;
  m_queue->Schedule(
      at - now, [this, id, text = std::string(bytes)] { PassOn(id, text); });
}

void FaultProxy::PassOn(SocketId id, std::string_view bytes) {
  const End* end = m_ends.Find(id);
  if (end == nullptr || end->silent) return;
  End* other = m_ends.Find(end->other);
  if (other == nullptr) return;
  if (!other->connected) {
    other->early.append(bytes);
  } else {
    m_sockets->Write(end->other, bytes);
  }
}

void FaultProxy::OnEndOfInput(SocketId id) { Drop(id, /*reset=*/false); }
void FaultProxy::OnFailed(SocketId id) { Drop(id, /*reset=*/true); }

void FaultProxy::Drop(SocketId id, bool reset) {
  const End* end = m_ends.Find(id);
  if (end == nullptr) return;
  const SocketId other = end->other;
  m_ends.Erase(id);
  m_ends.Erase(other);
  for (const SocketId side : {id, other}) {
    if (reset) {
      m_sockets->Close(side, true);
    } else {
      m_sockets->CloseGracefully(side);
    }
  }
}

void FaultProxy::ResetAll() {
  std::vector<SocketId> ids;
  for (const auto& [id, end] : m_ends) ids.push_back(id);
  for (const SocketId id : ids) Drop(id, /*reset=*/true);
}

}  // namespace burdockhill::soak

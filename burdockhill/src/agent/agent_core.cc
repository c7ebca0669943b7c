#include "burdockhill/src/agent/agent_core.h"

#include <algorithm>

#include "burdockhill/src/agent/attempt_operations.h"

namespace burdockhill {

AgentCore::AgentCore(
    const AgentIdentity& self,
    const std::vector<std::pair<EngineName, std::string>>& back_ends,
    const Clock* clock, PeerLink* peers, EngineLink* engines)
    : m_clock(clock),
      m_peers(peers),
      m_decode_reservation(&m_board, peers, engines),
      m_prefill_queue(&m_board, peers, engines),
      m_plain_calls(&m_board, peers, engines),
      m_cancellation(&m_board, peers, engines),
      m_engine_health(&m_board, engines),
      m_load_reporting(&m_board, peers),
      m_configuration(&m_board) {
  m_board.self = self;
  for (const auto& [name, address] : back_ends) {
    Engine& engine = m_board.engines[name];
    engine.name = name;
    engine.address = address;
  }
  UpdateNow();
}

void AgentCore::SetBuffers(BufferBudget* buffers) {
  m_board.buffers = buffers;
  m_board.buffer_owner = this;
}

void AgentCore::OnBufferEvicted(BufferKey key) {
  for (auto& [id, attempt] : m_board.attempts) {
    if (attempt.result_charge == nullptr || attempt.buffer_key != key) continue;
    return internal::DropResults(&m_board, &attempt);
  }
}

void AgentCore::Leave() { m_shutting_down = true; }

bool AgentCore::IsIdle() const {
  return std::all_of(m_board.attempts.begin(), m_board.attempts.end(),
                     [](const auto& item) {
                       return item.second.phase == AttemptPhase::kDone;
                     });
}

void AgentCore::Tick() {
  UpdateNow();
  const bool leaving = m_shutting_down || m_board.drain_configured;
  if (leaving != m_board.leaving) {
    m_board.leaving = leaving;
    m_board.report_due = true;
  }
  m_engine_health.Tick();
  m_cancellation.Tick();
  m_decode_reservation.ProcessQueue();
  m_prefill_queue.ProcessQueue();
  m_load_reporting.SendDueReport();
}

void AgentCore::OnPeerUp(const Hello& peer) {
  UpdateNow();
  if (peer.role != Role::kEntry) return;
  const auto known = m_board.entry_incarnations.find(peer.vm);
  if (known != m_board.entry_incarnations.end() &&
      known->second != peer.incarnation) {
    // The entry has restarted, which disconnected all callers of the old
    // incarnation.
    for (const auto& [id, attempt] : m_board.attempts) {
      if (id.entry == known->second) m_board.attempts_to_cancel.push_back(id);
    }
  }
  m_board.entry_incarnations[peer.vm] = peer.incarnation;
  m_board.connected_entries[peer.vm] = peer.incarnation;
  m_load_reporting.OnPeerUp(peer.vm);
}

void AgentCore::OnPeerDown(const VmName& vm) {
  m_board.connected_entries.erase(vm);
}

void AgentCore::OnMessage(const VmName& from, const Message& message) {
  UpdateNow();
  if (const auto* m = std::get_if<ReserveDecode>(&message)) {
    m_decode_reservation.OnReserve(from, *m);
  } else if (const auto* m = std::get_if<StartDecode>(&message)) {
    m_decode_reservation.OnStart(from, *m);
  } else if (const auto* m = std::get_if<StartPrefill>(&message)) {
    m_prefill_queue.OnStart(from, *m);
  } else if (const auto* m = std::get_if<CallService>(&message)) {
    m_plain_calls.OnCall(from, *m);
  } else if (const auto* m = std::get_if<CancelAttempt>(&message)) {
    m_cancellation.OnCancel(from, *m);
  } else if (const auto* m = std::get_if<RenewHolds>(&message)) {
    m_cancellation.OnRenew(from, *m);
  } else if (const auto* m = std::get_if<AttachAttempt>(&message)) {
    m_cancellation.OnAttach(from, *m);
  } else if (const auto* m = std::get_if<Heartbeat>(&message)) {
    if (!m->reply) m_peers->Send(from, Heartbeat{m->sequence, true});
  } else if (const auto* m = std::get_if<ConfigurationOffer>(&message)) {
    m_configuration.OnOffer(*m);
  }
}

void AgentCore::OnPrefillDone(const AttemptId& attempt,
                              const std::string& kv_handle,
                              const std::string& kv_source, Tokens prompt,
                              Tokens reused) {
  UpdateNow();
  m_prefill_queue.OnPrefillDone(attempt, kv_handle, kv_source, prompt, reused);
}

void AgentCore::OnTokens(const AttemptId& attempt, uint64_t offset,
                         uint32_t tokens, const std::string& text,
                         const std::string& finish_reason) {
  UpdateNow();
  m_decode_reservation.OnTokens(attempt, offset, tokens, text, finish_reason);
}

void AgentCore::OnCommandFailed(const AttemptId& attempt, ErrorKind kind,
                                bool ran) {
  UpdateNow();
  m_cancellation.OnCommandFailed(attempt, kind, ran);
}

void AgentCore::OnCancelConfirmed(const AttemptId& attempt) {
  UpdateNow();
  m_cancellation.OnCancelConfirmed(attempt);
}

void AgentCore::OnCallAnswered(const AttemptId& attempt, int status,
                               const std::string& content_type,
                               const std::string& body) {
  UpdateNow();
  m_plain_calls.OnAnswered(attempt, status, content_type, body);
}

void AgentCore::OnEngineState(const EngineName& engine,
                              const std::optional<EngineState>& state) {
  UpdateNow();
  m_engine_health.OnEngineState(engine, state);
}

}  // namespace burdockhill

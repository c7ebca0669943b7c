#include "burdockhill/src/agent/agent_core.h"

#include <algorithm>

namespace burdockhill {

AgentCore::AgentCore(
    const AgentIdentity& self,
    const std::vector<std::pair<EngineName, std::string>>& back_ends,
    const Clock* clock, PeerLink* peers, EngineLink* engines)
    : m_clock(clock),
      m_peers(peers),
      m_decodes(&m_board, peers, engines),
      m_prefills(&m_board, peers, engines),
      m_calls(&m_board, peers, engines),
      m_cancellation(&m_board, peers, engines),
      m_health(&m_board, engines),
      m_reporting(&m_board, peers),
      m_configuration(&m_board) {
  m_board.self = self;
  for (const auto& [name, address] : back_ends) {
    Engine& engine = m_board.engines[name];
    engine.name = name;
    engine.address = address;
  }
  Touch();
}

void AgentCore::Leave() { m_stopping = true; }

bool AgentCore::IsIdle() const {
  return std::all_of(m_board.attempts.begin(), m_board.attempts.end(),
                     [](const auto& item) {
                       return item.second.phase == AttemptPhase::kDone;
                     });
}

void AgentCore::Step() {
  Touch();
  const bool leaving = m_stopping || m_board.drain_configured;
  if (leaving != m_board.leaving) {
    m_board.leaving = leaving;
    m_board.report_due = true;
  }
  m_health.Step();
  m_cancellation.Step();
  m_decodes.Step();
  m_prefills.Step();
  m_reporting.Step();
}

void AgentCore::OnPeerUp(const Hello& peer) {
  Touch();
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
  m_reporting.OnPeerUp(peer.vm);
}

void AgentCore::OnPeerDown(const VmName& vm) {
  m_board.connected_entries.erase(vm);
}

void AgentCore::OnMessage(const VmName& from, const Message& message) {
  Touch();
  if (const auto* m = std::get_if<ReserveDecode>(&message)) {
    m_decodes.OnReserve(from, *m);
  } else if (const auto* m = std::get_if<StartDecode>(&message)) {
    m_decodes.OnStart(from, *m);
  } else if (const auto* m = std::get_if<StartPrefill>(&message)) {
    m_prefills.OnStart(from, *m);
  } else if (const auto* m = std::get_if<CallService>(&message)) {
    m_calls.OnCall(from, *m);
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
  Touch();
  m_prefills.OnPrefillDone(attempt, kv_handle, kv_source, prompt, reused);
}

void AgentCore::OnTokens(const AttemptId& attempt, uint64_t offset,
                         uint32_t tokens, const std::string& text,
                         const std::string& finish_reason) {
  Touch();
  m_decodes.OnTokens(attempt, offset, tokens, text, finish_reason);
}

void AgentCore::OnCommandFailed(const AttemptId& attempt, ErrorKind kind,
                                bool ran) {
  Touch();
  m_cancellation.OnCommandFailed(attempt, kind, ran);
}

void AgentCore::OnCancelConfirmed(const AttemptId& attempt) {
  Touch();
  m_cancellation.OnCancelConfirmed(attempt);
}

void AgentCore::OnCallAnswered(const AttemptId& attempt, int status,
                               const std::string& content_type,
                               const std::string& body) {
  Touch();
  m_calls.OnAnswered(attempt, status, content_type, body);
}

void AgentCore::OnEngineState(const EngineName& engine,
                              const std::optional<EngineState>& state) {
  Touch();
  m_health.OnEngineState(engine, state);
}

}  // namespace burdockhill

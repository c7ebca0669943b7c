#include "burdockhill/src/agent/plain_calls.h"

#include "burdockhill/src/agent/attempt_operations.h"

namespace burdockhill {

namespace {
// Calls in flight to one plain service; further ones are refused.
constexpr size_t kMaxCalls = 256;
}  // namespace

void PlainCalls::OnCall(const VmName& entry, const CallService& call) {
  if (!internal::AdmitNewAttempt(m_board, m_peers, entry, call.attempt,
                                 call.service)) {
    return;
  }
  const auto refuse = [&](ErrorKind kind) {
    internal::RefuseAttempt(m_board, m_peers, entry, call.attempt, kind,
                            Duration(0));
  };
  if (!m_board->self.serves_plain) return refuse(ErrorKind::kUpstreamRefused);
  Engine& back_end = m_board->engines.begin()->second;
  if (!back_end.reachable) return refuse(ErrorKind::kUpstreamRefused);
  if (back_end.used_slots >= kMaxCalls) return refuse(ErrorKind::kOverloaded);

  Attempt& attempt = m_board->attempts.FindOrInsert(call.attempt);
  attempt.id = call.attempt;
  attempt.kind = AttemptKind::kCall;
  attempt.phase = AttemptPhase::kRunning;
  attempt.entry = entry;
  attempt.engine = back_end.name;
  attempt.queued_at = m_board->now;
  attempt.started_at = m_board->now;
  attempt.hold_expires_at = m_board->now + kHoldTimeout;
  internal::OpenResultCharge(m_board, &attempt);
  ++back_end.used_slots;
  ++m_board->counters.calls;
  m_engines->Call(back_end.name, call);
}

void PlainCalls::OnAnswered(const AttemptId& id, int status,
                            const std::string& content_type,
                            const std::string& body) {
  Attempt* attempt = m_board->attempts.Find(id);
  if (attempt == nullptr || attempt->phase != AttemptPhase::kRunning) return;
  internal::ReleaseResources(m_board, attempt);
  attempt->phase = AttemptPhase::kDone;
  if (attempt->abandoned) {
    m_board->attempts_to_cancel.push_back(id);
    return;
  }
  attempt->call_answer = CallAnswered{id, status, content_type, body};
  internal::UpdateResultCharge(attempt);
  m_peers->Send(attempt->entry, *attempt->call_answer);
}

}  // namespace burdockhill

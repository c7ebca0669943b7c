#include "burdockhill/src/agent/engine_health.h"

#include <set>

#include "burdockhill/src/agent/attempt_store.h"

namespace burdockhill {

namespace {
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
// An answer that takes longer counts as none.
constexpr Duration kPollTimeout = std::chrono::seconds(2);
// An engine that has not answered for so long is taken to hang.
constexpr Duration kHangTime = std::chrono::seconds(5);
}  // namespace

void EngineHealth::OnState(const EngineName& name,
                           const std::optional<EngineState>& state) {
  const auto found = m_board->engines.find(name);
  if (found == m_board->engines.end()) return;
  Engine& engine = found->second;
  engine.next_poll = m_board->now + kPollInterval;
  const bool was_reachable = engine.reachable;
  const std::optional<EngineState> before = engine.state;
  engine.reachable = state.has_value();
  if (engine.reachable != was_reachable) m_board->report_due = true;
  if (!state.has_value()) return;
  engine.last_answer = m_board->now;
  engine.state = state;
  if (before.has_value() && before->boot != state->boot) OnRestarted(&engine);
  if (!engine.strays_cancelled) CancelStrays(&engine);
}

void EngineHealth::Step() {
  for (auto& [name, engine] : m_board->engines) {
    if (m_board->now < engine.next_poll) continue;
    engine.next_poll = m_board->now + kPollTimeout;
    m_engines->PollState(name);
  }
  for (auto& [name, engine] : m_board->engines) {
    const bool hangs = engine.state.has_value() &&
                       m_board->now - engine.last_answer > kHangTime;
    if (hangs) FailAttempts(&engine);
  }
}

// The engine does not answer. Its attempts are given up, but what they hold
// counts as used until it confirms the cancel or restarts.
void EngineHealth::FailAttempts(Engine* engine) {
  for (const auto& [id, attempt] : m_board->attempts) {
    if (attempt.engine != engine->name ||
        attempt.phase != AttemptPhase::kRunning ||
        attempt.kind == AttemptKind::kCall) {
      continue;
    }
    m_peers->Send(attempt.entry, AttemptFailed{id, ErrorKind::kUpstreamSilent});
    m_board->to_cancel.push_back(id);
  }
}

// The engine has lost all that it held. Attempts on it failed, whether or not
// their connections have noticed.
void EngineHealth::OnRestarted(Engine* engine) {
  ++m_board->counters.engine_restarts;
  std::vector<AttemptId> confirmed;
  for (auto& [id, attempt] : m_board->attempts) {
    if (attempt.engine != engine->name) continue;
    if (attempt.phase == AttemptPhase::kCancelling) {
      confirmed.push_back(id);
    } else if (attempt.phase == AttemptPhase::kRunning) {
      internal::FreeHeld(m_board, &attempt);
      attempt.phase = AttemptPhase::kDone;
      attempt.failure = ErrorKind::kUpstreamFailed;
      m_peers->Send(attempt.entry,
                    AttemptFailed{id, ErrorKind::kUpstreamFailed});
    }
  }
  for (const AttemptId& id : confirmed) m_board->to_release.push_back(id);
}

void EngineHealth::CancelStrays(Engine* engine) {
  engine->strays_cancelled = true;
  std::set<std::string> ours;
  for (const auto& [id, attempt] : m_board->attempts) {
    ours.insert(EngineRequestId(id));
  }
  for (const std::string& request : engine->state->requests) {
    if (!ours.contains(request)) m_engines->CancelStray(engine->name, request);
  }
}

}  // namespace burdockhill

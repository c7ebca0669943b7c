#include "burdockhill/src/agent/engine_health.h"

#include <set>

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
  if (before.has_value() && before->boot != state->boot) {
    // It has lost what it held. An attempt that was started between the restart
    // and this answer may run there, so all are cancelled, not just forgotten.
    ++m_board->counters.engine_restarts;
    FailAttempts(engine, ErrorKind::kUpstreamFailed);
  }
  CancelStrays(engine);
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
    if (hangs) FailAttempts(engine, ErrorKind::kUpstreamSilent);
  }
}

void EngineHealth::FailAttempts(const Engine& engine, ErrorKind kind) {
  for (const auto& [id, attempt] : m_board->attempts) {
    const bool runs_there = attempt.engine == engine.name &&
                            attempt.phase == AttemptPhase::kRunning &&
                            attempt.kind != AttemptKind::kCall;
    if (runs_there) m_board->to_fail.emplace_back(id, kind);
  }
}

// What the engine reports lags, so a request that an earlier agent left there
// may be missing from the first report. It is looked for in every one.
void EngineHealth::CancelStrays(const Engine& engine) {
  std::set<std::string> ours;
  for (const auto& [id, attempt] : m_board->attempts) {
    ours.insert(EngineRequestId(id));
  }
  for (const std::string& request : engine.state->requests) {
    if (!ours.contains(request)) m_engines->CancelStray(engine.name, request);
  }
}

}  // namespace burdockhill

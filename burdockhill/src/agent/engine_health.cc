#include "burdockhill/src/agent/engine_health.h"

#include <set>

namespace burdockhill {

namespace {
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
// A poll that was not answered is sent again after this time.
constexpr Duration kPollRetryInterval = std::chrono::seconds(2);
// An engine that has not answered for this long is considered hung.
constexpr Duration kHangTimeout = std::chrono::seconds(5);
}  // namespace

void EngineHealth::OnEngineState(const EngineName& name,
                                 const std::optional<EngineState>& state) {
  const auto found = m_board->engines.find(name);
  if (found == m_board->engines.end()) return;
  Engine& engine = found->second;
  engine.next_poll_at = m_board->now + kPollInterval;
  const bool was_reachable = engine.reachable;
  const std::optional<EngineState> previous_state = engine.state;
  engine.reachable = state.has_value();
  if (engine.reachable != was_reachable) m_board->report_due = true;
  if (!state.has_value()) return;
  engine.last_answer_at = m_board->now;
  engine.state = state;
  if (previous_state.has_value() && previous_state->boot_id != state->boot_id) {
    // The engine has lost its requests. An attempt that was started between the
    // restart and this report may still run, so each one is cancelled on the
    // engine rather than only erased here.
    ++m_board->counters.engine_restarts;
    FailRunningAttempts(engine, ErrorKind::kUpstreamFailed);
  }
  CancelOrphanedRequests(engine);
}

void EngineHealth::Tick() {
  for (auto& [name, engine] : m_board->engines) {
    if (m_board->now < engine.next_poll_at) continue;
    engine.next_poll_at = m_board->now + kPollRetryInterval;
    m_engines->PollState(name);
  }
  for (auto& [name, engine] : m_board->engines) {
    const bool is_hung = engine.state.has_value() &&
                         m_board->now - engine.last_answer_at > kHangTimeout;
    if (is_hung) FailRunningAttempts(engine, ErrorKind::kUpstreamSilent);
  }
}

void EngineHealth::FailRunningAttempts(const Engine& engine, ErrorKind kind) {
  for (const auto& [id, attempt] : m_board->attempts) {
    const bool runs_on_engine = attempt.engine == engine.name &&
                                attempt.phase == AttemptPhase::kRunning &&
                                attempt.kind != AttemptKind::kCall;
    if (runs_on_engine) m_board->attempts_to_fail.emplace_back(id, kind);
  }
}

// The reported state lags, so a request of an earlier agent process may be
// missing from the first report. Every report is therefore checked.
void EngineHealth::CancelOrphanedRequests(const Engine& engine) {
  std::set<std::string> known;
  for (const auto& [id, attempt] : m_board->attempts) {
    known.insert(EngineRequestId(id));
  }
  for (const std::string& id : engine.state->request_ids) {
    if (!known.contains(id)) m_engines->CancelOrphanedRequest(engine.name, id);
  }
}

}  // namespace burdockhill

#include "burdockhill/src/agent/prefill_queue.h"

#include <xxhash.h>

#include <algorithm>

#include "burdockhill/src/agent/attempt_operations.h"

namespace burdockhill {

namespace {

// Prefills in flight to one engine: one runs, and the next one waits there so
// that the engine does not idle in between.
constexpr uint32_t kMaxPrefillsInFlight = 2;
// Prompts with the same first bytes, up to this many, are treated as sharing a
// prefix.
constexpr size_t kPrefixBytes = 1024;
constexpr size_t kMaxPrefixes = 4096;
// Longest additional wait accepted for an engine that has the prefix cached.
constexpr Duration kMaxAffinityWait = std::chrono::milliseconds(50);

uint64_t PrefixHash(const std::string& text) {
  return XXH3_64bits(text.data(), std::min(text.size(), kPrefixBytes));
}

}  // namespace

void PrefillQueue::OnStart(const VmName& entry, const StartPrefill& message) {
  if (!internal::AdmitNewAttempt(m_board, m_peers, entry, message.attempt,
                                 message.service)) {
    return;
  }
  const auto refuse = [&](ErrorKind kind, Duration retry_after) {
    internal::RefuseAttempt(m_board, m_peers, entry, message.attempt, kind,
                            retry_after);
  };

  Attempt attempt;
  attempt.id = message.attempt;
  attempt.kind = AttemptKind::kPrefill;
  attempt.entry = entry;
  attempt.request_class = message.request_class;
  attempt.prompt = message.prompt;
  attempt.queued_at = m_board->now;
  attempt.queue_deadline = m_board->now + message.wait_budget;
  attempt.hold_expires_at = m_board->now + kHoldTimeout;
  attempt.prefill_command = {message.attempt, message.request_class,
                             message.text, message.parameters};
  Engine* engine = ChooseEngine(attempt);
  if (engine == nullptr) {
    return refuse(ErrorKind::kUpstreamRefused, Duration(0));
  }
  const Duration wait = PredictedWait(*engine);
  if (wait > message.wait_budget) return refuse(ErrorKind::kOverloaded, wait);

  engine->queued_prefill += attempt.prompt;
  attempt.engine = engine->name;
  if (m_engine_by_prefix.size() >= kMaxPrefixes) m_engine_by_prefix.clear();
  m_engine_by_prefix[PrefixHash(message.text)] = engine->name;
  Attempt& stored = m_board->attempts.FindOrInsert(message.attempt);
  stored = std::move(attempt);
  internal::Enqueue(m_board, &m_board->prefill_queue, stored);
}

void PrefillQueue::OnPrefillDone(const AttemptId& id,
                                 const std::string& kv_handle,
                                 const std::string& kv_source, Tokens prompt,
                                 Tokens reused) {
  Attempt* attempt = m_board->attempts.Find(id);
  if (attempt == nullptr || attempt->phase != AttemptPhase::kRunning) return;
  internal::OpenResultCharge(m_board, attempt);
  internal::ReleaseResources(m_board, attempt);
  attempt->phase = AttemptPhase::kDone;
  attempt->prefill_done = PrefillDone{id, kv_handle, kv_source, prompt, reused};
  internal::UpdateResultCharge(attempt);
  m_peers->Send(attempt->entry, *attempt->prefill_done);
}

void PrefillQueue::ProcessQueue() {
  std::vector<AttemptId>& queue = m_board->prefill_queue;
  for (size_t i = 0; i < queue.size();) {
    Attempt* attempt = m_board->attempts.Find(queue[i]);
    const bool waited_too_long = attempt->queue_deadline < m_board->now;
    const Engine& engine = m_board->engines.at(attempt->engine);
    if (waited_too_long || m_board->leaving || !engine.reachable) {
      const ErrorKind kind =
          m_board->leaving ? ErrorKind::kLeaving : ErrorKind::kOverloaded;
      const Duration wait = PredictedWait(engine);
      internal::ReleaseResources(m_board, attempt);
      internal::RefuseAttempt(m_board, m_peers, attempt->entry, attempt->id,
                              kind, wait);
      m_board->attempts.Erase(queue[i]);
      queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
      continue;
    }
    if (CountInFlight(attempt->engine) >= kMaxPrefillsInFlight) {
      ++i;
      continue;
    }
    queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
    RunPrefill(attempt);
  }
}

Engine* PrefillQueue::ChooseEngine(const Attempt& attempt) {
  Engine* best = nullptr;
  for (auto& [name, engine] : m_board->engines) {
    if (!engine.HasRole(EngineRole::kPrefill)) continue;
    if (best == nullptr || PredictedWait(engine) < PredictedWait(*best)) {
      best = &engine;
    }
  }
  const auto last =
      m_engine_by_prefix.find(PrefixHash(attempt.prefill_command.text));
  if (best == nullptr || last == m_engine_by_prefix.end()) return best;
  Engine& with_prefix = m_board->engines.at(last->second);
  const bool usable =
      with_prefix.HasRole(EngineRole::kPrefill) &&
      PredictedWait(with_prefix) <= PredictedWait(*best) + kMaxAffinityWait;
  return usable ? &with_prefix : best;
}

Duration PrefillQueue::PredictedWait(const Engine& engine) const {
  if (!engine.state.has_value()) return kHoldTimeout;
  constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
  return Duration(engine.queued_prefill.Value() * kMicrosecondsPerSecond /
                  std::max<int64_t>(engine.state->prefill_rate, 1));
}

uint32_t PrefillQueue::CountInFlight(const EngineName& engine) const {
  uint32_t in_flight = 0;
  for (const auto& [id, attempt] : m_board->attempts) {
    const bool counts = attempt.kind == AttemptKind::kPrefill &&
                        attempt.engine == engine &&
                        (attempt.phase == AttemptPhase::kRunning ||
                         attempt.phase == AttemptPhase::kCancelling);
    if (counts) ++in_flight;
  }
  return in_flight;
}

void PrefillQueue::RunPrefill(Attempt* attempt) {
  attempt->phase = AttemptPhase::kRunning;
  attempt->started_at = m_board->now;
  ++m_board->counters.prefills;
  const PrefillCommand command = std::move(attempt->prefill_command);
  attempt->prefill_command = {};
  m_engines->Prefill(attempt->engine, command);
}

}  // namespace burdockhill

#include "burdockhill/src/agent/decode_reservation.h"

#include <algorithm>

#include "burdockhill/src/agent/attempt_operations.h"

namespace burdockhill {

namespace {

Pieces PiecesNeeded(const Engine& engine, Tokens prompt, Tokens output) {
  return PiecesFor(prompt + output, engine.state->piece_size);
}

}  // namespace

void DecodeReservation::OnReserve(const VmName& entry,
                                  const ReserveDecode& message) {
  if (!internal::AdmitNewAttempt(m_board, m_peers, entry, message.attempt,
                                 message.service)) {
    return;
  }
  const auto refuse = [&](ErrorKind kind, Duration retry_after) {
    internal::RefuseAttempt(m_board, m_peers, entry, message.attempt, kind,
                            retry_after);
  };
  if (!CanEverFit(message)) {
    return refuse(ErrorKind::kUpstreamRefused, Duration(0));
  }

  Attempt attempt;
  attempt.id = message.attempt;
  attempt.kind = AttemptKind::kDecode;
  attempt.entry = entry;
  attempt.request_class = message.request_class;
  attempt.prompt = message.prompt;
  attempt.expected_output = message.expected_output;
  attempt.queued_at = m_board->now;
  attempt.queue_deadline = m_board->now + message.wait_budget;
  attempt.hold_expires_at = m_board->now + kHoldTimeout;
  if (FindEngineWithCapacity(attempt) == nullptr) {
    const Duration wait = PredictedWait(message.request_class);
    if (wait > message.wait_budget) {
      return refuse(ErrorKind::kOverloaded, wait);
    }
  }
  Attempt& stored = m_board->attempts.FindOrInsert(message.attempt);
  stored = std::move(attempt);
  internal::Enqueue(m_board, &m_board->decode_queue, stored);
}

void DecodeReservation::OnStart(const VmName& entry,
                                const StartDecode& message) {
  Attempt* attempt = m_board->attempts.Find(message.attempt);
  if (attempt == nullptr) {
    return internal::RefuseAttempt(m_board, m_peers, entry, message.attempt,
                                   ErrorKind::kUpstreamRefused, Duration(0));
  }
  if (attempt->phase != AttemptPhase::kGranted) {
    internal::SendAttemptStatus(m_peers, *attempt, message.first_offset);
    return;
  }
  attempt->phase = AttemptPhase::kRunning;
  attempt->started_at = m_board->now;
  attempt->replay.Reset(message.first_offset);
  internal::OpenResultCharge(m_board, attempt);
  ++m_board->counters.decodes;
  DecodeCommand decode;
  decode.attempt = message.attempt;
  decode.request_class = attempt->request_class;
  decode.kv_handle = message.kv_handle;
  decode.kv_source = message.kv_source;
  decode.max_output = message.max_output;
  decode.first_offset = message.first_offset;
  decode.parameters = message.parameters;
  m_engines->Decode(attempt->engine, decode);
}

void DecodeReservation::OnTokens(const AttemptId& id, uint64_t offset,
                                 uint32_t tokens, const std::string& text,
                                 const std::string& finish_reason) {
  Attempt* attempt = m_board->attempts.Find(id);
  if (attempt == nullptr || attempt->phase != AttemptPhase::kRunning) return;
  if (attempt->failure.has_value()) return;
  if (!attempt->replay.Fits(tokens, text)) {
    internal::ReportTooLarge(*m_board, *attempt);
    return internal::DropResults(m_board, attempt);
  }
  if (!attempt->replay.Append(offset, tokens, text, finish_reason)) return;
  internal::UpdateResultCharge(attempt);
  m_board->counters.tokens += tokens;
  m_peers->Send(attempt->entry,
                StreamChunk{id, offset, tokens, text, finish_reason});
  if (finish_reason.empty()) return;
  const std::chrono::duration<double> decode_time =
      m_board->now - attempt->started_at;
  m_board->mean_decode_seconds.Add(decode_time.count());
  internal::ReleaseResources(m_board, attempt);
  attempt->phase = AttemptPhase::kDone;
}

void DecodeReservation::ProcessQueue() {
  std::vector<AttemptId>& queue = m_board->decode_queue;
  for (size_t i = 0; i < queue.size();) {
    Attempt* attempt = m_board->attempts.Find(queue[i]);
    const bool waited_too_long = attempt->queue_deadline < m_board->now;
    if (waited_too_long || m_board->leaving) {
      const ErrorKind kind =
          m_board->leaving ? ErrorKind::kLeaving : ErrorKind::kOverloaded;
      const Duration wait = PredictedWait(attempt->request_class);
      internal::RefuseAttempt(m_board, m_peers, attempt->entry, attempt->id,
                              kind, wait);
      m_board->attempts.Erase(queue[i]);
      queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
      continue;
    }
    Engine* engine = FindEngineWithCapacity(*attempt);
    if (engine == nullptr) {
      ++i;
      continue;
    }
    queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
    Grant(attempt, engine);
  }
}

bool DecodeReservation::CanEverFit(const ReserveDecode& message) const {
  return std::any_of(
      m_board->engines.begin(), m_board->engines.end(), [&](const auto& item) {
        const Engine& engine = item.second;
        return engine.HasRole(EngineRole::kDecode) &&
               PiecesNeeded(engine, message.prompt, message.expected_output) <=
                   engine.state->pieces;
      });
}

Engine* DecodeReservation::FindEngineWithCapacity(const Attempt& attempt) {
  Engine* best = nullptr;
  for (auto& [name, engine] : m_board->engines) {
    if (!engine.HasRole(EngineRole::kDecode)) continue;
    if (engine.used_slots >= engine.state->slots) continue;
    const Pieces needed =
        PiecesNeeded(engine, attempt.prompt, attempt.expected_output);
    if (engine.used_pieces + needed > engine.state->pieces) continue;
    if (best == nullptr || engine.used_slots < best->used_slots) {
      best = &engine;
    }
  }
  return best;
}

Duration DecodeReservation::PredictedWait(RequestClass request_class) const {
  uint32_t slots = 0;
  for (const auto& [name, engine] : m_board->engines) {
    if (engine.HasRole(EngineRole::kDecode)) slots += engine.state->slots;
  }
  // No decode engine is reachable, so only a retry hint can be given.
  if (slots == 0) return std::chrono::seconds(2);
  const auto queued_ahead = std::count_if(
      m_board->decode_queue.begin(), m_board->decode_queue.end(),
      [&](const AttemptId& id) {
        return m_board->attempts.Find(id)->request_class <= request_class;
      });
  const double seconds = m_board->mean_decode_seconds.Value() *
                         static_cast<double>(queued_ahead + 1) / slots;
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Duration(static_cast<int64_t>(seconds * kMicrosecondsPerSecond));
}

void DecodeReservation::Grant(Attempt* attempt, Engine* engine) {
  attempt->phase = AttemptPhase::kGranted;
  attempt->engine = engine->name;
  attempt->reserved_pieces =
      PiecesNeeded(*engine, attempt->prompt, attempt->expected_output);
  attempt->started_at = m_board->now;
  ++engine->used_slots;
  engine->used_pieces += attempt->reserved_pieces;
  ++m_board->counters.granted;
  m_peers->Send(attempt->entry, ReserveGranted{attempt->id, engine->name});
}

}  // namespace burdockhill

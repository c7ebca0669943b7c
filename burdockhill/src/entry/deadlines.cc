#include "burdockhill/src/entry/deadlines.h"

#include "burdockhill/src/entry/request_steps.h"

namespace burdockhill {

namespace {
constexpr char kPart[] = "deadline";
constexpr Duration kCheckInterval = std::chrono::milliseconds(20);
// Longest time between two tokens of a working engine.
constexpr Duration kStallTime = std::chrono::seconds(8);
// Longest time for a reservation or a prefill of an answer that goes on
// elsewhere; the first token has a limit of its own.
constexpr Duration kPrepareTime = std::chrono::seconds(12);
}  // namespace

void Deadlines::Step() {
  if (m_board->now < m_next_check) return;
  m_next_check = m_board->now + kCheckInterval;
  for (auto& [id, request] : m_board->requests) Check(&request);
}

void Deadlines::Check(Request* request) {
  const bool has_ended = request->phase == RequestPhase::kEnded ||
                         request->phase == RequestPhase::kArrived;
  if (has_ended) return;
  if (request->phase == RequestPhase::kCalling) {
    if (m_board->now - request->arrived > request->call_timeout) {
      internal::EndWithError(m_board, request, ErrorKind::kTimeout, kPart);
    }
    return;
  }
  if (request->delivered == 0 && m_board->now > request->first_token_by) {
    internal::EndWithError(m_board, request, ErrorKind::kTimeout, kPart);
    return;
  }
  FailStalledLegs(request);
}

// A connection may go silent anywhere on the way, also between an agent and its
// engine, where nobody else would notice.
void Deadlines::FailStalledLegs(Request* request) {
  const bool decodes = request->phase == RequestPhase::kDecoding;
  const Duration limit = decodes ? kStallTime : kPrepareTime;
  if (m_board->now - request->progress_at <= limit) return;
  request->progress_at = m_board->now;
  for (const AttemptId& id : request->legs) {
    const Leg* leg = m_board->legs.Find(id);
    // While the prompt is computed, the decode slot is only waiting.
    const bool waits = request->phase == RequestPhase::kPrefilling &&
                       leg->kind == LegKind::kDecode;
    if (waits) continue;
    m_board->attempt_ends.push_back(
        {id, leg->vm, ErrorKind::kUpstreamSilent, true, Duration(0)});
  }
}

}  // namespace burdockhill

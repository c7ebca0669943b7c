#include "burdockhill/src/entry/deadlines.h"

#include "burdockhill/src/entry/request_operations.h"

namespace burdockhill {

namespace {
constexpr char kComponent[] = "deadline";
constexpr Duration kCheckInterval = std::chrono::milliseconds(20);
// Longest time between two tokens of a decode.
constexpr Duration kStallTimeout = std::chrono::seconds(8);
// Longest time without progress while reserving or prefilling. Needed when an
// answer resumes on another upstream: the limit of the first token no longer
// applies then.
constexpr Duration kPreparationTimeout = std::chrono::seconds(12);
}  // namespace

void Deadlines::Tick() {
  if (m_board->now < m_next_check) return;
  m_next_check = m_board->now + kCheckInterval;
  for (auto& [id, request] : m_board->requests) CheckDeadlines(&request);
}

void Deadlines::CheckDeadlines(Request* request) {
  const bool has_no_deadline = request->phase == RequestPhase::kEnded ||
                               request->phase == RequestPhase::kArrived;
  if (has_no_deadline) return;
  if (request->phase == RequestPhase::kCalling) {
    if (m_board->now - request->arrived_at > request->call_timeout) {
      internal::EndWithError(m_board, request, ErrorKind::kTimeout, kComponent);
    }
    return;
  }
  if (request->sent_tokens == 0 &&
      m_board->now > request->first_token_deadline) {
    internal::EndWithError(m_board, request, ErrorKind::kTimeout, kComponent);
    return;
  }
  FailStalledAttempts(request);
}

// A connection can go silent anywhere on the path, also between an agent and
// its engine, where no other check detects it.
void Deadlines::FailStalledAttempts(Request* request) {
  const bool is_decoding = request->phase == RequestPhase::kDecoding;
  const Duration limit = is_decoding ? kStallTimeout : kPreparationTimeout;
  if (m_board->now - request->last_progress_at <= limit) return;
  request->last_progress_at = m_board->now;
  for (const AttemptId& id : request->attempts) {
    const EntryAttempt* attempt = m_board->attempts.Find(id);
    // The decode slot is idle while the prompt is computed.
    const bool is_idle_slot = request->phase == RequestPhase::kPrefilling &&
                              attempt->kind == EntryAttemptKind::kDecode;
    if (is_idle_slot) continue;
    m_board->attempt_ends.push_back(
        {id, attempt->vm, ErrorKind::kUpstreamSilent, true, Duration(0)});
  }
}

}  // namespace burdockhill

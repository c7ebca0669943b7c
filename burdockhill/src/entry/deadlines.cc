#include "burdockhill/src/entry/deadlines.h"

#include "burdockhill/src/entry/request_steps.h"

namespace burdockhill {

namespace {
constexpr char kPart[] = "deadline";
constexpr Duration kCheckInterval = std::chrono::milliseconds(20);
// Longest time between two tokens of a working engine.
constexpr Duration kStallTime = std::chrono::seconds(8);
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
  const bool stalls = request->phase == RequestPhase::kDecoding &&
                      request->decode.has_value() &&
                      m_board->now - request->progress_at > kStallTime;
  if (!stalls) return;
  const Leg* leg = m_board->legs.Find(*request->decode);
  request->progress_at = m_board->now;
  m_board->attempt_ends.push_back(
      {leg->id, leg->vm, ErrorKind::kUpstreamSilent, true, Duration(0)});
}

}  // namespace burdockhill

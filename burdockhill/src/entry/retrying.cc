#include "burdockhill/src/entry/retrying.h"

#include <utility>

#include "burdockhill/src/entry/request_operations.h"

namespace burdockhill {

namespace {
constexpr char kComponent[] = "retry";
}  // namespace

void Retrying::OnRefused(const VmName& from, const AttemptRefused& refused) {
  if (refused.kind == ErrorKind::kLeaving) {
    const auto view = m_board->upstreams.find(from);
    if (view != m_board->upstreams.end() && view->second.report.has_value()) {
      view->second.report->leaving = true;
    }
  }
  m_board->attempt_ends.push_back(
      {refused.attempt, from, refused.kind, false, refused.retry_after});
}

void Retrying::OnFailed(const VmName& from, const AttemptFailed& failed) {
  m_board->attempt_ends.push_back(
      {failed.attempt, from, failed.kind, true, Duration(0)});
}

void Retrying::OnReleased(const VmName& from, const AttemptReleased& released) {
  const EntryAttempt* attempt = m_board->attempts.Find(released.attempt);
  if (attempt == nullptr) return;
  if (attempt->releasing) {
    m_board->attempts.Erase(released.attempt);
    return;
  }
  // The agent has released an attempt that this entry still needs: its hold has
  // expired, for instance while this process was paused.
  m_board->attempt_ends.push_back(
      {released.attempt, from, ErrorKind::kUpstreamSilent, true, Duration(0)});
}

void Retrying::Tick() {
  for (const VmName& vm : std::exchange(m_board->lost_agents, {})) {
    FailAttemptsAt(vm);
  }
  for (const AttemptEnd& end : std::exchange(m_board->attempt_ends, {})) {
    HandleAttemptEnd(end);
  }
}

void Retrying::FailAttemptsAt(const VmName& vm) {
  for (const auto& [id, attempt] : m_board->attempts) {
    if (attempt.vm != vm || attempt.releasing) continue;
    m_board->attempt_ends.push_back(
        {id, vm, ErrorKind::kUpstreamSilent, true, Duration(0)});
  }
}

void Retrying::HandleAttemptEnd(const AttemptEnd& end) {
  const EntryAttempt* attempt = m_board->attempts.Find(end.id);
  if (attempt == nullptr) return;
  const EntryAttemptKind kind = attempt->kind;
  Request* request = internal::FindActiveRequest(m_board, end.id);
  if (!end.may_have_run) {
    // The agent holds nothing for the attempt and will never start it.
    if (request != nullptr) {
      request->attempts.erase(end.id);
      // A decode attempt runs nothing before its decode is started.
      const bool was_started = kind != EntryAttemptKind::kDecode ||
                               request->phase == RequestPhase::kDecoding;
      if (was_started) --request->possible_executions;
    }
    const bool releasing = attempt->releasing;
    m_board->attempts.Erase(end.id);
    if (releasing) return;
  }
  if (request == nullptr) return;
  if (end.kind != ErrorKind::kKvGone) request->excluded_vms.insert(end.vm);
  if (end.retry_after > Duration(0) &&
      (request->retry_after == Duration(0) ||
       end.retry_after < request->retry_after)) {
    request->retry_after = end.retry_after;
  }
  internal::RecordDecision(m_board, request->inbound.id, kComponent,
                           end.vm.Value() +
                               (end.may_have_run ? " failed: " : " refused: ") +
                               std::string(ErrorResponseFor(end.kind).type));
  switch (kind) {
    case EntryAttemptKind::kDecode:
      return HandleDecodeEnd(request, end);
    case EntryAttemptKind::kPrefill:
      return HandlePrefillEnd(request, end);
    case EntryAttemptKind::kCall:
      return HandleCallEnd(request, end);
  }
}

void Retrying::HandleDecodeEnd(Request* request, const AttemptEnd& end) {
  if (end.may_have_run) internal::ReleaseAttempt(m_board, end.id);
  if (request->phase == RequestPhase::kReserving) {
    // The other agent may still grant a slot.
    if (request->attempts.empty()) PlaceAgainOrEnd(request, end);
    return;
  }
  const bool was_current =
      !request->decode_attempt.has_value() || request->decode_attempt == end.id;
  if (!was_current) return;
  request->decode_attempt.reset();
  if (request->prefill_attempt.has_value()) {
    internal::ReleaseAttempt(m_board, *request->prefill_attempt);
  }
  PlaceAgainOrEnd(request, end);
}

void Retrying::HandlePrefillEnd(Request* request, const AttemptEnd& end) {
  if (end.may_have_run) internal::ReleaseAttempt(m_board, end.id);
  if (request->phase != RequestPhase::kPrefilling) return;
  request->prefill_attempt.reset();
  if (!TryAcquireRetry(request, end)) {
    return internal::EndWithError(m_board, request, end.kind, kComponent);
  }
  m_board->to_prefill.push_back(request->inbound.id);
}

void Retrying::HandleCallEnd(Request* request, const AttemptEnd& end) {
  if (end.may_have_run) internal::ReleaseAttempt(m_board, end.id);
  if (end.may_have_run && !request->repeatable) {
    return internal::EndWithError(m_board, request, end.kind, kComponent,
                                  "the call may not be repeated");
  }
  PlaceAgainOrEnd(request, end);
}

void Retrying::PlaceAgainOrEnd(Request* request, const AttemptEnd& end) {
  if (!TryAcquireRetry(request, end)) {
    return internal::EndWithError(m_board, request, end.kind, kComponent);
  }
  request->phase = RequestPhase::kAwaitingPlacement;
  m_board->to_place.push_back(request->inbound.id);
}

bool Retrying::TryAcquireRetry(Request* request, const AttemptEnd& end) {
  if (!ErrorResponseFor(end.kind).retryable) return false;
  const RoutingPolicy& policy =
      m_board->configuration->PolicyFor(request->policy);
  if (request->placements >= policy.max_attempts) return false;
  // A refusal has cost no work, so it is not charged to the budget.
  if (!end.may_have_run) return true;
  if (m_board->retry_budgets[request->policy].TryAcquire(m_board->now)) {
    m_board->metrics.IncrementCounter("burdockhill_retries_total", {});
    return true;
  }
  internal::RecordDecision(m_board, request->inbound.id, kComponent,
                           "retry budget is spent");
  return false;
}

}  // namespace burdockhill

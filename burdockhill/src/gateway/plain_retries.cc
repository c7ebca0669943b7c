// Whether PlainRequests sends a request once more, and how it gives one up.

#include <algorithm>

#include "burdockhill/src/gateway/plain_requests.h"

namespace burdockhill {

namespace {

// Limit of connections that may fail before the request does. Retrying them is
// always safe, since nothing was sent.
constexpr int kMaxFailedConnects = 4;

}  // namespace

bool PlainRequests::MayRetry(const Request& request,
                             CallOutcome outcome) const {
  if (m_board->clock->Now() >= request.routed.deadline) return false;
  if (IsBarred(m_board, request.routed)) return false;
  if (outcome != CallOutcome::kMayHaveRun) return true;
  return request.routed.route.kind == RequestKind::kIdempotent &&
         request.possible_runs < request.routed.route.max_attempts;
}

bool PlainRequests::HasNextUpstream(const Request& request) const {
  const TimePoint now = m_board->clock->Now();
  if (!m_board->retry_budget.Allows(request.routed.service, now)) return false;
  const RegisteredUpstream* next = ChooseUpstream(request);
  return next != nullptr && !m_permits->IsNeeded(next->name) &&
         MayRetry(request, CallOutcome::kMayHaveRun);
}

void PlainRequests::RetryOrGiveUp(Request* request, CallOutcome outcome,
                                  std::string_view reason) {
  RoutedRequest& routed = request->routed;
  if (request->is_forwarding || request->caller_is_gone) {
    AbortExchange(*request, reason);
    return FinishRequest(routed.exchange);
  }
  if (outcome == CallOutcome::kMayHaveRun) {
    ++request->possible_runs;
  } else {
    RefundFurtherRun(m_board, &routed);
  }
  const bool may_retry = MayRetry(*request, outcome) &&
                         request->failed_connects <= kMaxFailedConnects;
  if (!may_retry) return GiveUp(request, reason);
  // Retrying a call that was not sent adds no load, so it needs no budget.
  request->needs_retry_budget = outcome != CallOutcome::kNotSent;
  request->retry_reason = reason;
  Place(request);
}

void PlainRequests::GiveUp(Request* request, std::string_view reason) {
  const RoutedRequest& routed = request->routed;
  const bool registered =
      !m_board->upstreams.FindByService(routed.service).empty();
  const ErrorKind kind = request->possible_runs > 0 ? ErrorKind::kUpstreamFailed
                         : registered               ? ErrorKind::kOverloaded
                                                    : ErrorKind::kNoUpstream;
  const Duration retry_after =
      kind == ErrorKind::kOverloaded ? RetryAfter(*request) : Duration(0);
  FailRequest(m_board, routed, kind, retry_after, reason);
  FinishRequest(routed.exchange);
}

Duration PlainRequests::RetryAfter(const Request& request) {
  return std::max(m_permits->RetryAfter(request.routed.service),
                  m_board->pauses.TimeUntilAvailable(FindUpstreams(request),
                                                     m_board->clock->Now()));
}

}  // namespace burdockhill

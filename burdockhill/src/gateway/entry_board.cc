#include "burdockhill/src/gateway/entry_board.h"

#include <utility>

namespace burdockhill {

namespace {

constexpr int kFirstErrorStatus = 400;

int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

bool IsBarred(EntryBoard* board, const RoutedRequest& routed) {
  const PoisonRequestDetector& detector = board->poison_detector;
  if (!detector.IsEmpty() && detector.IsBarred(routed.Fingerprint())) {
    return true;
  }
  return board->prompt_parts.MustRefuse(routed.request.shared_prompt_parts,
                                        board->clock->Now());
}

namespace {

void RecordRateLimit(EntryBoard* board, const RoutedRequest& routed,
                     const http::Head& response,
                     const ResponseMetadata& metadata, TimePoint called_at) {
  const UpstreamName& upstream = routed.last_upstream;
  // A failure without a limit does not say that the limit has ended.
  const bool failed = metadata.not_run || response.status >= kFirstErrorStatus;
  if (failed && !metadata.rate_limit.has_value()) return;
  if (!board->rate_limits.RecordResponse(upstream, metadata.rate_limit,
                                         called_at, board->clock->Now())) {
    return;
  }
  board->log->Write("rate_limit_stated",
                    {{"upstream", upstream.Value()},
                     {"request", routed.request.id},
                     {"limited", metadata.rate_limit.has_value()},
                     {"requests_per_second", metadata.rate_limit.value_or(0)}});
}

void RecordLeaving(EntryBoard* board, const RoutedRequest& routed) {
  const bool is_new = board->upstreams.RecordLeaving(
      routed.last_upstream, routed.last_upstream_started_at_ms);
  if (!is_new) return;
  board->log->Write("upstream_states_leaving",
                    {{"upstream", routed.last_upstream.Value()},
                     {"request", routed.request.id}});
}

void RecordPause(EntryBoard* board, const RoutedRequest& routed,
                 Duration pause) {
  const bool is_new = board->pauses.Record(routed.last_upstream,
                                           routed.last_upstream_started_at_ms,
                                           pause, board->clock->Now());
  if (!is_new) return;
  board->log->Write("upstream_pauses",
                    {{"upstream", routed.last_upstream.Value()},
                     {"request", routed.request.id},
                     {"pause_ms", Milliseconds(pause)}});
}

}  // namespace

void RecordStatements(EntryBoard* board, const RoutedRequest& routed,
                      const http::Head& response,
                      const ResponseMetadata& metadata, TimePoint called_at) {
  // Another upstream has the address.
  if (response.status == http::kMisdirected) return;
  RecordRateLimit(board, routed, response, metadata, called_at);
  if (metadata.leaving) RecordLeaving(board, routed);
  RecordPause(board, routed, metadata.pause);
}

void CountLimitedCall(EntryBoard* board, const RoutedRequest& routed,
                      const UpstreamName& upstream, bool is_retry) {
  if (!board->rate_limits.Find(upstream).has_value()) return;
  board->metrics.IncrementCounter(
      "burdockhill_limited_calls_total",
      LabelsFor(routed.service, is_retry ? "retry" : "first"));
}

bool PayForRetries(EntryBoard* board, const RoutedRequest& routed,
                   int retries) {
  if (retries == 0) return true;
  const TimePoint now = board->clock->Now();
  if (board->retry_budget.TrySpend(routed.service, now, retries)) {
    board->metrics.IncrementCounter("burdockhill_retries_total",
                                    LabelsFor(routed.service),
                                    static_cast<uint64_t>(retries));
    return true;
  }
  const RetryBudget::Usage usage =
      board->retry_budget.UsageOf(routed.service, now);
  board->metrics.IncrementCounter("burdockhill_retries_refused_total",
                                  LabelsFor(routed.service));
  board->log->Write("retry_refused",
                    {{"request", routed.request.id},
                     {"service", routed.service.Value()},
                     {"wanted", static_cast<int64_t>(retries)},
                     {"requests", static_cast<int64_t>(usage.requests)},
                     {"retries", static_cast<int64_t>(usage.retries)}});
  return false;
}

void ChargeFurtherRun(EntryBoard* board, RoutedRequest* routed) {
  if (!routed->is_charged) return;
  routed->is_run_charged = true;
  board->team_usage->OnFurtherRun(*routed);
}

void RefundFurtherRun(EntryBoard* board, RoutedRequest* routed) {
  if (!std::exchange(routed->is_run_charged, false)) return;
  board->team_usage->OnNotRun(*routed);
}

void CutResponse(EntryBoard* board, const RoutedRequest& routed,
                 std::string_view reason) {
  board->metrics.IncrementCounter("burdockhill_responses_cut_total",
                                  LabelsFor(routed.service, reason));
  board->server->Abort(routed.exchange);
}

void FailRequest(EntryBoard* board, const RoutedRequest& routed, ErrorKind kind,
                 Duration retry_after, std::string_view reason) {
  const ErrorResponse& answer = ErrorResponseFor(kind);
  const bool not_run = answer.http_status == http::kUnavailable;
  if (retry_after == Duration(0) && not_run) retry_after = answer.retry_after;
  if (not_run && routed.is_charged) board->team_usage->OnNotRun(routed);
  const bool never_sent = !routed.last_upstream.IsValid();
  const TimePoint now = board->clock->Now();
  board->log->Write(
      "request_failed",
      {{"request", routed.request.id},
       {"route", routed.route.name.Value()},
       {"team", routed.team.Value()},
       {"service", routed.service.Value()},
       {"upstream", routed.last_upstream.Value()},
       {"generation", static_cast<int64_t>(routed.generation.Value())},
       {"status", int64_t{answer.http_status}},
       {"kind", std::string(answer.type)},
       {"reason", std::string(reason)},
       {"outcome",
        std::string(OutcomeName(not_run || never_sent ? Outcome::kNotRun
                                                      : Outcome::kUnknown))},
       {"retry_after_ms", Milliseconds(retry_after)},
       {"age_ms", Milliseconds(now - routed.arrived_at)}});
  board->metrics.IncrementCounter("burdockhill_requests_failed_total",
                                  LabelsFor(routed.service, answer.type));
  const http::Head head = board->codec->EncodeErrorHead(
      routed.request.id, answer.http_status, retry_after);
  board->server->Respond(routed.exchange, head,
                         std::string(answer.message) + "\n");
}

}  // namespace burdockhill

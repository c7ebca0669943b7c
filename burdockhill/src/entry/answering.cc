#include "burdockhill/src/entry/answering.h"

#include <utility>

#include "burdockhill/src/entry/request_operations.h"

namespace burdockhill {

namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void Answering::Tick() {
  for (const RequestId& id : std::exchange(m_board->to_answer, {})) {
    Request* request = m_board->requests.Find(id);
    if (request == nullptr) continue;
    CompleteRequest(request);
    m_board->requests.Erase(id);
  }
}

void Answering::CompleteRequest(Request* request) {
  const std::set<AttemptId> attempts = request->attempts;
  for (const AttemptId& id : attempts) internal::ReleaseAttempt(m_board, id);
  if (request->is_counted) --m_board->team_usage[request->team].open_requests;
  RecordMetrics(*request);
  if (request->caller_disconnected) return;
  const RequestId id = request->inbound.id;
  const RequestEnd& end = *request->end;
  if (end.error.has_value()) {
    m_callers->OnError(id, *end.error);
  } else if (end.answer.has_value()) {
    m_callers->OnAnswer(id, end.answer->status, end.answer->content_type,
                        end.answer->body);
  } else {
    m_callers->OnFinished(id, end.finish_reason, request->usage);
  }
}

void Answering::RecordMetrics(const Request& request) {
  MetricLabels labels = internal::MetricLabelsFor(request);
  MetricsRegistry& metrics = m_board->metrics;
  labels.kind = "ok";
  if (request.end->error.has_value()) {
    labels.kind = ErrorResponseFor(request.end->error->kind).type;
  }
  metrics.IncrementCounter("burdockhill_requests_total", labels);
  labels.kind.clear();
  const Duration total = m_board->now - request.arrived_at;
  metrics.HistogramFor("burdockhill_request_seconds", labels)
      ->Add(Seconds(total));
  if (request.end->error.has_value() || !request.first_token_at.has_value()) {
    return;
  }

  metrics.IncrementCounter("burdockhill_output_tokens_total", labels,
                           request.sent_tokens);
  const Duration decode = m_board->now - *request.first_token_at;
  const auto token_gaps = static_cast<int64_t>(request.sent_tokens) - 1;
  const Duration per_token = token_gaps > 0 ? decode / token_gaps : Duration(0);
  metrics.HistogramFor("burdockhill_per_token_seconds", labels)
      ->Add(Seconds(per_token));
  const RoutingPolicy& policy =
      m_board->configuration->PolicyFor(request.policy);
  const bool good = *request.first_token_at - request.arrived_at <=
                        policy.first_token_target &&
                    per_token <= policy.per_token_target;
  if (good) metrics.IncrementCounter("burdockhill_good_requests_total", labels);
}

}  // namespace burdockhill

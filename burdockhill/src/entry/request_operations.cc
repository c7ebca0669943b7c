#include "burdockhill/src/entry/request_operations.h"

#include <cstdio>
#include <utility>

namespace burdockhill::internal {

namespace {

// Longer than kHoldTimeout, after which agents drop a hold that is not renewed.
constexpr Duration kReleaseExpiry = std::chrono::seconds(60);

}  // namespace

void RecordDecision(EntryBlackboard* board, RequestId id, const char* component,
                    std::string reason) {
  board->decisions.Record(id, board->now, component, std::move(reason));
}

void EndWithError(EntryBlackboard* board, Request* request, ErrorKind kind,
                  const char* component, const std::string& detail) {
  const ErrorResponse& answer = ErrorResponseFor(kind);
  RequestEnd end;
  end.error.emplace();
  end.error->kind = kind;
  end.error->outcome =
      request->possible_executions > 0 ? Outcome::kUnknown : Outcome::kNotRun;
  end.error->detail = detail;
  if (answer.retry_after.count() > 0) {
    end.error->retry_after =
        std::max<Duration>(answer.retry_after, request->retry_after);
  }
  RecordDecision(board, request->inbound.id, component,
                 "gave up: " + std::string(answer.type) + ", " +
                     std::string(OutcomeName(end.error->outcome)) +
                     (detail.empty() ? "" : ", " + detail));
  EndRequest(board, request, std::move(end));
}

void EndRequest(EntryBlackboard* board, Request* request, RequestEnd end) {
  if (request->phase == RequestPhase::kEnded) return;
  request->phase = RequestPhase::kEnded;
  request->end = std::move(end);
  board->to_answer.push_back(request->inbound.id);
}

EntryAttempt& AddAttempt(EntryBlackboard* board, Request* request,
                         const VmName& vm, EntryAttemptKind kind) {
  const AttemptId id{request->inbound.id, ++request->last_attempt_number,
                     board->self.incarnation};
  EntryAttempt& attempt = board->attempts.FindOrInsert(id);
  attempt.id = id;
  attempt.request = request->inbound.id;
  attempt.vm = vm;
  attempt.kind = kind;
  request->attempts.insert(id);
  return attempt;
}

void ReleaseAttempt(EntryBlackboard* board, AttemptId id) {
  EntryAttempt* attempt = board->attempts.Find(id);
  if (attempt == nullptr || attempt->releasing) return;
  if (Request* request = board->requests.Find(attempt->request)) {
    request->attempts.erase(id);
    if (request->decode_attempt == id) request->decode_attempt.reset();
    if (request->prefill_attempt == id) request->prefill_attempt.reset();
  }
  attempt->releasing = true;
  attempt->expires_at = board->now + kReleaseExpiry;
  board->to_release.push_back(id);
}

Request* FindActiveRequest(EntryBlackboard* board, const AttemptId& id) {
  const EntryAttempt* attempt = board->attempts.Find(id);
  if (attempt == nullptr || attempt->releasing) return nullptr;
  Request* request = board->requests.Find(attempt->request);
  if (request == nullptr || request->phase == RequestPhase::kEnded) {
    return nullptr;
  }
  return request;
}

std::string FormatMilliseconds(Duration duration) {
  constexpr double kMicrosecondsPerMillisecond = 1e3;
  char text[32];
  std::snprintf(
      text, sizeof(text), "%.1f ms",
      static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond);
  return text;
}

MetricLabels MetricLabelsFor(const Request& request) {
  MetricLabels labels;
  labels.team = request.team.Value();
  labels.request_class = RequestClassName(request.request_class);
  return labels;
}

}  // namespace burdockhill::internal

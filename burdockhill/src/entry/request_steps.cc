#include "burdockhill/src/entry/request_steps.h"

#include <cstdio>
#include <utility>

namespace burdockhill::internal {

namespace {

// Longer than agents keep a hold that is not renewed.
constexpr Duration kForgetAfter = std::chrono::seconds(60);

}  // namespace

void Note(EntryBlackboard* board, RequestId id, const char* part,
          std::string reason) {
  board->decisions.Note(id, board->now, part, std::move(reason));
}

void EndWithError(EntryBlackboard* board, Request* request, ErrorKind kind,
                  const char* part, const std::string& detail) {
  const ErrorAnswer& answer = AnswerFor(kind);
  RequestEnd end;
  end.error.emplace();
  end.error->kind = kind;
  end.error->outcome =
      request->unproved_runs > 0 ? Outcome::kUnknown : Outcome::kNotRun;
  end.error->detail = detail;
  if (answer.retry_after.count() > 0) {
    end.error->retry_after =
        std::max<Duration>(answer.retry_after, request->retry_after);
  }
  Note(board, request->asked.id, part,
       "gave up: " + std::string(answer.type) + ", " +
           std::string(OutcomeName(end.error->outcome)) +
           (detail.empty() ? "" : ", " + detail));
  End(board, request, std::move(end));
}

void End(EntryBlackboard* board, Request* request, RequestEnd end) {
  if (request->phase == RequestPhase::kEnded) return;
  request->phase = RequestPhase::kEnded;
  request->end = std::move(end);
  board->ended.push_back(request->asked.id);
}

Leg& AddLeg(EntryBlackboard* board, Request* request, const VmName& vm,
            LegKind kind) {
  const AttemptId id{request->asked.id, ++request->last_attempt_number,
                     board->self.incarnation};
  Leg& leg = board->legs.FindOrInsert(id);
  leg.id = id;
  leg.request = request->asked.id;
  leg.vm = vm;
  leg.kind = kind;
  request->legs.insert(id);
  return leg;
}

void ReleaseLeg(EntryBlackboard* board, AttemptId id) {
  Leg* leg = board->legs.Find(id);
  if (leg == nullptr || leg->releasing) return;
  if (Request* request = board->requests.Find(leg->request)) {
    request->legs.erase(id);
    if (request->decode == id) request->decode.reset();
    if (request->prefill == id) request->prefill.reset();
  }
  leg->releasing = true;
  leg->forget_at = board->now + kForgetAfter;
  board->to_release.push_back(id);
}

Request* RequestOf(EntryBlackboard* board, const AttemptId& id) {
  const Leg* leg = board->legs.Find(id);
  if (leg == nullptr || leg->releasing) return nullptr;
  Request* request = board->requests.Find(leg->request);
  if (request == nullptr || request->phase == RequestPhase::kEnded) {
    return nullptr;
  }
  return request;
}

std::string Milliseconds(Duration duration) {
  constexpr double kMicrosecondsPerMillisecond = 1e3;
  char text[32];
  std::snprintf(
      text, sizeof(text), "%.1f ms",
      static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond);
  return text;
}

MetricLabels LabelsOf(const Request& request) {
  MetricLabels labels;
  labels.team = request.team.Value();
  labels.request_class = RequestClassName(request.request_class);
  return labels;
}

}  // namespace burdockhill::internal

#include "burdockhill/src/entry/prefill_dispatch.h"

#include <algorithm>
#include <utility>

#include "burdockhill/src/entry/request_operations.h"

namespace burdockhill {

namespace {

constexpr char kComponent[] = "prefill";
constexpr Duration kOtherZoneTransferDelay = std::chrono::milliseconds(1);
constexpr int64_t kMicrosecondsPerSecond = 1'000'000;

// The prompt and the text already delivered, so that an interrupted answer
// resumes where it stopped.
std::string PrefillText(const Request& request) {
  return request.inbound.prompt + request.sent_text;
}

}  // namespace

void PrefillDispatch::Tick() {
  for (const RequestId& id : std::exchange(m_board->to_prefill, {})) {
    Request* request = m_board->requests.Find(id);
    const bool needs_prefill = request != nullptr &&
                               request->phase == RequestPhase::kPrefilling &&
                               !request->prefill_attempt.has_value();
    if (needs_prefill) Dispatch(request);
  }
}

void PrefillDispatch::OnPrefillDone(const VmName& from,
                                    const PrefillDone& done) {
  Request* request = internal::FindActiveRequest(m_board, done.attempt);
  if (request == nullptr || request->phase != RequestPhase::kPrefilling ||
      request->prefill_attempt != done.attempt) {
    return;
  }
  request->last_progress_at = m_board->now;
  request->usage.prompt = done.prompt;
  request->usage.reused = done.reused;
  m_prefixes.RemoveUncached(request->inbound.service, request->inbound.prompt,
                            from, done.reused);
  m_prefixes.Record(request->inbound.service, request->inbound.prompt, from);
  request->kv_handle = done.kv_handle;
  request->kv_source = done.kv_source;
  request->phase = RequestPhase::kDecoding;
  m_board->to_decode.push_back(request->inbound.id);
  m_board->metrics.IncrementCounter("burdockhill_prefill_tokens_total", {},
                                    static_cast<uint64_t>(done.prompt.Value()));
  m_board->metrics.IncrementCounter("burdockhill_prefill_reused_tokens_total",
                                    {},
                                    static_cast<uint64_t>(done.reused.Value()));
  internal::RecordDecision(m_board, request->inbound.id, kComponent,
                           std::to_string(done.prompt.Value()) +
                               " tokens computed by " + from.Value() + ", " +
                               std::to_string(done.reused.Value()) +
                               " of them cached");
}

void PrefillDispatch::Dispatch(Request* request) {
  UpstreamView* best = nullptr;
  Duration best_time{0};
  for (auto& [vm, view] : m_board->upstreams) {
    const std::optional<Duration> time = EstimateTimeToReady(view, *request);
    if (!time.has_value()) continue;
    if (best == nullptr || *time < best_time) {
      best = &view;
      best_time = *time;
    }
  }
  if (best == nullptr) {
    return internal::EndWithError(m_board, request, ErrorKind::kNoUpstream,
                                  kComponent, "no prefill engine");
  }
  const EntryAttempt& attempt = internal::AddAttempt(
      m_board, request, best->vm, EntryAttemptKind::kPrefill);
  request->prefill_attempt = attempt.id;
  request->last_progress_at = m_board->now;
  ++request->possible_executions;
  best->prefill_since_report += request->inbound.prompt_tokens;
  StartPrefill start;
  start.attempt = attempt.id;
  start.service = request->inbound.service;
  start.request_class = request->request_class;
  start.prompt = request->inbound.prompt_tokens;
  start.text = PrefillText(*request);
  start.parameters = request->inbound.parameters;
  start.wait_budget =
      std::max(Duration(0), request->first_token_deadline - m_board->now);
  if (request->sent_tokens > 0) start.wait_budget = std::chrono::seconds(5);
  m_peers->Send(best->vm, std::move(start));
  internal::RecordDecision(m_board, request->inbound.id, kComponent,
                           "prompt sent to " + best->vm.Value() +
                               ", expected in " +
                               internal::FormatMilliseconds(best_time));
}

std::optional<Duration> PrefillDispatch::EstimateTimeToReady(
    const UpstreamView& view, const Request& request) const {
  if (!view.Takes(request)) return std::nullopt;
  // KV caches are not transferred between regions, so the prefill runs in the
  // region of the decode slot.
  const EntryAttempt* decode = m_board->attempts.Find(*request.decode_attempt);
  const auto decode_view = m_board->upstreams.find(decode->vm);
  if (decode_view == m_board->upstreams.end() ||
      decode_view->second.region != view.region) {
    return std::nullopt;
  }
  int64_t tokens_per_second = 0;
  int64_t queued_tokens = view.prefill_since_report.Value();
  for (const EngineLoad& engine : view.report->engines) {
    if (engine.role != EngineRole::kPrefill || !engine.healthy) continue;
    tokens_per_second += engine.prefill_rate;
    queued_tokens += engine.queued_prefill.Value();
  }
  if (tokens_per_second <= 0) return std::nullopt;
  const Tokens cached = m_prefixes.ExpectedReuse(
      request.inbound.service, request.inbound.prompt, view.vm);
  const int64_t uncached_tokens =
      std::max<int64_t>(0, (request.inbound.prompt_tokens - cached).Value());
  Duration time((queued_tokens + uncached_tokens) * kMicrosecondsPerSecond /
                tokens_per_second);
  if (view.zone != decode_view->second.zone) time += kOtherZoneTransferDelay;
  return time;
}

}  // namespace burdockhill

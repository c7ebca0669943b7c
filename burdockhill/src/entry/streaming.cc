#include "burdockhill/src/entry/streaming.h"

#include <utility>

#include "burdockhill/src/entry/request_operations.h"

namespace burdockhill {

namespace {

constexpr char kComponent[] = "streaming";

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void Streaming::Tick() {
  for (const RequestId& id : std::exchange(m_board->to_decode, {})) {
    Request* request = m_board->requests.Find(id);
    const bool needs_decode = request != nullptr &&
                              request->phase == RequestPhase::kDecoding &&
                              request->decode_attempt.has_value();
    if (needs_decode) StartDecoding(request);
  }
}

void Streaming::StartDecoding(Request* request) {
  const EntryAttempt* attempt =
      m_board->attempts.Find(*request->decode_attempt);
  request->last_progress_at = m_board->now;
  ++request->possible_executions;
  StartDecode start;
  start.attempt = attempt->id;
  start.kv_handle = request->kv_handle;
  start.kv_source = request->kv_source;
  start.prompt = request->usage.prompt;
  start.max_output =
      request->max_output - Tokens(static_cast<int64_t>(request->sent_tokens));
  start.first_offset = request->sent_tokens;
  start.parameters = request->inbound.parameters;
  m_peers->Send(attempt->vm, std::move(start));
  internal::RecordDecision(m_board, request->inbound.id, kComponent,
                           "decode started at " + attempt->vm.Value() +
                               " from token " +
                               std::to_string(request->sent_tokens));
}

void Streaming::OnChunk(const VmName& from, const StreamChunk& chunk) {
  Request* request = internal::FindActiveRequest(m_board, chunk.attempt);
  if (request == nullptr || request->decode_attempt != chunk.attempt ||
      request->phase != RequestPhase::kDecoding) {
    return;
  }
  request->last_progress_at = m_board->now;
  if (chunk.offset != request->sent_tokens) {
    const bool is_duplicate =
        chunk.offset + chunk.tokens <= request->sent_tokens &&
        chunk.finish_reason.empty();
    if (!is_duplicate) {
      m_peers->Send(from, AttachAttempt{chunk.attempt, request->sent_tokens});
    }
    return;
  }
  RecordFirstToken(request, chunk);
  request->sent_tokens += chunk.tokens;
  m_board->stream_tokens += chunk.tokens;
  request->sent_text += chunk.text;
  if (!chunk.text.empty()) m_callers->OnTokens(request->inbound.id, chunk.text);
  if (chunk.finish_reason.empty()) return;
  request->usage.output = Tokens(static_cast<int64_t>(request->sent_tokens));
  RequestEnd end;
  end.finish_reason = chunk.finish_reason;
  internal::RecordDecision(m_board, request->inbound.id, kComponent,
                           "finished after " +
                               std::to_string(request->sent_tokens) +
                               " tokens: " + chunk.finish_reason);
  internal::EndRequest(m_board, request, std::move(end));
}

void Streaming::OnCallAnswered(const CallAnswered& answer) {
  Request* request = internal::FindActiveRequest(m_board, answer.attempt);
  if (request == nullptr || request->phase != RequestPhase::kCalling) return;
  internal::RecordDecision(
      m_board, request->inbound.id, kComponent,
      "answered with status " + std::to_string(answer.status));
  RequestEnd end;
  end.answer = answer;
  internal::EndRequest(m_board, request, std::move(end));
}

void Streaming::RecordFirstToken(Request* request, const StreamChunk& chunk) {
  if (chunk.tokens == 0) return;
  const MetricLabels labels = internal::MetricLabelsFor(*request);
  if (!request->first_token_at.has_value()) {
    request->first_token_at = m_board->now;
    m_board->metrics.HistogramFor("burdockhill_first_token_seconds", labels)
        ->Add(Seconds(m_board->now - request->arrived_at));
    internal::RecordDecision(
        m_board, request->inbound.id, kComponent,
        "first token after " +
            internal::FormatMilliseconds(m_board->now - request->arrived_at));
  }
}

}  // namespace burdockhill

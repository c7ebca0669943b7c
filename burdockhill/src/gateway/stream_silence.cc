// How StreamCalls treats engines that fall silent in the middle of a stream.

#include <algorithm>
#include <utility>

#include "burdockhill/src/gateway/stream_calls.h"

namespace burdockhill {

namespace {

// Another engine is prepared for a resumable stream without a new event for the
// longer of this time and this many gap targets.
constexpr Duration kMinEventTimeout = std::chrono::milliseconds(1200);
constexpr int kEventTimeoutGaps = 4;

// The silent engine is given up so long after the call to the next one was
// sent, if that has not answered: both must not run the stream for long.
constexpr Duration kMaxSharedTime = std::chrono::milliseconds(300);

Duration EventTimeout(const Route& route) {
  return std::max(kMinEventTimeout, kEventTimeoutGaps * route.gap_target);
}

}  // namespace

bool StreamCalls::IsSilent(const Stream& stream) const {
  const Route& route = stream.routed.route;
  return stream.phase == Phase::kDecoding && !stream.reading_paused &&
         !stream.silent_call.has_value() &&
         route.kind == RequestKind::kResumableStream &&
         m_board->clock->Now() - stream.silent_since > EventTimeout(route);
}

bool StreamCalls::IsHandOverDue(const Stream& stream) const {
  return stream.silent_call.has_value() && stream.phase == Phase::kDecoding &&
         m_board->clock->Now() - stream.call_started_at >= kMaxSharedTime &&
         m_board->connections->WasSent(stream.call);
}

void StreamCalls::PrepareNextEngine(Stream* stream) {
  const TimePoint now = m_board->clock->Now();
  stream->silent_since = now;
  m_reservations->RecordFailure(stream->decode_engine);
  RecordPossibleRun(stream);
  stream->excluded_decode_engines.insert(stream->decode_engine);
  const bool moves_on = MayMoveOn(stream);
  m_board->log->Write("stream_silent",
                      {{"request", stream->routed.request.id},
                       {"engine", stream->decode_engine.Value()},
                       {"after_event", LastEventId(*stream)},
                       {"next_engine", moves_on}});
  if (!moves_on) return;
  SilentCall silent;
  silent.call = std::exchange(stream->call, http::CallId());
  silent.call_started_at = stream->call_started_at;
  silent.decode_attempt = std::exchange(stream->decode_attempt, AttemptId());
  silent.decode_engine = stream->decode_engine;
  silent.prefill_engine = stream->prefill_engine;
  silent.engine_started_at_ms = stream->routed.last_upstream_started_at_ms;
  silent.called_version = stream->called_version;
  silent.kv_in_call = std::move(stream->kv_in_call);
  silent.is_forwarding = stream->is_forwarding;
  silent.response_head = std::move(stream->response_head);
  silent.response_body = std::move(stream->response_body);
  silent.last_event_at = stream->last_event_at;
  silent.answer_started_at = stream->answer_started_at;
  silent.answer_is_sound = stream->answer_is_sound;
  stream->silent_call = std::move(silent);
  stream->may_have_run = true;
  stream->caller_waiting_since = now;
  ReleasePrefill(stream);
  ReserveDecodeEngine(stream);
}

bool StreamCalls::ReturnToSilentCall(Stream* stream) {
  if (!stream->silent_call.has_value()) return false;
  if (stream->phase == Phase::kDecoding && stream->call.IsValid()) {
    if (m_board->connections->WasSent(stream->call)) {
      RecordPossibleRun(stream);
    } else {
      stream->kv = std::exchange(stream->kv_in_call, std::nullopt);
      stream->calls.RecordNotSent();
      RefundFurtherRun(m_board, &stream->routed);
    }
  }
  ReleaseAttempt(stream);
  SilentCall silent = *std::exchange(stream->silent_call, std::nullopt);
  stream->phase = Phase::kDecoding;
  stream->silent_since = m_board->clock->Now();
  stream->call = silent.call;
  stream->call_started_at = silent.call_started_at;
  stream->decode_attempt = silent.decode_attempt;
  stream->decode_engine = silent.decode_engine;
  stream->prefill_engine = silent.prefill_engine;
  stream->routed.last_upstream = silent.decode_engine;
  stream->routed.last_upstream_started_at_ms = silent.engine_started_at_ms;
  stream->called_version = silent.called_version;
  stream->kv_in_call = std::move(silent.kv_in_call);
  stream->is_forwarding = silent.is_forwarding;
  stream->response_head = std::move(silent.response_head);
  stream->response_body = std::move(silent.response_body);
  stream->last_event_at = silent.last_event_at;
  stream->answer_started_at = silent.answer_started_at;
  stream->answer_is_sound = silent.answer_is_sound;
  return true;
}

void StreamCalls::ReplaceSilentCall(Stream* stream) {
  if (!stream->silent_call.has_value()) return;
  m_board->log->Write("stream_resumed",
                      {{"request", stream->routed.request.id},
                       {"after_event", LastEventId(*stream)},
                       {"parts", SharedPartsText(stream->routed.request)},
                       {"reason", std::string("engine is silent")}});
  ReleaseSilentCall(stream);
}

void StreamCalls::OnSilentCallFailed(Stream* stream) {
  m_reservations->RecordFailure(stream->silent_call->decode_engine);
  m_board->log->Write("stream_resumed",
                      {{"request", stream->routed.request.id},
                       {"after_event", LastEventId(*stream)},
                       {"parts", SharedPartsText(stream->routed.request)},
                       {"reason", std::string("silent engine broke off")}});
  const SilentCall& silent = *stream->silent_call;
  const RoutedRequest& routed = stream->routed;
  m_board->poison_detector.RecordBrokenConnection(
      routed.Fingerprint(), silent.decode_engine, m_board->clock->Now(),
      silent.answer_is_sound ? std::vector<PromptPartName>()
                             : routed.request.shared_prompt_parts);
  ReleaseSilentCall(stream);
}

void StreamCalls::ReleaseSilentCall(Stream* stream) {
  if (!stream->silent_call.has_value()) return;
  const SilentCall& silent = *stream->silent_call;
  m_board->connections->Cancel(silent.call);
  m_exchanges_by_call.Erase(silent.call);
  m_reservations->Release(silent.decode_attempt);
  m_exchanges_by_attempt.Erase(silent.decode_attempt);
  stream->silent_call.reset();
}

}  // namespace burdockhill

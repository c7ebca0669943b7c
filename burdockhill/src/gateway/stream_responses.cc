// How StreamCalls handles the responses of engines, and their failures.

#include <algorithm>
#include <utility>

#include "burdockhill/src/gateway/stream_calls.h"
#include "burdockhill/src/gateway/stream_origin_recorder.h"

namespace burdockhill {

namespace {

constexpr int kMaxDecodeCalls = 4;
// Reading from the engine pauses when more bytes to the caller are queued here,
// and continues once the operating system has accepted all of them.
constexpr size_t kHighWatermarkBytes = size_t{256} << 10;

}  // namespace

bool StreamCalls::OnResponseHead(http::CallId id, const http::Head& head) {
  Stream* stream = FindStream(id);
  if (stream == nullptr) return true;
  const ResponseMetadata metadata =
      m_board->codec->DecodeResponseMetadata(head);
  if (metadata.request_id != stream->routed.request.id) {
    m_board->log->Write("answer_skipped",
                        {{"request", stream->routed.request.id},
                         {"answer_to", metadata.request_id},
                         {"upstream", stream->routed.last_upstream.Value()}});
    return false;
  }
  const bool is_stream = head.status == http::kOk &&
                         http::IsEventStream(head) && !metadata.not_run;
  if (IsSilentCall(*stream, id)) {
    if (!is_stream) {
      OnSilentCallFailed(stream);
      return true;
    }
    ReturnToSilentCall(stream);
  }
  RecordStatements(m_board, stream->routed, head, metadata,
                   stream->call_started_at);
  stream->response_head = head;
  if (stream->phase != Phase::kDecoding || metadata.not_run) return true;
  stream->may_have_run = true;
  if (!is_stream) return true;
  if (stream->version.has_value() &&
      HasRestarted(*m_board, stream->routed, stream->called_version)) {
    m_board->connections->Cancel(id);
    m_exchanges_by_call.Erase(id);
    stream->call = http::CallId();
    OnDecodeBroken(stream, "engine may have restarted");
    return true;
  }
  ForwardHead(stream, head);
  return true;
}

void StreamCalls::ForwardHead(Stream* stream, const http::Head& head) {
  ReplaceSilentCall(stream);
  stream->is_forwarding = true;
  stream->events.BeginResponse();
  if (!stream->version.has_value()) {
    // An unknown version fits no engine that could go on with the stream.
    stream->version =
        HasRestarted(*m_board, stream->routed, stream->called_version)
            ? SoftwareVersion()
            : stream->called_version;
  }
  if (std::exchange(stream->head_sent, true)) return;
  http::Head response = head;
  http::RemoveConnectionHeaders(&response.headers);
  m_board->server->StartStream(stream->routed.exchange, response);
}

size_t StreamCalls::OnResponseBody(http::CallId id, std::string_view bytes) {
  Stream* stream = FindStream(id);
  if (stream == nullptr) return 0;
  const bool is_silent = IsSilentCall(*stream, id);
  if (is_silent && !stream->silent_call->is_forwarding) {
    OnSilentCallFailed(stream);
    return 0;
  }
  if (!is_silent && !stream->is_forwarding) {
    stream->response_body.append(bytes);
    return stream->response_body.size();
  }
  const int64_t earlier_events = stream->events.Count();
  const std::string complete_events = stream->events.Append(bytes);
  const size_t kept = stream->events.PartialSize();
  if (complete_events.empty()) return kept;
  if (stream->events.Count() > earlier_events) {
    if (is_silent) ReturnToSilentCall(stream);
    RecordEvent(stream, /*first=*/earlier_events == 0);
  }
  const http::ExchangeId exchange = stream->routed.exchange;
  m_board->server->WriteStream(exchange, complete_events);
  if (m_board->server->PendingBytes(exchange) > kHighWatermarkBytes) {
    stream->reading_paused = true;
    m_board->connections->SetReading(id, false);
  }
  return kept;
}

void StreamCalls::RecordEvent(Stream* stream, bool first) {
  const TimePoint now = m_board->clock->Now();
  if (first) {
    const Duration latency = now - stream->routed.arrived_at;
    m_board->metrics
        .HistogramFor("burdockhill_first_event_seconds",
                      LabelsFor(stream->routed.service))
        ->Add(std::chrono::duration<double>(latency).count());
    m_reservations->RecordSuccess(stream->decode_engine);
    // Only now is it known that the KV cache has arrived.
    if (stream->kv_in_call.has_value()) {
      m_reservations->RecordSuccess(stream->prefill_engine);
    }
    // The prompt has been computed, also if the decode engine did it.
    ReleasePrefill(stream);
    stream->first_event_at = now;
    RecordFirstEvent(*m_board, stream->routed, stream->called_version,
                     m_origins);
  } else {
    stream->longest_gap =
        std::max(stream->longest_gap, now - stream->last_event_at);
  }
  stream->last_event_at = now;
  stream->silent_since = now;
  if (stream->answer_started_at == TimePoint()) stream->answer_started_at = now;
  if (now - stream->answer_started_at >=
      PromptPartQuarantine::kSoundAnswerTime) {
    RecordSoundAnswer(stream);
  }
}

void StreamCalls::RecordSoundAnswer(Stream* stream) {
  if (std::exchange(stream->answer_is_sound, true)) return;
  m_board->prompt_parts.RecordSoundAnswer(
      stream->routed.request.shared_prompt_parts, stream->call_started_at);
}

void StreamCalls::OnResponseEnd(http::CallId id) {
  Stream* stream = FindStream(id);
  if (stream == nullptr) return;
  if (IsSilentCall(*stream, id)) {
    const SilentCall& silent = *stream->silent_call;
    const bool is_whole =
        silent.is_forwarding &&
        stream->events.EndsStream(FramingOf(silent.response_head));
    if (!is_whole) return OnSilentCallFailed(stream);
    ReturnToSilentCall(stream);
  }
  m_exchanges_by_call.Erase(id);
  stream->call = http::CallId();
  if (stream->phase == Phase::kPrefilling) return OnPrefillEnd(stream);
  OnDecodeEnd(stream);
}

void StreamCalls::OnPrefillEnd(Stream* stream) {
  ReleasePrefill(stream);
  const RegisteredUpstream* upstream =
      m_board->upstreams.Find(stream->prefill_engine);
  if (stream->response_head.status != http::kOk || upstream == nullptr) {
    return OnPrefillFailed(
        stream, /*was_sent=*/true,
        "prefill status " + std::to_string(stream->response_head.status));
  }
  stream->calls.RecordPrefillDone();
  m_prefill_rate.AddSample(stream->routed.request.prompt_tokens,
                           m_board->clock->Now() - stream->call_started_at);
  stream->kv = m_board->codec->DecodePrefill(*upstream, stream->response_body);
  if (!stream->kv.has_value()) {
    return OnPrefillFailed(stream, /*was_sent=*/true, "prefill not understood");
  }
  StartDecode(stream);
}

void StreamCalls::OnPrefillFailed(Stream* stream, bool was_sent,
                                  std::string_view reason) {
  m_board->log->Write("prefill_failed",
                      {{"request", stream->routed.request.id},
                       {"engine", stream->prefill_engine.Value()},
                       {"reason", std::string(reason)}});
  if (was_sent) {
    m_reservations->RecordFailure(stream->prefill_engine);
  } else {
    m_reservations->RecordUnreachable(stream->prefill_engine);
  }
  ReleasePrefill(stream);
  stream->excluded_prefill_engines.insert(stream->prefill_engine);
  if (!was_sent) {
    --stream->prefill_calls;
    stream->calls.RecordNotSent();
  }
  ReservePrefillEngine(stream);
}

void StreamCalls::OnDecodeEnd(Stream* stream) {
  const ResponseMetadata metadata =
      m_board->codec->DecodeResponseMetadata(stream->response_head);
  const RoutedRequest& routed = stream->routed;
  if (metadata.not_run) {
    RefundFurtherRun(m_board, &stream->routed);
    return stream->kv_in_call.has_value()
               ? OnKvLost(stream)
               : OnDecodeRejected(stream, "engine rejected it");
  }
  if (stream->is_forwarding) {
    if (!stream->events.EndsStream(FramingOf(stream->response_head))) {
      return OnDecodeInterrupted(stream, "response ended inside the stream");
    }
    LogStreamEnd(*stream);
    m_board->server->WriteStream(routed.exchange,
                                 stream->events.DrainPartial());
    m_board->server->EndStream(routed.exchange);
    if (!m_board->poison_detector.IsEmpty()) {
      m_board->poison_detector.RecordCompleteResponse(routed.Fingerprint());
    }
    RecordSoundAnswer(stream);
    return FinishStream(stream);
  }
  if (stream->head_sent || stream->silent_call.has_value()) {
    return OnDecodeBroken(stream, "resume was refused");
  }
  http::Head head = std::move(stream->response_head);
  http::RemoveConnectionHeaders(&head.headers);
  m_board->server->Respond(routed.exchange, head, stream->response_body);
  FinishStream(stream);
}

void StreamCalls::OnDecodeRejected(Stream* stream, std::string_view reason) {
  const TimePoint now = m_board->clock->Now();
  RoutedRequest& routed = stream->routed;
  m_board->log->Write("decode_rejected",
                      {{"request", routed.request.id},
                       {"engine", stream->decode_engine.Value()},
                       {"reason", std::string(reason)}});
  stream->excluded_decode_engines.insert(stream->decode_engine);
  ReleaseAttempt(stream);
  const bool may_retry = stream->decode_calls < kMaxDecodeCalls &&
                         now < routed.deadline &&
                         PayForRetries(stream, stream->calls.DueBeforeDecode());
  if (may_retry) return ReserveDecodeEngine(stream);
  FailOverloaded(stream, Duration(0), reason);
}

void StreamCalls::OnKvLost(Stream* stream) {
  const RoutedRequest& routed = stream->routed;
  const TimePoint now = m_board->clock->Now();
  m_board->log->Write("kv_lost",
                      {{"request", routed.request.id},
                       {"prefill_engine", stream->prefill_engine.Value()},
                       {"engine", stream->decode_engine.Value()}});
  // Memory was reserved, so the cause must be that the KV cache is lost.
  m_reservations->RecordFailure(stream->prefill_engine);
  stream->excluded_prefill_engines.insert(stream->prefill_engine);
  if (stream->decode_calls >= kMaxDecodeCalls || now >= routed.deadline ||
      !PayForRetries(stream, stream->calls.DueBeforeDecode())) {
    return OnDecodeRejected(stream, "KV cache is gone");
  }
  if (!IsUsable(m_board->upstreams.Find(stream->decode_engine))) {
    return OnDecodeRejected(stream, "engine is leaving or pauses");
  }
  // A short prompt is computed by the decode engine, which takes one call
  // instead of two. A long one would stall the other streams on that engine.
  if (DecideLocalPrefill(*stream).allowed) return StartDecode(stream);
  ReservePrefillEngine(stream);
}

void StreamCalls::OnCallFailed(http::CallId id, http::CallFailure failure) {
  Stream* stream = FindStream(id);
  if (stream == nullptr) return;
  m_exchanges_by_call.Erase(id);
  if (IsSilentCall(*stream, id)) return OnSilentCallFailed(stream);
  stream->call = http::CallId();
  const bool not_sent = failure == http::CallFailure::kNotSent;
  if (stream->phase == Phase::kPrefilling) {
    return OnPrefillFailed(stream, !not_sent, DescribeFailure(failure));
  }
  if (not_sent) {
    RefundFurtherRun(m_board, &stream->routed);
    stream->calls.RecordNotSent();
    m_reservations->RecordUnreachable(stream->decode_engine);
    m_board->poison_detector.RecordUnreachable(stream->decode_engine,
                                               m_board->clock->Now());
    stream->kv = std::exchange(stream->kv_in_call, std::nullopt);
    return OnDecodeRejected(stream, "no connection");
  }
  if (failure == http::CallFailure::kTooLarge) {
    // An engine that sends without end has not crashed.
    m_reservations->RecordFailure(stream->decode_engine);
    stream->may_have_run = true;
    return OnDecodeBroken(stream, DescribeFailure(failure));
  }
  OnDecodeInterrupted(stream, DescribeFailure(failure));
}

void StreamCalls::OnDecodeInterrupted(Stream* stream, std::string_view reason) {
  m_reservations->RecordFailure(stream->decode_engine);
  const RoutedRequest& routed = stream->routed;
  m_board->poison_detector.RecordBrokenConnection(
      routed.Fingerprint(), stream->decode_engine, m_board->clock->Now(),
      stream->answer_is_sound ? std::vector<PromptPartName>()
                              : routed.request.shared_prompt_parts);
  stream->may_have_run = true;
  OnDecodeBroken(stream, reason);
}

void StreamCalls::OnDecodeBroken(Stream* stream, std::string_view reason) {
  RoutedRequest& routed = stream->routed;
  const TimePoint now = m_board->clock->Now();
  RecordPossibleRun(stream);
  stream->excluded_decode_engines.insert(stream->decode_engine);
  ReleaseAttempt(stream);
  if (!MayMoveOn(stream)) {
    return FailUnknown(stream, ErrorKind::kUpstreamFailed, reason);
  }
  stream->caller_waiting_since = now;
  m_board->log->Write("stream_resumed",
                      {{"request", routed.request.id},
                       {"after_event", LastEventId(*stream)},
                       {"parts", SharedPartsText(routed.request)},
                       {"reason", std::string(reason)}});
  ReserveDecodeEngine(stream);
}

void StreamCalls::RecordPossibleRun(Stream* stream) {
  stream->possible_runs.emplace(stream->routed.last_upstream,
                                stream->routed.last_upstream_started_at_ms);
}

bool StreamCalls::HasAttemptLeft(const Stream& stream) const {
  const auto runs = std::count_if(
      stream.possible_runs.begin(), stream.possible_runs.end(),
      [&](const auto& run) {
        const RegisteredUpstream* engine = m_board->upstreams.Find(run.first);
        return engine != nullptr && engine->started_at_ms == run.second &&
               !m_board->upstreams.IsSuperseded(*engine);
      });
  return runs < stream.routed.route.max_attempts;
}

bool StreamCalls::MayMoveOn(Stream* stream) {
  const RoutedRequest& routed = stream->routed;
  return routed.route.kind == RequestKind::kResumableStream &&
         HasAttemptLeft(*stream) && stream->decode_calls < kMaxDecodeCalls &&
         m_board->clock->Now() < routed.deadline &&
         !IsBarred(m_board, routed) && HasNextEngine(*stream) &&
         PayForRetries(stream, stream->calls.DueBeforeDecode());
}

}  // namespace burdockhill

#include "burdockhill/src/gateway/stream_calls.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// A prefill call without a complete response is cancelled after the longer of
// this time and this many latency targets, if the retry budget allows another.
constexpr Duration kMinPrefillTimeout = std::chrono::milliseconds(2000);
constexpr int kPrefillTimeoutTargets = 2;
constexpr Duration kKvReleaseTimeout = std::chrono::seconds(1);

Duration PrefillTimeout(const Route& route) {
  return std::max(kMinPrefillTimeout,
                  kPrefillTimeoutTargets * route.latency_target);
}

}  // namespace

void StreamCalls::Begin(RoutedRequest routed) {
  const http::ExchangeId id = routed.exchange;
  m_board->retry_budget.CountRequest(routed.service, routed.arrived_at);
  Stream& stream = m_streams.FindOrInsert(id);
  stream.routed = std::move(routed);
  stream.last_event_at = stream.routed.arrived_at;
  stream.caller_waiting_since = stream.routed.arrived_at;
  stream.version = stream.routed.stream_version;
  ReserveDecodeEngine(&stream);
}

StreamCalls::Stream* StreamCalls::FindStream(http::CallId id) {
  const http::ExchangeId* exchange = m_exchanges_by_call.Find(id);
  return exchange == nullptr ? nullptr : m_streams.Find(*exchange);
}

int64_t StreamCalls::LastEventId(const Stream& stream) const {
  return stream.events.LastEventId().value_or(
      stream.routed.request.last_event_id.value_or(0));
}

bool StreamCalls::OnCallerDisconnected(http::ExchangeId id) {
  Stream* stream = m_streams.Find(id);
  if (stream == nullptr) return false;
  m_board->log->Write("caller_gone", {{"request", stream->routed.request.id},
                                      {"after_event", LastEventId(*stream)}});
  CutResponse(m_board, stream->routed, "the caller has gone");
  FinishStream(stream);
  return true;
}

void StreamCalls::OnOutputDrained(http::ExchangeId id) {
  Stream* stream = m_streams.Find(id);
  if (stream == nullptr) return;
  m_board->connections->SetReading(stream->call, true);
  if (stream->silent_call.has_value()) {
    m_board->connections->SetReading(stream->silent_call->call, true);
  }
  if (!std::exchange(stream->reading_paused, false)) return;
  stream->silent_since = m_board->clock->Now();
}

bool StreamCalls::RefuseIfBarred(Stream* stream) {
  if (!IsBarred(m_board, stream->routed)) return false;
  if (ReturnToSilentCall(stream)) return true;
  constexpr std::string_view kReason = "upstreams that ran it have crashed";
  if (stream->may_have_run) {
    FailUnknown(stream, ErrorKind::kUpstreamFailed, kReason);
    return true;
  }
  ReleaseAttempt(stream);
  FailRequest(m_board, stream->routed, ErrorKind::kBarred, Duration(0),
              kReason);
  FinishStream(stream);
  return true;
}

void StreamCalls::RefuseBarredStreams() {
  std::vector<http::ExchangeId> waiting;
  for (const auto& [id, stream] : m_streams) {
    const bool waits =
        stream.phase != Phase::kPrefilling && stream.phase != Phase::kDecoding;
    if (waits) waiting.push_back(id);
  }
  for (const http::ExchangeId id : waiting) {
    if (Stream* stream = m_streams.Find(id)) RefuseIfBarred(stream);
  }
}

void StreamCalls::Tick() {
  const TimePoint now = m_board->clock->Now();
  std::vector<http::ExchangeId> timed_out;
  std::vector<http::CallId> slow_prefills;
  std::vector<http::ExchangeId> silent;
  std::vector<http::ExchangeId> handed_over;
  std::vector<http::ExchangeId> resumed;
  // The process ends soon, and each caller gets an answer before.
  const bool stopping = m_board->shutdown_deadline != TimePoint() &&
                        now >= m_board->shutdown_deadline;
  for (const auto& [id, stream] : m_streams) {
    if (stopping || now >= stream.routed.deadline) {
      timed_out.push_back(id);
    } else if (stream.phase == Phase::kAwaitingPauseEnd &&
               now >= stream.paused_until) {
      resumed.push_back(id);
    } else if (stream.phase == Phase::kPrefilling &&
               now - stream.call_started_at >
                   PrefillTimeout(stream.routed.route)) {
      slow_prefills.push_back(stream.call);
    } else if (IsHandOverDue(stream)) {
      handed_over.push_back(id);
    } else if (IsSilent(stream)) {
      silent.push_back(id);
    }
  }
  for (const http::ExchangeId id : resumed) {
    ReserveDecodeEngine(m_streams.Find(id));
  }
  for (const http::CallId call : slow_prefills) {
    // Not earlier, since each one that is cancelled spends a retry at once.
    const Stream* stream = FindStream(call);
    if (stream == nullptr ||
        !m_board->retry_budget.Allows(stream->routed.service, now)) {
      continue;
    }
    m_board->connections->Cancel(call);
    OnCallFailed(call, http::CallFailure::kBroken);
  }
  for (const http::ExchangeId id : handed_over) {
    if (Stream* stream = m_streams.Find(id)) ReplaceSilentCall(stream);
  }
  for (const http::ExchangeId id : silent) {
    if (Stream* stream = m_streams.Find(id)) PrepareNextEngine(stream);
  }
  for (const http::ExchangeId id : timed_out) {
    Stream* stream = m_streams.Find(id);
    if (stream == nullptr) continue;
    ReleaseSilentCall(stream);
    if (stream->phase == Phase::kDecoding || stream->may_have_run) {
      FailUnknown(stream, ErrorKind::kTimeout, "out of time");
    } else {
      FailOverloaded(stream, Duration(0), "out of time");
    }
  }
}

void StreamCalls::LimitDeadlines(TimePoint latest) {
  for (auto& [id, stream] : m_streams) {
    stream.routed.deadline = std::min(stream.routed.deadline, latest);
  }
}

void StreamCalls::ReleasePrefill(Stream* stream) {
  m_reservations->Release(stream->prefill_attempt);
  m_exchanges_by_attempt.Erase(stream->prefill_attempt);
  stream->prefill_attempt = AttemptId();
}

void StreamCalls::ReleaseAttempt(Stream* stream) {
  if (stream->call.IsValid()) {
    m_board->connections->Cancel(stream->call);
    m_exchanges_by_call.Erase(stream->call);
    stream->call = http::CallId();
  }
  if (stream->kv.has_value()) {
    const KvLocation kv = *std::exchange(stream->kv, std::nullopt);
    http::CallPolicy policy;
    policy.timeout = kKvReleaseTimeout;
    m_board->connections->Start(kv.engine_address,
                                m_board->codec->EncodeKvRelease(kv),
                                &m_ignored_responses, policy);
  }
  m_permits->Cancel(stream->permit);
  m_exchanges_by_permit.Erase(stream->permit);
  stream->permit = PermitId();
  stream->has_decode_permit = false;
  ReleasePrefill(stream);
  m_reservations->Release(stream->decode_attempt);
  m_exchanges_by_attempt.Erase(stream->decode_attempt);
  stream->decode_attempt = AttemptId();
}

void StreamCalls::FailOverloaded(Stream* stream, Duration retry_after,
                                 std::string_view reason) {
  if (ReturnToSilentCall(stream)) return;
  if (stream->may_have_run) {
    return FailUnknown(stream, ErrorKind::kUpstreamFailed, reason);
  }
  ReleaseAttempt(stream);
  if (retry_after == Duration(0)) {
    retry_after = m_permits->RetryAfter(stream->routed.service);
  }
  retry_after = std::max(retry_after, DecodePause(*stream, {}));
  // Jitter, so that callers that were refused together do not retry together.
  if (retry_after > Duration(0)) {
    retry_after = std::max(retry_after, m_board->random->Jitter(retry_after));
  }
  FailRequest(m_board, stream->routed, ErrorKind::kOverloaded, retry_after,
              reason);
  FinishStream(stream);
}

void StreamCalls::FailUnpaid(Stream* stream) {
  FailOverloaded(stream, Duration(0), "the retry budget is spent");
}

void StreamCalls::FailUnknown(Stream* stream, ErrorKind kind,
                              std::string_view reason) {
  if (ReturnToSilentCall(stream)) return;
  ReleaseAttempt(stream);
  const RoutedRequest& routed = stream->routed;
  if (!stream->head_sent) {
    FailRequest(m_board, routed, kind, Duration(0), reason);
  } else {
    m_board->log->Write("stream_broken_off",
                        {{"request", routed.request.id},
                         {"engine", stream->decode_engine.Value()},
                         {"after_event", LastEventId(*stream)},
                         {"framing", ResponseFraming(*stream)},
                         {"parts", SharedPartsText(routed.request)},
                         {"reason", std::string(reason)}});
    CutResponse(m_board, routed, reason);
  }
  FinishStream(stream);
}

std::string StreamCalls::ResponseFraming(const Stream& stream) {
  if (stream.response_head.status == 0) return "none";
  return std::string(FramingName(FramingOf(stream.response_head)));
}

void StreamCalls::LogStreamEnd(const Stream& stream) const {
  const auto milliseconds = [](Duration duration) -> int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
        .count();
  };
  const RoutedRequest& routed = stream.routed;
  const TimePoint now = m_board->clock->Now();
  const std::string framing = ResponseFraming(stream);
  m_board->metrics.IncrementCounter("burdockhill_streams_ended_total",
                                    LabelsFor(routed.service, framing));
  m_board->log->Write(
      "stream_ended",
      {{"request", routed.request.id},
       {"route", routed.route.name.Value()},
       {"prefill_engine", stream.prefill_engine.Value()},
       {"engine", stream.decode_engine.Value()},
       {"reserve_ms", milliseconds(stream.reserved_at - routed.arrived_at)},
       {"prefill_ms", milliseconds(stream.prefilled_at - stream.reserved_at)},
       {"first_event_ms",
        milliseconds(stream.first_event_at - routed.arrived_at)},
       {"longest_gap_ms", milliseconds(stream.longest_gap)},
       {"events", stream.events.Count()},
       {"framing", framing},
       {"unfinished_event_bytes",
        static_cast<int64_t>(stream.events.PartialSize())},
       {"took_ms", milliseconds(now - routed.arrived_at)}});
}

void StreamCalls::FinishStream(Stream* stream) {
  ReleaseSilentCall(stream);
  ReleaseAttempt(stream);
  m_streams.Erase(stream->routed.exchange);
}

}  // namespace burdockhill

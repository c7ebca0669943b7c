#include "burdockhill/src/gateway/stream_calls.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// A prefill call without a complete response is cancelled after the longer of
// this time and this many latency targets.
constexpr Duration kMinPrefillTimeout = std::chrono::milliseconds(2000);
constexpr int kPrefillTimeoutTargets = 2;
// A resumable stream without a new event for the longer of this time and this
// many gap targets is resumed on another engine.
constexpr Duration kMinEventTimeout = std::chrono::milliseconds(1200);
constexpr int kEventTimeoutGaps = 4;
constexpr int kMaxPrefillCalls = 3;
constexpr int kMaxDecodeCalls = 4;
// Reading from the engine pauses when more bytes to the caller are queued here,
// and continues once the operating system has accepted all of them.
constexpr size_t kHighWatermarkBytes = size_t{256} << 10;
// A response that is no stream is buffered; a longer one is not understood.
constexpr size_t kMaxResponseBytes = size_t{1} << 20;

// Priorities range from 0, the most urgent, to this.
constexpr int kLowestPriority = 9;

uint8_t EnginePriority(const Route& route) {
  return static_cast<uint8_t>(std::clamp(route.priority, 0, kLowestPriority));
}

Duration PrefillTimeout(const Route& route) {
  return std::max(kMinPrefillTimeout,
                  kPrefillTimeoutTargets * route.latency_target);
}

// The shared parts of the prompt, for logs.
std::string SharedParts(const InboundRequest& request) {
  std::string text;
  for (const PromptPartName& part : request.shared_prompt_parts) {
    if (!text.empty()) text += ",";
    text += part.Value();
  }
  return text;
}

Duration EventTimeout(const Route& route) {
  return std::max(kMinEventTimeout, kEventTimeoutGaps * route.gap_target);
}

}  // namespace

void StreamCalls::Begin(RoutedRequest routed) {
  const http::ExchangeId id = routed.exchange;
  m_board->retry_budget.CountRequest(routed.service, routed.arrived_at);
  Stream& stream = m_streams.FindOrInsert(id);
  stream.routed = std::move(routed);
  stream.last_event_at = stream.routed.arrived_at;
  stream.caller_waiting_since = stream.routed.arrived_at;
  ReserveDecodeEngine(&stream);
}

StreamCalls::Stream* StreamCalls::FindStream(http::CallId id) {
  const http::ExchangeId* exchange = m_exchanges_by_call.Find(id);
  return exchange == nullptr ? nullptr : m_streams.Find(*exchange);
}

void StreamCalls::ReserveDecodeEngine(Stream* stream) {
  const RoutedRequest& routed = stream->routed;
  const StageBudget budget =
      BudgetFor(*stream, StreamStage::kDecodeReservation);
  const Duration pause =
      DecodePause(routed.service, stream->excluded_decode_engines);
  if (pause > Duration(0)) return AwaitPauseEnd(stream, pause, budget.max_wait);
  stream->phase = Phase::kReservingDecode;
  stream->decode_attempt = m_reservations->NewAttempt(routed.request.id);
  m_exchanges_by_attempt.FindOrInsert(stream->decode_attempt, routed.exchange);
  Reservations::Requirement requirement;
  requirement.service = routed.service;
  requirement.prompt_tokens = routed.request.prompt_tokens;
  requirement.expected_output_tokens = ExpectedOutputTokens(routed.request);
  requirement.max_wait = budget.max_wait;
  requirement.target_left = budget.target_left;
  requirement.priority = EnginePriority(routed.route);
  requirement.excluded_engines = stream->excluded_decode_engines;
  requirement.excluded_engines.merge(m_permits->Exhausted(routed.service));
  requirement.preferred_zone = m_board->zone;
  m_reservations->Reserve(stream->decode_attempt, requirement);
}

Duration StreamCalls::DecodePause(
    const ServiceName& service, const std::set<UpstreamName>& excluded) const {
  std::vector<const RegisteredUpstream*> engines;
  for (const RegisteredUpstream* engine :
       m_board->upstreams.FindByService(service)) {
    if (engine->role == EngineRole::kDecode &&
        !excluded.contains(engine->name)) {
      engines.push_back(engine);
    }
  }
  return m_board->pauses.TimeUntilAvailable(engines, m_board->clock->Now());
}

void StreamCalls::AwaitPauseEnd(Stream* stream, Duration pause,
                                Duration max_wait) {
  if (pause > max_wait) {
    return FailOverloaded(stream, pause, "all engines pause");
  }
  stream->phase = Phase::kAwaitingPauseEnd;
  stream->paused_until = m_board->clock->Now() + pause;
}

void StreamCalls::OnReserved(const AttemptId& attempt,
                             const UpstreamName& engine) {
  const http::ExchangeId* exchange = m_exchanges_by_attempt.Find(attempt);
  Stream* stream = exchange == nullptr ? nullptr : m_streams.Find(*exchange);
  if (stream == nullptr) return m_reservations->Release(attempt);
  if (stream->phase == Phase::kReservingPrefill) {
    stream->prefill_engine = engine;
    if (engine == stream->decode_engine) return StartDecode(stream);
    if (AwaitPermit(stream, engine, Phase::kAwaitingPrefillPermit,
                    StreamStage::kPrefillReservation)) {
      return;
    }
    return StartPrefill(stream);
  }
  stream->decode_engine = engine;
  stream->reserved_at = m_board->clock->Now();
  m_board->log->Write(
      "stream_placed",
      {{"request", stream->routed.request.id},
       {"engine", engine.Value()},
       {"prompt", stream->routed.request.prompt_tokens.Value()},
       {"estimate", ExpectedOutputTokens(stream->routed.request).Value()},
       {"waited_us",
        (m_board->clock->Now() - stream->routed.arrived_at).count()}});
  // The permit for the decode call comes before the prefill, which would be in
  // vain without it.
  if (AwaitPermit(stream, engine, Phase::kAwaitingDecodePermit,
                  StreamStage::kDecodeReservation)) {
    return;
  }
  ReservePrefillEngine(stream);
}

StageBudget StreamCalls::BudgetFor(const Stream& stream,
                                   StreamStage stage) const {
  const TimePoint now = m_board->clock->Now();
  return StageBudgetFor(stage, stream.routed.route,
                        now - stream.caller_waiting_since,
                        stream.routed.TimeLeft(now));
}

bool StreamCalls::HasUnlimitedEngine(
    const UpstreamName& engine, const std::set<UpstreamName>& excluded) const {
  const RegisteredUpstream* wanted = m_board->upstreams.Find(engine);
  if (wanted == nullptr) return false;
  const auto engines = m_board->upstreams.FindByService(wanted->service);
  return std::any_of(
      engines.begin(), engines.end(), [&](const RegisteredUpstream* other) {
        return other->role == wanted->role && !other->leaving &&
               !m_board->pauses.IsPaused(*other, m_board->clock->Now()) &&
               !m_permits->IsNeeded(other->name) &&
               !excluded.contains(other->name);
      });
}

bool StreamCalls::AwaitPermit(Stream* stream, const UpstreamName& engine,
                              Phase phase, StreamStage stage) {
  if (!m_permits->IsNeeded(engine)) return false;
  stream->phase = phase;
  const bool has_other =
      HasUnlimitedEngine(engine, phase == Phase::kAwaitingPrefillPermit
                                     ? stream->excluded_prefill_engines
                                     : stream->excluded_decode_engines);
  const Duration max_wait =
      has_other ? Duration(0) : BudgetFor(*stream, stage).max_wait;
  stream->permit = m_permits->Request(engine, max_wait, this);
  m_exchanges_by_permit.FindOrInsert(stream->permit, stream->routed.exchange);
  return true;
}

StreamCalls::Stream* StreamCalls::TakePermitStream(PermitId id) {
  const http::ExchangeId* exchange = m_exchanges_by_permit.Find(id);
  Stream* stream = exchange == nullptr ? nullptr : m_streams.Find(*exchange);
  m_exchanges_by_permit.Erase(id);
  if (stream != nullptr) stream->permit = PermitId();
  return stream;
}

void StreamCalls::OnPermit(PermitId id) {
  Stream* stream = TakePermitStream(id);
  if (stream == nullptr) return;
  if (stream->phase == Phase::kAwaitingPrefillPermit) {
    return StartPrefill(stream);
  }
  stream->has_decode_permit = true;
  if (stream->phase == Phase::kAwaitingCallPermit) return StartDecode(stream);
  ReservePrefillEngine(stream);
}

void StreamCalls::OnNoPermit(PermitId id) {
  Stream* stream = TakePermitStream(id);
  if (stream == nullptr) return;
  if (stream->phase == Phase::kAwaitingPrefillPermit) {
    ReleasePrefill(stream);
    stream->excluded_prefill_engines.insert(stream->prefill_engine);
    return ReservePrefillEngine(stream);
  }
  stream->excluded_decode_engines.insert(stream->decode_engine);
  ReleaseAttempt(stream);
  ReserveDecodeEngine(stream);
}

void StreamCalls::OnNotReserved(const AttemptId& attempt, ErrorKind kind,
                                Duration retry_after) {
  const http::ExchangeId* exchange = m_exchanges_by_attempt.Find(attempt);
  Stream* stream = exchange == nullptr ? nullptr : m_streams.Find(*exchange);
  m_exchanges_by_attempt.Erase(attempt);
  if (stream == nullptr) return;
  const bool is_prefill = stream->phase == Phase::kReservingPrefill;
  (is_prefill ? stream->prefill_attempt : stream->decode_attempt) = AttemptId();
  // There is neither a prefill engine in service nor an agent that schedules
  // prompts on the decode engine, so the decode engine computes the prompt now.
  // Waiting would not help, since no agent could grant the prompt later.
  if (is_prefill && kind == ErrorKind::kNoUpstream) return StartDecode(stream);
  FailOverloaded(
      stream, retry_after,
      is_prefill ? "no prefill engine has time" : "no engine has room in time");
}

bool StreamCalls::StartCall(Stream* stream, const RegisteredUpstream& upstream,
                            const UpstreamCall& call) {
  stream->call_started_at = m_board->clock->Now();
  stream->response_head = http::Head();
  stream->response_body.clear();
  stream->is_forwarding = false;
  stream->routed.last_upstream = upstream.name;
  stream->routed.last_upstream_started_at_ms = upstream.started_at_ms;
  http::CallPolicy policy;
  policy.response_id = stream->routed.request.id;
  stream->call = m_board->connections->Start(
      upstream.address,
      m_board->codec->EncodeCall(stream->routed.request, upstream, call), this,
      policy);
  if (!stream->call.IsValid()) return false;
  CountLimitedCall(m_board, stream->routed, upstream.name,
                   stream->prefill_calls > 1 || stream->decode_calls > 1);
  m_exchanges_by_call.FindOrInsert(stream->call, stream->routed.exchange);
  return true;
}

void StreamCalls::ReservePrefillEngine(Stream* stream) {
  const RoutedRequest& routed = stream->routed;
  const bool allowed = stream->prefill_calls < kMaxPrefillCalls &&
                       PayForRetries(stream, stream->calls.DueBeforePrefill());
  if (!allowed && !PayForRetries(stream, stream->calls.DueBeforeDecode())) {
    return FailUnpaid(stream);
  }
  stream->phase = Phase::kReservingPrefill;
  stream->prefill_attempt = m_reservations->NewAttempt(routed.request.id);
  m_exchanges_by_attempt.FindOrInsert(stream->prefill_attempt, routed.exchange);
  Reservations::Requirement requirement;
  requirement.role = EngineRole::kPrefill;
  requirement.service = routed.service;
  requirement.prompt_tokens = routed.request.prompt_tokens;
  const StageBudget budget =
      BudgetFor(*stream, StreamStage::kPrefillReservation);
  requirement.max_wait = budget.max_wait;
  requirement.target_left = budget.target_left;
  requirement.priority = EnginePriority(routed.route);
  requirement.excluded_engines = stream->excluded_prefill_engines;
  requirement.excluded_engines.merge(m_permits->Exhausted(routed.service));
  requirement.local_only = !allowed;
  // The agent of a decode engine grants no prompt that has missed its target,
  // since prefill engines can compute it. Here the decode engine is the only
  // choice, so the prompt must not count as late.
  if (requirement.local_only) requirement.target_left = requirement.max_wait;
  if (const RegisteredUpstream* decode =
          m_board->upstreams.Find(stream->decode_engine)) {
    requirement.preferred_zone = decode->zone;
  }
  const LocalPrefill local = DecideLocalPrefill(*stream);
  requirement.local_engine = stream->decode_engine;
  requirement.local_delay = local.allowed ? local.delay : requirement.max_wait;
  m_reservations->Reserve(stream->prefill_attempt, requirement);
}

bool StreamCalls::PayForRetries(Stream* stream, int retries) {
  const bool paid = m_board->retry_budget.TrySpend(
      stream->routed.service, m_board->clock->Now(), retries);
  if (paid) stream->calls.RecordPaid(retries);
  return paid;
}

void StreamCalls::FailUnpaid(Stream* stream) {
  FailOverloaded(stream, Duration(0), "the retry budget is spent");
}

LocalPrefill StreamCalls::DecideLocalPrefill(const Stream& stream) const {
  return LocalPrefillFor(stream.routed.route,
                         stream.routed.request.prompt_tokens,
                         m_board->clock->Now() - stream.caller_waiting_since,
                         m_prefill_rate.TokensPerSecond());
}

bool StreamCalls::RefuseIfBarred(Stream* stream) {
  if (!IsBarred(m_board, stream->routed)) return false;
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

void StreamCalls::StartPrefill(Stream* stream) {
  if (RefuseIfBarred(stream)) return;
  ++stream->prefill_calls;
  stream->calls.BeginPrefill();
  const RegisteredUpstream* upstream =
      m_board->upstreams.Find(stream->prefill_engine);
  if (!IsUsable(upstream)) {
    return OnPrefillFailed(stream, /*was_sent=*/false,
                           "engine is leaving or pauses");
  }
  stream->phase = Phase::kPrefilling;
  UpstreamCall call;
  call.purpose = CallPurpose::kPrefill;
  call.priority = EnginePriority(stream->routed.route);
  call.time_left = stream->routed.TimeLeft(m_board->clock->Now());
  if (!StartCall(stream, *upstream, call)) {
    FailOverloaded(stream, Duration(0), "no socket");
  }
}

bool StreamCalls::IsUsable(const RegisteredUpstream* engine) const {
  return engine != nullptr && !engine->leaving &&
         !m_board->pauses.IsPaused(*engine, m_board->clock->Now());
}

void StreamCalls::ReleasePrefill(Stream* stream) {
  m_reservations->Release(stream->prefill_attempt);
  m_exchanges_by_attempt.Erase(stream->prefill_attempt);
  stream->prefill_attempt = AttemptId();
}

void StreamCalls::StartDecode(Stream* stream) {
  if (RefuseIfBarred(stream)) return;
  RoutedRequest& routed = stream->routed;
  const TimePoint now = m_board->clock->Now();
  const RegisteredUpstream* upstream =
      m_board->upstreams.Find(stream->decode_engine);
  if (!IsUsable(upstream)) {
    return OnDecodeRejected(stream, "engine is leaving or pauses");
  }
  if (!PayForRetries(stream, stream->calls.DueBeforeDecode())) {
    return FailUnpaid(stream);
  }
  if (!std::exchange(stream->has_decode_permit, false) &&
      AwaitPermit(stream, stream->decode_engine, Phase::kAwaitingCallPermit,
                  StreamStage::kPrefillReservation)) {
    return;
  }
  stream->phase = Phase::kDecoding;
  ++stream->decode_calls;
  stream->calls.BeginDecode();
  UpstreamCall call;
  call.purpose = CallPurpose::kDecode;
  call.priority = EnginePriority(routed.route);
  call.time_left = routed.TimeLeft(now);
  call.kv = std::exchange(stream->kv, std::nullopt);
  stream->kv_in_call = call.kv;
  const int64_t last = LastEventId(*stream);
  if (last > 0) call.resume_after_event_id = last;
  stream->prefilled_at = now;
  stream->last_event_at = now;
  stream->answer_started_at = TimePoint();
  stream->answer_is_sound = false;
  if (!StartCall(stream, *upstream, call)) {
    FailOverloaded(stream, Duration(0), "no socket");
  }
}

int64_t StreamCalls::LastEventId(const Stream& stream) const {
  return stream.events.LastEventId().value_or(
      stream.routed.request.last_event_id.value_or(0));
}

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
  RecordStatements(m_board, stream->routed, head, metadata,
                   stream->call_started_at);
  stream->response_head = head;
  if (stream->phase != Phase::kDecoding || metadata.not_run) return true;
  stream->may_have_run = true;
  if (head.status == http::kOk && http::IsEventStream(head)) {
    ForwardHead(stream, head);
  }
  return true;
}

void StreamCalls::ForwardHead(Stream* stream, const http::Head& head) {
  stream->is_forwarding = true;
  stream->events.BeginResponse();
  if (std::exchange(stream->head_sent, true)) return;
  http::Head response = head;
  http::RemoveConnectionHeaders(&response.headers);
  m_board->server->StartStream(stream->routed.exchange, response);
}

void StreamCalls::OnResponseBody(http::CallId id, std::string_view bytes) {
  Stream* stream = FindStream(id);
  if (stream == nullptr) return;
  if (!stream->is_forwarding) {
    stream->response_body.append(bytes);
    if (stream->response_body.size() > kMaxResponseBytes) RejectBytes(id);
    return;
  }
  const int64_t earlier_events = stream->events.Count();
  const std::string complete_events = stream->events.Append(bytes);
  if (stream->events.IsTooLong()) return RejectBytes(id);
  if (complete_events.empty()) return;
  if (stream->events.Count() > earlier_events) {
    RecordEvent(stream, /*first=*/earlier_events == 0);
  }
  const http::ExchangeId exchange = stream->routed.exchange;
  m_board->server->WriteStream(exchange, complete_events);
  if (m_board->server->PendingBytes(exchange) > kHighWatermarkBytes) {
    m_board->connections->SetReading(id, false);
  }
}

void StreamCalls::RejectBytes(http::CallId id) {
  m_board->connections->Cancel(id);
  OnCallFailed(id, http::CallFailure::kMalformed);
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
  } else {
    stream->longest_gap =
        std::max(stream->longest_gap, now - stream->last_event_at);
  }
  stream->last_event_at = now;
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

void StreamCalls::OnOutputDrained(http::ExchangeId id) {
  const Stream* stream = m_streams.Find(id);
  if (stream != nullptr) m_board->connections->SetReading(stream->call, true);
}

void StreamCalls::OnResponseEnd(http::CallId id) {
  Stream* stream = FindStream(id);
  if (stream == nullptr) return;
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
  if (stream->head_sent) return OnDecodeBroken(stream, "resume was refused");
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
  stream->call = http::CallId();
  const bool not_sent = failure == http::CallFailure::kNotSent;
  if (stream->phase == Phase::kPrefilling) {
    return OnPrefillFailed(stream, !not_sent, "connection failed");
  }
  if (not_sent) {
    stream->calls.RecordNotSent();
    m_reservations->RecordUnreachable(stream->decode_engine);
    m_board->poison_detector.RecordUnreachable(stream->decode_engine,
                                               m_board->clock->Now());
    stream->kv = std::exchange(stream->kv_in_call, std::nullopt);
    return OnDecodeRejected(stream, "no connection");
  }
  OnDecodeInterrupted(stream, failure == http::CallFailure::kBroken
                                  ? "connection broke"
                                  : "malformed answer");
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
  stream->excluded_decode_engines.insert(stream->decode_engine);
  ReleaseAttempt(stream);
  const bool retry = routed.route.kind == RequestKind::kResumableStream &&
                     stream->decode_calls < kMaxDecodeCalls &&
                     now < routed.deadline && !IsBarred(m_board, routed) &&
                     PayForRetries(stream, stream->calls.DueBeforeDecode());
  if (!retry) return FailUnknown(stream, ErrorKind::kUpstreamFailed, reason);
  stream->caller_waiting_since = now;
  m_board->log->Write("stream_resumed", {{"request", routed.request.id},
                                         {"after_event", LastEventId(*stream)},
                                         {"parts", SharedParts(routed.request)},
                                         {"reason", std::string(reason)}});
  ReserveDecodeEngine(stream);
}

void StreamCalls::ReleaseAttempt(Stream* stream) {
  if (stream->call.IsValid()) {
    m_board->connections->Cancel(stream->call);
    m_exchanges_by_call.Erase(stream->call);
    stream->call = http::CallId();
  }
  if (stream->kv.has_value()) {
    const KvLocation kv = *std::exchange(stream->kv, std::nullopt);
    m_board->connections->Start(kv.engine_address,
                                m_board->codec->EncodeKvRelease(kv),
                                &m_ignored_responses, {});
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
  if (stream->may_have_run) {
    return FailUnknown(stream, ErrorKind::kUpstreamFailed, reason);
  }
  ReleaseAttempt(stream);
  if (retry_after == Duration(0)) {
    retry_after = m_permits->RetryAfter(stream->routed.service);
  }
  retry_after = std::max(retry_after, DecodePause(stream->routed.service, {}));
  // Jitter, so that callers that were refused together do not retry together.
  if (retry_after > Duration(0)) {
    retry_after = std::max(retry_after, m_board->random->Jitter(retry_after));
  }
  FailRequest(m_board, stream->routed, ErrorKind::kOverloaded, retry_after,
              reason);
  FinishStream(stream);
}

void StreamCalls::FailUnknown(Stream* stream, ErrorKind kind,
                              std::string_view reason) {
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
                         {"parts", SharedParts(routed.request)},
                         {"reason", std::string(reason)}});
    m_board->server->Abort(routed.exchange);
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

bool StreamCalls::OnCallerDisconnected(http::ExchangeId id) {
  Stream* stream = m_streams.Find(id);
  if (stream == nullptr) return false;
  m_board->log->Write("caller_gone", {{"request", stream->routed.request.id},
                                      {"after_event", LastEventId(*stream)}});
  m_board->server->Abort(id);
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
  if (m_board->prompt_parts.TakeNewBlame()) RefuseBarredStreams();
  std::vector<http::ExchangeId> timed_out;
  std::vector<http::CallId> slow_prefills;
  std::vector<http::CallId> silent_decodes;
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
    } else if (stream.phase == Phase::kDecoding &&
               stream.routed.route.kind == RequestKind::kResumableStream &&
               now - stream.last_event_at > EventTimeout(stream.routed.route)) {
      silent_decodes.push_back(stream.call);
    }
  }
  for (const http::ExchangeId id : resumed) {
    ReserveDecodeEngine(m_streams.Find(id));
  }
  for (const http::CallId call : slow_prefills) {
    m_board->connections->Cancel(call);
    OnCallFailed(call, http::CallFailure::kBroken);
  }
  for (const http::CallId call : silent_decodes) {
    m_board->connections->Cancel(call);
    OnCallFailed(call, http::CallFailure::kBroken);
  }
  for (const http::ExchangeId id : timed_out) {
    Stream* stream = m_streams.Find(id);
    if (stream == nullptr) continue;
    if (stream->phase == Phase::kDecoding || stream->may_have_run) {
      FailUnknown(stream, ErrorKind::kTimeout, "out of time");
    } else {
      FailOverloaded(stream, Duration(0), "out of time");
    }
  }
}

void StreamCalls::FinishStream(Stream* stream) {
  ReleaseAttempt(stream);
  m_streams.Erase(stream->routed.exchange);
}

}  // namespace burdockhill

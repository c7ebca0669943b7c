// How StreamCalls places streams on engines: reservations, permits and the
// start of calls.

#include <algorithm>
#include <utility>

#include "burdockhill/src/gateway/stream_calls.h"
#include "burdockhill/src/gateway/take_up.h"

namespace burdockhill {

namespace {

constexpr int kMaxPrefillCalls = 3;

uint8_t EnginePriority(const EntryBoard& board, const RoutedRequest& routed) {
  return board.routes.EnginePriority(routed.route, routed.team);
}

// A stream that has begun goes before those that have not: its caller has a
// part of the answer, and fewer engines can go on with it.
uint8_t ReservationPriority(const EntryBoard& board,
                            const RoutedRequest& routed, bool has_begun) {
  return has_begun ? 0 : EnginePriority(board, routed);
}

}  // namespace

void StreamCalls::ReserveDecodeEngine(Stream* stream) {
  const RoutedRequest& routed = stream->routed;
  if (!HasNextEngine(*stream)) {
    return FailOverloaded(stream, Duration(0), kNoUpstreamOfVersion);
  }
  const StageBudget budget =
      BudgetFor(*stream, StreamStage::kDecodeReservation);
  const Duration pause = DecodePause(*stream, stream->excluded_decode_engines);
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
  requirement.priority =
      ReservationPriority(*m_board, routed, stream->version.has_value());
  requirement.team = routed.team;
  requirement.excluded_engines = stream->excluded_decode_engines;
  requirement.excluded_engines.merge(m_permits->Exhausted(routed.service));
  requirement.request_bytes =
      ByteCount(static_cast<int64_t>(routed.request.body.size()));
  requirement.version = RequiredVersion(*stream, EngineRole::kDecode);
  m_reservations->Reserve(stream->decode_attempt, requirement);
}

std::optional<SoftwareVersion> StreamCalls::RequiredVersion(
    const Stream& stream, EngineRole role) const {
  if (role == EngineRole::kDecode) return stream.version;
  const RegisteredUpstream* decode =
      m_board->upstreams.Find(stream.decode_engine);
  return decode == nullptr ? SoftwareVersion() : decode->version;
}

bool StreamCalls::HasEngine(const Stream& stream, EngineRole role,
                            const std::set<UpstreamName>& excluded) const {
  const std::optional<SoftwareVersion> version = RequiredVersion(stream, role);
  const auto engines = m_board->upstreams.FindByService(stream.routed.service);
  return std::any_of(engines.begin(), engines.end(),
                     [&](const RegisteredUpstream* engine) {
                       return engine->role == role && !engine->leaving &&
                              FitsVersion(*engine, version) &&
                              !excluded.contains(engine->name);
                     });
}

Duration StreamCalls::DecodePause(
    const Stream& stream, const std::set<UpstreamName>& excluded) const {
  std::vector<const RegisteredUpstream*> engines;
  for (const RegisteredUpstream* engine :
       m_board->upstreams.FindByService(stream.routed.service)) {
    if (engine->role == EngineRole::kDecode &&
        FitsVersion(*engine, stream.version) &&
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

StageBudget StreamCalls::BudgetFor(const Stream& stream,
                                   StreamStage stage) const {
  const TimePoint now = m_board->clock->Now();
  return StageBudgetFor(stage, stream.routed.route,
                        now - stream.caller_waiting_since,
                        stream.routed.TimeLeft(now));
}

bool StreamCalls::HasUnlimitedEngine(
    const Stream& stream, const UpstreamName& engine,
    const std::set<UpstreamName>& excluded) const {
  const RegisteredUpstream* wanted = m_board->upstreams.Find(engine);
  if (wanted == nullptr || !wanted->role.has_value()) return false;
  const std::optional<SoftwareVersion> version =
      RequiredVersion(stream, *wanted->role);
  const auto engines = m_board->upstreams.FindByService(wanted->service);
  return std::any_of(
      engines.begin(), engines.end(), [&](const RegisteredUpstream* other) {
        return other->role == wanted->role && !other->leaving &&
               FitsVersion(*other, version) &&
               !m_board->pauses.IsPaused(*other, m_board->clock->Now()) &&
               !m_permits->IsNeeded(other->name) &&
               !excluded.contains(other->name);
      });
}

bool StreamCalls::AwaitPermit(Stream* stream, const UpstreamName& engine,
                              Phase phase, StreamStage stage) {
  if (!m_permits->IsNeeded(engine)) return false;
  stream->phase = phase;
  const bool has_other = HasUnlimitedEngine(
      *stream, engine,
      phase == Phase::kAwaitingPrefillPermit ? stream->excluded_prefill_engines
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
  requirement.request_bytes =
      ByteCount(static_cast<int64_t>(routed.request.body.size()));
  requirement.service = routed.service;
  requirement.prompt_tokens = routed.request.prompt_tokens;
  const StageBudget budget =
      BudgetFor(*stream, StreamStage::kPrefillReservation);
  requirement.max_wait = budget.max_wait;
  requirement.target_left = budget.target_left;
  requirement.priority =
      ReservationPriority(*m_board, routed, stream->version.has_value());
  requirement.team = routed.team;
  requirement.excluded_engines = stream->excluded_prefill_engines;
  requirement.excluded_engines.merge(m_permits->Exhausted(routed.service));
  requirement.version = RequiredVersion(*stream, EngineRole::kPrefill);
  requirement.local_only =
      !allowed || !HasEngine(*stream, EngineRole::kPrefill, /*excluded=*/{});
  // The agent of a decode engine grants no prompt that has missed its target,
  // since prefill engines can compute it. Here the decode engine is the only
  // choice, so the prompt must not count as late.
  if (requirement.local_only) requirement.target_left = requirement.max_wait;
  if (const RegisteredUpstream* decode =
          m_board->upstreams.Find(stream->decode_engine)) {
    requirement.decode_zone = decode->zone;
  }
  const LocalPrefill local = DecideLocalPrefill(*stream);
  requirement.local_engine = stream->decode_engine;
  requirement.local_delay = local.allowed ? local.delay : requirement.max_wait;
  m_reservations->Reserve(stream->prefill_attempt, requirement);
}

bool StreamCalls::PayForRetries(Stream* stream, int retries) {
  const bool paid =
      burdockhill::PayForRetries(m_board, stream->routed, retries);
  if (paid) stream->calls.RecordPaid(retries);
  return paid;
}

LocalPrefill StreamCalls::DecideLocalPrefill(const Stream& stream) const {
  return LocalPrefillFor(stream.routed.route,
                         stream.routed.request.prompt_tokens,
                         m_board->clock->Now() - stream.caller_waiting_since,
                         m_prefill_rate.TokensPerSecond());
}

bool StreamCalls::StartCall(Stream* stream, const RegisteredUpstream& upstream,
                            const UpstreamCall& call) {
  stream->call_started_at = m_board->clock->Now();
  stream->called_version = upstream.version;
  stream->response_head = http::Head();
  std::string().swap(stream->response_body);
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

bool StreamCalls::IsUsable(const RegisteredUpstream* engine) const {
  return engine != nullptr && !engine->leaving &&
         !m_board->pauses.IsPaused(*engine, m_board->clock->Now());
}

void StreamCalls::StartPrefill(Stream* stream) {
  if (RefuseIfBarred(stream)) return;
  const RegisteredUpstream* upstream =
      m_board->upstreams.Find(stream->prefill_engine);
  // One of the two engines has restarted at another version meanwhile.
  if (upstream != nullptr &&
      !FitsVersion(*upstream, RequiredVersion(*stream, EngineRole::kPrefill))) {
    ReleasePrefill(stream);
    return ReservePrefillEngine(stream);
  }
  ++stream->prefill_calls;
  stream->calls.BeginPrefill();
  if (!IsUsable(upstream)) {
    return OnPrefillFailed(stream, /*was_sent=*/false,
                           "engine is leaving or pauses");
  }
  stream->phase = Phase::kPrefilling;
  UpstreamCall call;
  call.purpose = CallPurpose::kPrefill;
  call.priority = EnginePriority(*m_board, stream->routed);
  call.time_left = stream->routed.TimeLeft(m_board->clock->Now());
  if (!StartCall(stream, *upstream, call)) {
    FailOverloaded(stream, Duration(0), "no socket");
  }
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
  // It may have restarted since it was reserved or the prompt was computed.
  const bool fits = FitsVersion(*upstream, stream->version) &&
                    (!stream->kv.has_value() ||
                     AreSameVersion(upstream->version, stream->called_version));
  if (!fits) return OnDecodeRejected(stream, "engine has another version");
  if (stream->kv.has_value() &&
      m_reservations->IsOutdated(stream->decode_attempt)) {
    return OnDecodeRejected(stream, "engine may have restarted");
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
  call.priority = EnginePriority(*m_board, routed);
  call.time_left = routed.TimeLeft(now);
  call.kv = std::exchange(stream->kv, std::nullopt);
  stream->kv_in_call = call.kv;
  const int64_t last = LastEventId(*stream);
  if (last > 0) call.resume_after_event_id = last;
  stream->prefilled_at = now;
  stream->last_event_at = now;
  stream->silent_since = now;
  stream->answer_started_at = TimePoint();
  stream->answer_is_sound = false;
  if (!StartCall(stream, *upstream, call)) {
    return FailOverloaded(stream, Duration(0), "no socket");
  }
  if (stream->may_have_run) ChargeFurtherRun(m_board, &routed);
}

}  // namespace burdockhill

#include "burdockhill/src/gateway/stream_calls.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// A prefill call without a complete answer is cancelled after this time.
constexpr Duration kPrefillTime = std::chrono::milliseconds(2000);
// A resumable stream without a new event for this long is resumed on another
// engine.
constexpr Duration kSilenceToResume = std::chrono::milliseconds(1200);
constexpr int kMaxPrefillCalls = 3;
constexpr int kMaxDecodeCalls = 4;
// Reading from the engine pauses while the caller has more unread bytes, and
// goes on once the caller has read all.
constexpr size_t kMaxUnreadBytes = size_t{256} << 10;
// An answer that is no stream is buffered; bytes beyond this size are dropped.
constexpr size_t kMaxAnswerBytes = size_t{1} << 20;

// Priorities range from 0, the most urgent, to this.
constexpr int kLeastUrgent = 9;

uint8_t PriorityOf(const Route& route) {
  return static_cast<uint8_t>(std::clamp(route.priority, 0, kLeastUrgent));
}

}  // namespace

void StreamCalls::Begin(RoutedRequest routed) {
  const http::ExchangeId id = routed.exchange;
  m_board->retry_budget.CountRequest(routed.service, routed.arrived_at);
  Stream& stream = m_streams.FindOrInsert(id);
  stream.routed = std::move(routed);
  stream.last_event_at = stream.routed.arrived_at;
  stream.waiting_since = stream.routed.arrived_at;
  Reserve(&stream);
}

StreamCalls::Stream* StreamCalls::Of(http::CallId id) {
  const http::ExchangeId* exchange = m_calls.Find(id);
  return exchange == nullptr ? nullptr : m_streams.Find(*exchange);
}

void StreamCalls::Reserve(Stream* stream) {
  const RoutedRequest& routed = stream->routed;
  stream->phase = Phase::kReserving;
  stream->attempt = m_reservations->NewAttempt(routed.request.id);
  m_attempts.FindOrInsert(stream->attempt, routed.exchange);
  const TimePoint now = m_board->clock->Now();
  Reservations::Need need;
  need.service = routed.service;
  need.prompt = routed.request.prompt_tokens;
  need.estimate = ExpectedOutputTokens(routed.request);
  const StageBudget budget =
      StageBudgetFor(StreamStage::kDecodeReservation, routed.route,
                     now - stream->waiting_since, routed.TimeLeft(now));
  need.wait = budget.max_wait;
  need.target_left = budget.target_left;
  need.priority = PriorityOf(routed.route);
  need.excluded = stream->avoid_decode;
  need.near = m_board->zone;
  m_reservations->Ask(stream->attempt, need);
}

void StreamCalls::OnReserved(const AttemptId& attempt,
                             const UpstreamName& engine) {
  const http::ExchangeId* exchange = m_attempts.Find(attempt);
  Stream* stream = exchange == nullptr ? nullptr : m_streams.Find(*exchange);
  if (stream == nullptr) return m_reservations->Release(attempt);
  if (stream->phase == Phase::kAwaitingTurn) {
    stream->prefill = engine;
    return engine == stream->decode ? StartDecode(stream)
                                    : StartPrefill(stream);
  }
  stream->decode = engine;
  stream->reserved_at = m_board->clock->Now();
  m_board->log->Write(
      "stream_placed",
      {{"request", stream->routed.request.id},
       {"engine", engine.Value()},
       {"prompt", stream->routed.request.prompt_tokens.Value()},
       {"estimate", ExpectedOutputTokens(stream->routed.request).Value()},
       {"waited_us",
        (m_board->clock->Now() - stream->routed.arrived_at).count()}});
  AskPrefill(stream);
}

void StreamCalls::OnNotReserved(const AttemptId& attempt, ErrorKind kind,
                                Duration retry_after) {
  const http::ExchangeId* exchange = m_attempts.Find(attempt);
  Stream* stream = exchange == nullptr ? nullptr : m_streams.Find(*exchange);
  m_attempts.Erase(attempt);
  if (stream == nullptr) return;
  const bool turn = stream->phase == Phase::kAwaitingTurn;
  (turn ? stream->prefill_turn : stream->attempt) = AttemptId();
  // There is neither a prefill engine in service nor an agent that schedules
  // prompts on the decode engine, so the decode engine computes the prompt now.
  if (turn && kind == ErrorKind::kNoUpstream) return StartDecode(stream);
  if (stream->may_have_run) {
    return FailUnknown(stream, ErrorKind::kUpstreamFailed,
                       "no engine to resume on");
  }
  Reject(stream, retry_after,
         turn ? "no prefill engine has time" : "no engine has room in time");
}

bool StreamCalls::StartCall(Stream* stream, const RegisteredUpstream& upstream,
                            const UpstreamCall& call) {
  stream->call_started = m_board->clock->Now();
  stream->answer = http::Head();
  stream->answer_body.clear();
  stream->passing = false;
  stream->routed.last_upstream = upstream.name;
  stream->call = m_board->connections->Start(
      upstream.address,
      m_board->codec->EncodeCall(stream->routed.request, upstream, call), this,
      {});
  if (!stream->call.IsValid()) return false;
  m_calls.FindOrInsert(stream->call, stream->routed.exchange);
  return true;
}

void StreamCalls::AskPrefill(Stream* stream) {
  const RoutedRequest& routed = stream->routed;
  const TimePoint now = m_board->clock->Now();
  // Only prefill calls after the first one count as retries.
  const bool allowed = stream->prefill_calls == 0 ||
                       (stream->prefill_calls < kMaxPrefillCalls &&
                        m_board->retry_budget.TrySpend(routed.service, now));
  stream->phase = Phase::kAwaitingTurn;
  stream->prefill_turn = m_reservations->NewAttempt(routed.request.id);
  m_attempts.FindOrInsert(stream->prefill_turn, routed.exchange);
  Reservations::Need need;
  need.role = EngineRole::kPrefill;
  need.service = routed.service;
  need.prompt = routed.request.prompt_tokens;
  const StageBudget budget =
      StageBudgetFor(StreamStage::kPrefillReservation, routed.route,
                     now - stream->waiting_since, routed.TimeLeft(now));
  need.wait = budget.max_wait;
  need.target_left = budget.target_left;
  need.priority = PriorityOf(routed.route);
  need.excluded = stream->avoid_prefill;
  need.only_local = !allowed;
  // The agent of a decode engine grants no prompt that has missed its target,
  // since prefill engines can compute it. Here the decode engine is the only
  // choice, so the prompt must not count as late.
  if (need.only_local) need.target_left = need.wait;
  if (const RegisteredUpstream* decode =
          m_board->upstreams.Find(stream->decode)) {
    need.near = decode->zone;
  }
  const LocalPrefill local = LocalPrefillOf(*stream);
  need.local = stream->decode;
  need.local_after = local.allowed ? local.delay : need.wait;
  m_reservations->Ask(stream->prefill_turn, need);
}

LocalPrefill StreamCalls::LocalPrefillOf(const Stream& stream) const {
  return LocalPrefillFor(stream.routed.route,
                         stream.routed.request.prompt_tokens,
                         m_board->clock->Now() - stream.waiting_since,
                         m_prefill_rate.TokensPerSecond());
}

void StreamCalls::StartPrefill(Stream* stream) {
  ++stream->prefill_calls;
  const RegisteredUpstream* upstream = m_board->upstreams.Find(stream->prefill);
  if (upstream == nullptr || upstream->leaving) {
    return OnPrefillFailed(stream, /*was_sent=*/false, "engine is leaving");
  }
  stream->phase = Phase::kPrefilling;
  UpstreamCall call;
  call.purpose = CallPurpose::kPrefill;
  call.priority = PriorityOf(stream->routed.route);
  call.time_left = stream->routed.TimeLeft(m_board->clock->Now());
  if (!StartCall(stream, *upstream, call)) {
    Reject(stream, Duration(0), "no socket");
  }
}

void StreamCalls::ReleaseTurn(Stream* stream) {
  m_reservations->Release(stream->prefill_turn);
  m_attempts.Erase(stream->prefill_turn);
  stream->prefill_turn = AttemptId();
}

void StreamCalls::StartDecode(Stream* stream) {
  RoutedRequest& routed = stream->routed;
  const TimePoint now = m_board->clock->Now();
  const RegisteredUpstream* upstream = m_board->upstreams.Find(stream->decode);
  if (upstream == nullptr || upstream->leaving) {
    return OnDecodeRejected(stream, "engine is leaving");
  }
  stream->phase = Phase::kDecoding;
  ++stream->decode_calls;
  UpstreamCall call;
  call.purpose = CallPurpose::kDecode;
  call.priority = PriorityOf(routed.route);
  call.time_left = routed.TimeLeft(now);
  call.kv = std::exchange(stream->kv, std::nullopt);
  stream->kv_in_call = call.kv;
  const int64_t last = LastEvent(*stream);
  if (last > 0) call.resume_after_event_id = last;
  stream->prefilled_at = now;
  stream->last_event_at = now;
  if (!StartCall(stream, *upstream, call)) {
    Reject(stream, Duration(0), "no socket");
  }
}

int64_t StreamCalls::LastEvent(const Stream& stream) const {
  return stream.events.LastEventId().value_or(
      stream.routed.request.last_event_id.value_or(0));
}

bool StreamCalls::OnResponseHead(http::CallId id, const http::Head& head) {
  Stream* stream = Of(id);
  if (stream == nullptr) return true;
  const AnswerMetadata metadata = m_board->codec->DecodeAnswerMetadata(head);
  const bool ours =
      metadata.request_id == stream->routed.request.id ||
      (stream->phase == Phase::kPrefilling && metadata.request_id.empty());
  if (!ours) return false;
  stream->answer = head;
  if (stream->phase != Phase::kDecoding || metadata.not_run) return true;
  stream->may_have_run = true;
  if (head.status == http::kOk) PassHead(stream, head);
  return true;
}

void StreamCalls::PassHead(Stream* stream, const http::Head& head) {
  stream->passing = true;
  if (std::exchange(stream->head_sent, true)) return;
  http::Head answer = head;
  http::RemoveConnectionHeaders(&answer.headers);
  m_board->server->StartStream(stream->routed.exchange, answer);
}

void StreamCalls::OnResponseBody(http::CallId id, std::string_view bytes) {
  Stream* stream = Of(id);
  if (stream == nullptr) return;
  if (!stream->passing) {
    if (stream->answer_body.size() < kMaxAnswerBytes) {
      stream->answer_body.append(bytes);
    }
    return;
  }
  const TimePoint now = m_board->clock->Now();
  const bool first = stream->events.Count() == 0;
  const std::string whole = stream->events.Append(bytes);
  if (whole.empty()) return;
  if (first) {
    const Duration took = now - stream->routed.arrived_at;
    m_board->metrics
        .HistogramFor("burdockhill_first_event_seconds",
                      LabelsFor(stream->routed.service))
        ->Add(std::chrono::duration<double>(took).count());
    m_reservations->NoteAnswer(stream->decode);
    // The prompt has been computed, also if the decode engine did it.
    ReleaseTurn(stream);
    stream->first_event_at = now;
  } else {
    stream->longest_gap =
        std::max(stream->longest_gap, now - stream->last_event_at);
  }
  stream->last_event_at = now;
  const http::ExchangeId exchange = stream->routed.exchange;
  m_board->server->WriteStream(exchange, whole);
  if (m_board->server->PendingBytes(exchange) > kMaxUnreadBytes) {
    m_board->connections->SetReading(id, false);
  }
}

void StreamCalls::OnCallerDrained(http::ExchangeId id) {
  const Stream* stream = m_streams.Find(id);
  if (stream != nullptr) m_board->connections->SetReading(stream->call, true);
}

void StreamCalls::OnResponseEnd(http::CallId id) {
  Stream* stream = Of(id);
  if (stream == nullptr) return;
  m_calls.Erase(id);
  stream->call = http::CallId();
  if (stream->phase == Phase::kPrefilling) return OnPrefillEnd(stream);
  OnDecodeEnd(stream);
}

void StreamCalls::OnPrefillEnd(Stream* stream) {
  ReleaseTurn(stream);
  const RegisteredUpstream* upstream = m_board->upstreams.Find(stream->prefill);
  if (stream->answer.status != http::kOk || upstream == nullptr) {
    return OnPrefillFailed(
        stream, /*was_sent=*/true,
        "prefill status " + std::to_string(stream->answer.status));
  }
  m_reservations->NoteAnswer(stream->prefill);
  m_prefill_rate.Learn(stream->routed.request.prompt_tokens,
                       m_board->clock->Now() - stream->call_started);
  stream->kv = m_board->codec->DecodePrefill(*upstream, stream->answer_body);
  if (!stream->kv.has_value()) {
    return OnPrefillFailed(stream, /*was_sent=*/true, "prefill not understood");
  }
  StartDecode(stream);
}

void StreamCalls::OnPrefillFailed(Stream* stream, bool was_sent,
                                  std::string_view reason) {
  m_board->log->Write("prefill_failed", {{"request", stream->routed.request.id},
                                         {"engine", stream->prefill.Value()},
                                         {"reason", std::string(reason)}});
  if (was_sent) {
    m_reservations->NoteTrouble(stream->prefill);
  } else {
    m_reservations->NoteUnreachable(stream->prefill);
  }
  ReleaseTurn(stream);
  stream->avoid_prefill.insert(stream->prefill);
  if (!was_sent) --stream->prefill_calls;
  AskPrefill(stream);
}

void StreamCalls::OnDecodeEnd(Stream* stream) {
  const AnswerMetadata metadata =
      m_board->codec->DecodeAnswerMetadata(stream->answer);
  const RoutedRequest& routed = stream->routed;
  if (metadata.not_run) {
    return stream->kv_in_call.has_value()
               ? OnKvLost(stream)
               : OnDecodeRejected(stream, "engine rejected it");
  }
  if (stream->passing) {
    m_board->server->WriteStream(routed.exchange,
                                 stream->events.DrainPartial());
    m_board->server->EndStream(routed.exchange);
    if (!m_board->crashes.IsEmpty()) {
      m_board->crashes.RecordAnswered(routed.Fingerprint());
    }
    LogEnd(*stream);
    return Finish(stream);
  }
  if (stream->head_sent) return OnDecodeBroken(stream, "resume was refused");
  http::Head head = std::move(stream->answer);
  http::RemoveConnectionHeaders(&head.headers);
  m_board->server->Respond(routed.exchange, head, stream->answer_body);
  Finish(stream);
}

void StreamCalls::OnDecodeRejected(Stream* stream, std::string_view reason) {
  const TimePoint now = m_board->clock->Now();
  RoutedRequest& routed = stream->routed;
  m_board->log->Write("decode_rejected", {{"request", routed.request.id},
                                          {"engine", stream->decode.Value()},
                                          {"reason", std::string(reason)}});
  stream->avoid_decode.insert(stream->decode);
  DropTry(stream);
  const bool again = stream->decode_calls < kMaxDecodeCalls &&
                     now < routed.deadline &&
                     m_board->retry_budget.TrySpend(routed.service, now);
  if (again) return Reserve(stream);
  if (stream->may_have_run) {
    return FailUnknown(stream, ErrorKind::kUpstreamFailed, reason);
  }
  Reject(stream, Duration(0), reason);
}

void StreamCalls::OnKvLost(Stream* stream) {
  const RoutedRequest& routed = stream->routed;
  const TimePoint now = m_board->clock->Now();
  m_board->log->Write("kv_lost", {{"request", routed.request.id},
                                  {"prefill_engine", stream->prefill.Value()},
                                  {"engine", stream->decode.Value()}});
  // Memory was reserved, so the cause must be that the KV cache is lost.
  m_reservations->NoteTrouble(stream->prefill);
  stream->avoid_prefill.insert(stream->prefill);
  if (stream->decode_calls >= kMaxDecodeCalls || now >= routed.deadline ||
      !m_board->retry_budget.TrySpend(routed.service, now)) {
    return OnDecodeRejected(stream, "KV cache is gone");
  }
  // A short prompt is computed by the decode engine, which takes one call
  // instead of two. A long one would stall the other streams on that engine.
  if (LocalPrefillOf(*stream).allowed) return StartDecode(stream);
  AskPrefill(stream);
}

void StreamCalls::OnCallFailed(http::CallId id, http::CallFailure failure) {
  Stream* stream = Of(id);
  if (stream == nullptr) return;
  m_calls.Erase(id);
  stream->call = http::CallId();
  const bool not_sent = failure == http::CallFailure::kNotSent;
  if (stream->phase == Phase::kPrefilling) {
    return OnPrefillFailed(stream, !not_sent, "connection failed");
  }
  if (not_sent) {
    m_reservations->NoteUnreachable(stream->decode);
    m_board->crashes.RecordUnreachable(stream->decode, m_board->clock->Now());
    stream->kv = std::exchange(stream->kv_in_call, std::nullopt);
    return OnDecodeRejected(stream, "no connection");
  }
  m_reservations->NoteTrouble(stream->decode);
  m_board->crashes.RecordBrokenConnection(
      stream->routed.Fingerprint(), stream->decode, m_board->clock->Now());
  stream->may_have_run = true;
  OnDecodeBroken(stream, failure == http::CallFailure::kBroken
                             ? "connection broke"
                             : "malformed answer");
}

void StreamCalls::OnDecodeBroken(Stream* stream, std::string_view reason) {
  RoutedRequest& routed = stream->routed;
  const TimePoint now = m_board->clock->Now();
  stream->events.DiscardPartial();
  stream->avoid_decode.insert(stream->decode);
  DropTry(stream);
  const bool again = routed.route.kind == RequestKind::kResumableStream &&
                     stream->decode_calls < kMaxDecodeCalls &&
                     now < routed.deadline &&
                     !m_board->crashes.IsBarred(routed.Fingerprint()) &&
                     m_board->retry_budget.TrySpend(routed.service, now);
  if (!again) return FailUnknown(stream, ErrorKind::kUpstreamFailed, reason);
  stream->waiting_since = now;
  m_board->log->Write("stream_resumed", {{"request", routed.request.id},
                                         {"after_event", LastEvent(*stream)},
                                         {"reason", std::string(reason)}});
  Reserve(stream);
}

void StreamCalls::DropTry(Stream* stream) {
  if (stream->call.IsValid()) {
    m_board->connections->Cancel(stream->call);
    m_calls.Erase(stream->call);
    stream->call = http::CallId();
  }
  if (stream->kv.has_value()) {
    const KvLocation kv = *std::exchange(stream->kv, std::nullopt);
    m_board->connections->Start(
        kv.engine_address, m_board->codec->EncodeKvRelease(kv), &m_ignored, {});
  }
  ReleaseTurn(stream);
  m_reservations->Release(stream->attempt);
  m_attempts.Erase(stream->attempt);
  stream->attempt = AttemptId();
}

void StreamCalls::Reject(Stream* stream, Duration retry_after,
                         std::string_view reason) {
  DropTry(stream);
  // Jitter, so that callers that were refused together do not retry together.
  if (retry_after > Duration(0)) {
    retry_after = std::max(retry_after, m_board->random->Jitter(retry_after));
  }
  FailRequest(m_board, stream->routed, ErrorKind::kOverloaded, retry_after,
              reason);
  Finish(stream);
}

void StreamCalls::FailUnknown(Stream* stream, ErrorKind kind,
                              std::string_view reason) {
  DropTry(stream);
  const RoutedRequest& routed = stream->routed;
  if (!stream->head_sent) {
    FailRequest(m_board, routed, kind, Duration(0), reason);
  } else {
    m_board->log->Write("stream_broken_off",
                        {{"request", routed.request.id},
                         {"engine", stream->decode.Value()},
                         {"after_event", LastEvent(*stream)},
                         {"reason", std::string(reason)}});
    m_board->server->Abort(routed.exchange);
  }
  Finish(stream);
}

void StreamCalls::LogEnd(const Stream& stream) const {
  const auto milliseconds = [](Duration duration) -> int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
        .count();
  };
  const RoutedRequest& routed = stream.routed;
  const TimePoint now = m_board->clock->Now();
  m_board->log->Write(
      "stream_ended",
      {{"request", routed.request.id},
       {"route", routed.route.name.Value()},
       {"prefill_engine", stream.prefill.Value()},
       {"engine", stream.decode.Value()},
       {"reserve_ms", milliseconds(stream.reserved_at - routed.arrived_at)},
       {"prefill_ms", milliseconds(stream.prefilled_at - stream.reserved_at)},
       {"first_event_ms",
        milliseconds(stream.first_event_at - routed.arrived_at)},
       {"longest_gap_ms", milliseconds(stream.longest_gap)},
       {"events", stream.events.Count()},
       {"took_ms", milliseconds(now - routed.arrived_at)}});
}

bool StreamCalls::OnCallerDisconnected(http::ExchangeId id) {
  Stream* stream = m_streams.Find(id);
  if (stream == nullptr) return false;
  m_board->log->Write("caller_gone", {{"request", stream->routed.request.id},
                                      {"after_event", LastEvent(*stream)}});
  m_board->server->Abort(id);
  Finish(stream);
  return true;
}

void StreamCalls::Tick() {
  const TimePoint now = m_board->clock->Now();
  std::vector<http::ExchangeId> late;
  std::vector<http::CallId> slow_prefills;
  std::vector<http::CallId> silent;
  for (const auto& [id, stream] : m_streams) {
    if (now >= stream.routed.deadline) {
      late.push_back(id);
    } else if (stream.phase == Phase::kPrefilling &&
               now - stream.call_started > kPrefillTime) {
      slow_prefills.push_back(stream.call);
    } else if (stream.phase == Phase::kDecoding &&
               stream.routed.route.kind == RequestKind::kResumableStream &&
               now - stream.last_event_at > kSilenceToResume) {
      silent.push_back(stream.call);
    }
  }
  for (const http::CallId call : slow_prefills) {
    m_board->connections->Cancel(call);
    OnCallFailed(call, http::CallFailure::kBroken);
  }
  for (const http::CallId call : silent) {
    m_board->connections->Cancel(call);
    OnCallFailed(call, http::CallFailure::kBroken);
  }
  for (const http::ExchangeId id : late) {
    Stream* stream = m_streams.Find(id);
    if (stream == nullptr) continue;
    if (stream->phase == Phase::kDecoding || stream->may_have_run) {
      FailUnknown(stream, ErrorKind::kTimeout, "out of time");
    } else {
      Reject(stream, Duration(0), "out of time");
    }
  }
}

void StreamCalls::Finish(Stream* stream) {
  DropTry(stream);
  m_streams.Erase(stream->routed.exchange);
}

}  // namespace burdockhill

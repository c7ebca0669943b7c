#include "burdockhill/src/gateway/plain_requests.h"

#include <utility>

namespace burdockhill {

namespace {

// Limit for an answer, which is buffered until it is complete.
constexpr size_t kMaxAnswerBytes = size_t{8} << 20;
// Limit of connections that may fail before the request does. Retrying them is
// always safe, since nothing was sent.
constexpr int kMaxRefusedStarts = 4;
// An idempotent call without an answer is cancelled and retried on another
// upstream after this multiple of the route's latency target.
constexpr int kSilentTargets = 3;
constexpr int kServerErrors = 500;
// Calls that must not be repeated do not use keep-alive connections that were
// idle for longer: the upstream may have closed them unnoticed, and then it is
// unknown whether the call ran.
constexpr Duration kMaxIdleOnce = std::chrono::milliseconds(1500);
// A caller that has closed its sending side may still read. An idempotent call
// goes on for this time, since delivering its answer is worth more than the
// work that cancelling saves. The time has to stay below 500 ms: callers that
// have disconnected must not occupy upstreams for that long.
constexpr Duration kHalfCloseTime = std::chrono::milliseconds(250);
// Reading from the upstream pauses while the caller has more unread bytes, and
// goes on once the caller has read all.
constexpr size_t kMaxUnreadBytes = size_t{256} << 10;

http::CallPolicy PolicyFor(const Route& route) {
  http::CallPolicy policy;
  if (route.kind != RequestKind::kIdempotent)
    policy.max_idle_time = kMaxIdleOnce;
  return policy;
}

}  // namespace

void PlainRequests::Begin(RoutedRequest routed) {
  const http::ExchangeId id = routed.exchange;
  m_board->retry_budget.CountRequest(routed.service, routed.arrived_at);
  Request& request = m_requests.FindOrInsert(id);
  request.routed = std::move(routed);
  const RegisteredUpstream* upstream = Choose(request);
  if (upstream == nullptr) return GiveUp(&request, "no upstream has room");
  Send(&request, upstream);
}

PlainRequests::Request* PlainRequests::Of(http::CallId id) {
  const http::ExchangeId* exchange = m_calls.Find(id);
  return exchange == nullptr ? nullptr : m_requests.Find(*exchange);
}

const RegisteredUpstream* PlainRequests::Choose(const Request& request) const {
  return m_board->placement.Choose(
      m_board->upstreams.FindByService(request.routed.service), request.tried,
      m_board->clock->Now(), m_board->random);
}

void PlainRequests::Send(Request* request, const RegisteredUpstream* upstream) {
  const TimePoint now = m_board->clock->Now();
  RoutedRequest& routed = request->routed;
  UpstreamCall call;
  call.time_left = routed.TimeLeft(now);
  routed.last_upstream = upstream->name;
  request->tried.insert(upstream->name);
  request->call_started = now;
  request->answer_body.clear();
  request->call = m_board->connections->Start(
      upstream->address,
      m_board->codec->EncodeCall(routed.request, *upstream, call), this,
      PolicyFor(routed.route));
  m_board->placement.RecordCallStart(upstream->name);
  if (!request->call.IsValid()) {
    NoteEnd(request, CallResult::kUnreachable);
    FailRequest(m_board, routed, ErrorKind::kOverloaded, Duration(0),
                "no socket");
    return Finish(routed.exchange);
  }
  m_calls.FindOrInsert(request->call, routed.exchange);
}

bool PlainRequests::OnResponseHead(http::CallId id, const http::Head& head) {
  Request* request = Of(id);
  if (request == nullptr) return true;
  const AnswerMetadata metadata = m_board->codec->DecodeAnswerMetadata(head);
  if (metadata.request_id != request->routed.request.id) {
    m_board->log->Write("answer_skipped",
                        {{"request", request->routed.request.id},
                         {"answer_to", metadata.request_id},
                         {"upstream", request->routed.last_upstream.Value()}});
    return false;
  }
  request->answer = head;
  const bool stream = IsStream(request->routed.route.kind);
  if (stream && head.status == http::kOk && !metadata.not_run) {
    StartStream(request);
  }
  return true;
}

void PlainRequests::OnResponseBody(http::CallId id, std::string_view bytes) {
  Request* request = Of(id);
  if (request == nullptr) return;
  if (request->streaming) {
    const http::ExchangeId exchange = request->routed.exchange;
    m_board->server->WriteStream(exchange, bytes);
    if (m_board->server->PendingBytes(exchange) > kMaxUnreadBytes) {
      m_board->connections->SetReading(id, false);
    }
    return;
  }
  request->answer_body.append(bytes);
  if (request->answer_body.size() <= kMaxAnswerBytes) return;
  m_board->connections->Cancel(id);
  OnCallFailed(id, http::CallFailure::kMalformed);
}

void PlainRequests::OnResponseEnd(http::CallId id) {
  Request* request = Of(id);
  if (request == nullptr) return;
  m_calls.Erase(id);
  request->call = http::CallId();
  const AnswerMetadata metadata =
      m_board->codec->DecodeAnswerMetadata(request->answer);
  if (metadata.not_run) {
    NoteEnd(request, CallResult::kRejected);
    return Retry(request, LastCall::kRejected, "upstream rejected it");
  }
  const bool error = request->answer.status >= kServerErrors;
  NoteEnd(request, error ? CallResult::kErrorAnswer : CallResult::kAnswered);
  if (request->streaming) return EndStream(request);
  if (!error || request->caller_gone_at.has_value()) return Deliver(request);
  ++request->runs;
  const TimePoint now = m_board->clock->Now();
  const RegisteredUpstream* other = Choose(*request);
  if (other != nullptr && MayRunAgain(*request, LastCall::kMayHaveRun) &&
      m_board->retry_budget.TrySpend(request->routed.service, now)) {
    return Send(request, other);
  }
  Deliver(request);
}

void PlainRequests::OnCallFailed(http::CallId id, http::CallFailure failure) {
  Request* request = Of(id);
  if (request == nullptr) return;
  m_calls.Erase(id);
  request->call = http::CallId();
  const TimePoint now = m_board->clock->Now();
  const RoutedRequest& routed = request->routed;
  if (failure == http::CallFailure::kNotSent) {
    m_board->crashes.RecordUnreachable(routed.last_upstream, now);
    NoteEnd(request, CallResult::kUnreachable);
    ++request->refused_starts;
    return Retry(request, LastCall::kNotSent, "no connection");
  }
  m_board->crashes.RecordBrokenConnection(routed.Fingerprint(),
                                          routed.last_upstream, now);
  NoteEnd(request, CallResult::kFailed);
  Retry(request, LastCall::kMayHaveRun,
        failure == http::CallFailure::kBroken ? "connection broke"
                                              : "malformed answer");
}

void PlainRequests::NoteEnd(Request* request, CallResult result) {
  const TimePoint now = m_board->clock->Now();
  m_board->placement.RecordCallEnd(request->routed.last_upstream, result,
                                   now - request->call_started, now);
}

bool PlainRequests::MayRunAgain(const Request& request, LastCall last) const {
  if (m_board->clock->Now() >= request.routed.deadline) return false;
  if (IsBarred(request.routed)) return false;
  if (last != LastCall::kMayHaveRun) return true;
  return request.routed.route.kind == RequestKind::kIdempotent &&
         request.runs < request.routed.route.max_attempts;
}

void PlainRequests::Retry(Request* request, LastCall last,
                          std::string_view reason) {
  RoutedRequest& routed = request->routed;
  if (request->streaming || request->caller_gone_at.has_value()) {
    DropCaller(*request, reason);
    return Finish(routed.exchange);
  }
  if (last == LastCall::kMayHaveRun) ++request->runs;
  const TimePoint now = m_board->clock->Now();
  const RegisteredUpstream* other = Choose(*request);
  // Retrying a call that was not sent adds no load, so it needs no budget.
  const bool again = other != nullptr && MayRunAgain(*request, last) &&
                     request->refused_starts <= kMaxRefusedStarts &&
                     (last == LastCall::kNotSent ||
                      m_board->retry_budget.TrySpend(routed.service, now));
  if (again) {
    m_board->log->Write("request_retried",
                        {{"request", routed.request.id},
                         {"upstream", request->routed.last_upstream.Value()},
                         {"reason", std::string(reason)}});
    return Send(request, other);
  }
  GiveUp(request, reason);
}

void PlainRequests::GiveUp(Request* request, std::string_view reason) {
  const RoutedRequest& routed = request->routed;
  const bool registered =
      !m_board->upstreams.FindByService(routed.service).empty();
  const ErrorKind kind = request->runs > 0 ? ErrorKind::kUpstreamFailed
                         : registered      ? ErrorKind::kOverloaded
                                           : ErrorKind::kNoUpstream;
  FailRequest(m_board, routed, kind, Duration(0), reason);
  Finish(routed.exchange);
}

void PlainRequests::NoteAnswerTime(const RoutedRequest& routed) {
  const Duration took = m_board->clock->Now() - routed.arrived_at;
  m_board->metrics
      .HistogramFor("burdockhill_answer_seconds", LabelsFor(routed.service))
      ->Add(std::chrono::duration<double>(took).count());
}

bool PlainRequests::IsBarred(const RoutedRequest& routed) const {
  const PoisonRequestDetector& crashes = m_board->crashes;
  return !crashes.IsEmpty() && crashes.IsBarred(routed.Fingerprint());
}

void PlainRequests::Deliver(Request* request) {
  const RoutedRequest& routed = request->routed;
  if (!m_board->crashes.IsEmpty()) {
    m_board->crashes.RecordAnswered(routed.Fingerprint());
  }
  NoteAnswerTime(routed);
  http::Head head = std::move(request->answer);
  http::RemoveConnectionHeaders(&head.headers);
  m_board->server->Respond(routed.exchange, head, request->answer_body);
  Finish(routed.exchange);
}

void PlainRequests::StartStream(Request* request) {
  request->streaming = true;
  http::Head head = request->answer;
  http::RemoveConnectionHeaders(&head.headers);
  m_board->server->StartStream(request->routed.exchange, head);
}

void PlainRequests::EndStream(Request* request) {
  NoteAnswerTime(request->routed);
  m_board->server->EndStream(request->routed.exchange);
  Finish(request->routed.exchange);
}

void PlainRequests::DropCaller(const Request& request,
                               std::string_view reason) {
  m_board->log->Write("answer_dropped",
                      {{"request", request.routed.request.id},
                       {"upstream", request.routed.last_upstream.Value()},
                       {"caller_gone", request.caller_gone_at.has_value()},
                       {"reason", std::string(reason)}});
  m_board->server->Abort(request.routed.exchange);
}

bool PlainRequests::OnCallerGone(http::ExchangeId id) {
  Request* request = m_requests.Find(id);
  if (request == nullptr) return false;
  const RequestKind kind = request->routed.route.kind;
  const bool sent = m_board->connections->WasSent(request->call);
  // A non-idempotent call that was sent is not cancelled, even if the caller is
  // no longer reachable.
  const bool runs_on =
      sent && (kind == RequestKind::kNonIdempotent ||
               (!IsStream(kind) && m_board->server->IsOpen(id)));
  if (runs_on) {
    request->caller_gone_at = m_board->clock->Now();
    return true;
  }
  StopFor(request);
  return true;
}

void PlainRequests::StopFor(Request* request) {
  const http::CallId call = request->call;
  if (call.IsValid()) NoteEnd(request, CallResult::kRejected);
  m_board->connections->Cancel(call);
  m_calls.Erase(call);
  request->caller_gone_at = m_board->clock->Now();
  DropCaller(*request, "the caller has gone");
  Finish(request->routed.exchange);
}

void PlainRequests::OnCallerDrained(http::ExchangeId id) {
  const Request* request = m_requests.Find(id);
  if (request != nullptr) m_board->connections->SetReading(request->call, true);
}

void PlainRequests::Tick() {
  const TimePoint now = m_board->clock->Now();
  std::vector<http::ExchangeId> late;
  std::vector<http::ExchangeId> silent;
  std::vector<http::ExchangeId> gone;
  for (const auto& [id, request] : m_requests) {
    const Route& route = request.routed.route;
    if (now >= request.routed.deadline) {
      late.push_back(id);
    } else if (request.caller_gone_at.has_value()) {
      const bool over = now - *request.caller_gone_at >= kHalfCloseTime;
      if (over && route.kind == RequestKind::kIdempotent) gone.push_back(id);
    } else if (route.kind == RequestKind::kIdempotent &&
               request.answer_body.empty() &&
               request.runs + 1 < route.max_attempts &&
               now - request.call_started >
                   kSilentTargets * route.latency_target) {
      silent.push_back(id);
    }
  }
  for (const http::ExchangeId id : gone) StopFor(m_requests.Find(id));
  for (const http::ExchangeId id : silent) {
    Request* request = m_requests.Find(id);
    const http::CallId call = request->call;
    m_board->connections->Cancel(call);
    OnCallFailed(call, http::CallFailure::kBroken);
  }
  for (const http::ExchangeId id : late) {
    Request* request = m_requests.Find(id);
    if (request == nullptr) continue;
    const bool sent =
        request->runs > 0 || m_board->connections->WasSent(request->call);
    NoteEnd(request, CallResult::kFailed);
    m_board->connections->Cancel(request->call);
    m_calls.Erase(request->call);
    if (request->streaming) {
      DropCaller(*request, "out of time");
      Finish(id);
      continue;
    }
    FailRequest(m_board, request->routed,
                sent ? ErrorKind::kTimeout : ErrorKind::kDeadlineInfeasible,
                Duration(0), "out of time");
    Finish(id);
  }
}

void PlainRequests::Finish(http::ExchangeId id) { m_requests.Erase(id); }

}  // namespace burdockhill

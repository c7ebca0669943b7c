#include "burdockhill/src/gateway/plain_requests.h"

#include <algorithm>
#include <utility>

#include "burdockhill/src/gateway/stream_origin_recorder.h"
#include "burdockhill/src/gateway/take_up.h"

namespace burdockhill {

namespace {

// Limit for what is kept of a response until it is complete.
constexpr size_t kMaxResponseBytes = size_t{8} << 20;
// A successful response that declares more bytes is forwarded as it arrives. It
// takes no memory then, but cannot be replaced by that of another upstream.
constexpr uint64_t kLongResponseBytes = uint64_t{256} << 10;
// An idempotent call without a response is cancelled and retried on another
// upstream, if there is one, after this multiple of the route's latency target.
constexpr int kResponseTimeoutInTargets = 3;
constexpr int kFirstServerErrorStatus = 500;
constexpr int kFirstRedirectStatus = 300;
constexpr int kNoContentStatus = 204;
// Calls that must not be repeated do not use keep-alive connections that were
// idle for longer: the upstream may have closed them unnoticed, and then it is
// unknown whether the call ran.
constexpr Duration kSafeIdle = std::chrono::milliseconds(1500);
// A request waits for a permit for this part of its latency target; the rest is
// left for the call.
constexpr int kPermitWaitDivisor = 2;
// Reading from the upstream pauses when more bytes to the caller are queued
// here, and continues once the operating system has accepted all of them.
constexpr size_t kHighWatermarkBytes = size_t{256} << 10;

http::CallPolicy PolicyFor(const RoutedRequest& routed) {
  http::CallPolicy policy;
  policy.response_id = routed.request.id;
  if (!IsStream(routed.route.kind)) policy.max_kept_bytes = kMaxResponseBytes;
  if (routed.route.kind != RequestKind::kIdempotent) {
    policy.max_idle_time = kSafeIdle;
  }
  return policy;
}

}  // namespace

void PlainRequests::Begin(RoutedRequest routed) {
  const http::ExchangeId id = routed.exchange;
  m_board->retry_budget.CountRequest(routed.service, routed.arrived_at);
  Request& request = m_requests.FindOrInsert(id);
  request.routed = std::move(routed);
  Place(&request);
}

std::vector<const RegisteredUpstream*> PlainRequests::FindUpstreams(
    const Request& request) const {
  auto upstreams = m_board->upstreams.FindByService(request.routed.service);
  std::erase_if(upstreams, [&](const RegisteredUpstream* upstream) {
    return !FitsVersion(*upstream, request.routed.stream_version);
  });
  return upstreams;
}

Duration PlainRequests::MaxPermitWait(const Request& request) const {
  if (HasUnlimitedUpstream(request)) return Duration(0);
  const TimePoint now = m_board->clock->Now();
  const RoutedRequest& routed = request.routed;
  const Duration budget = routed.route.latency_target / kPermitWaitDivisor;
  return std::min(budget - (now - routed.arrived_at), routed.TimeLeft(now));
}

bool PlainRequests::HasUnlimitedUpstream(const Request& request) const {
  const TimePoint now = m_board->clock->Now();
  const auto upstreams = FindUpstreams(request);
  return std::any_of(
      upstreams.begin(), upstreams.end(),
      [&](const RegisteredUpstream* upstream) {
        return !upstream->leaving && !m_permits->IsNeeded(upstream->name) &&
               !m_board->pauses.IsPaused(*upstream, now) &&
               !request.tried_upstreams.contains(upstream->name) &&
               !m_board->placement.IsEjected(upstream->name, now);
      });
}

void PlainRequests::Place(Request* request) {
  const RegisteredUpstream* upstream = ChooseUpstream(*request);
  if (upstream == nullptr) {
    const Duration pause = UsefulPause(*request);
    if (pause == Duration(0)) return EndUnplaced(request);
    request->paused_until = m_board->clock->Now() + pause;
    return;
  }
  if (!m_permits->IsNeeded(upstream->name)) {
    return StartPlacedCall(request, upstream);
  }
  request->next_upstream = upstream->name;
  request->permit =
      m_permits->Request(upstream->name, MaxPermitWait(*request), this);
  m_exchanges_by_permit.FindOrInsert(request->permit, request->routed.exchange);
}

Duration PlainRequests::UsefulPause(const Request& request) const {
  if (request.has_failed_response) return Duration(0);
  std::vector<const RegisteredUpstream*> untried;
  for (const RegisteredUpstream* upstream : FindUpstreams(request)) {
    if (!request.tried_upstreams.contains(upstream->name)) {
      untried.push_back(upstream);
    }
  }
  const Duration pause =
      m_board->pauses.TimeUntilAvailable(untried, m_board->clock->Now());
  return pause <= MaxPermitWait(request) ? pause : Duration(0);
}

void PlainRequests::StartPlacedCall(Request* request,
                                    const RegisteredUpstream* upstream) {
  const RoutedRequest& routed = request->routed;
  if (IsTooLateToCall(*request)) {
    request->retry_reason = "would outlast this process";
    return EndUnplaced(request);
  }
  if (std::exchange(request->needs_retry_budget, false) &&
      !PayForRetries(m_board, routed, 1)) {
    return EndUnplaced(request);
  }
  if (!request->retry_reason.empty()) {
    m_board->log->Write("request_retried",
                        {{"request", routed.request.id},
                         {"upstream", routed.last_upstream.Value()},
                         {"reason", request->retry_reason}});
  }
  StartCall(request, upstream);
}

bool PlainRequests::IsTooLateToCall(const Request& request) const {
  if (m_board->shutdown_deadline == TimePoint()) return false;
  const Duration call_time =
      request.routed.route.latency_target / kPermitWaitDivisor;
  return request.routed.deadline == m_board->shutdown_deadline &&
         request.routed.TimeLeft(m_board->clock->Now()) < call_time;
}

void PlainRequests::EndUnplaced(Request* request) {
  if (request->has_failed_response) return Deliver(request);
  std::string_view reason = "no upstream has room";
  if (!request->retry_reason.empty()) reason = request->retry_reason;
  GiveUp(request, reason);
}

void PlainRequests::EndBarred(Request* request) {
  if (request->has_failed_response || request->possible_runs > 0) {
    return EndUnplaced(request);
  }
  FailRequest(m_board, request->routed, ErrorKind::kBarred, Duration(0),
              "upstreams that ran it have crashed");
  FinishRequest(request->routed.exchange);
}

PlainRequests::Request* PlainRequests::TakePermitRequest(PermitId id) {
  const http::ExchangeId* exchange = m_exchanges_by_permit.Find(id);
  Request* request = exchange == nullptr ? nullptr : m_requests.Find(*exchange);
  m_exchanges_by_permit.Erase(id);
  if (request != nullptr) request->permit = PermitId();
  return request;
}

void PlainRequests::OnPermit(PermitId id) {
  Request* request = TakePermitRequest(id);
  if (request == nullptr) return;
  if (IsBarred(m_board, request->routed)) return EndBarred(request);
  const RegisteredUpstream* upstream =
      m_board->upstreams.Find(request->next_upstream);
  const bool usable =
      upstream != nullptr && !upstream->leaving &&
      upstream->service == request->routed.service &&
      FitsVersion(*upstream, request->routed.stream_version) &&
      !m_board->pauses.IsPaused(*upstream, m_board->clock->Now()) &&
      !m_board->upstreams.IsSuperseded(*upstream);
  if (usable) return StartPlacedCall(request, upstream);
  request->exhausted_upstreams.insert(request->next_upstream);
  Place(request);
}

void PlainRequests::OnNoPermit(PermitId id) {
  Request* request = TakePermitRequest(id);
  if (request == nullptr) return;
  request->exhausted_upstreams.insert(request->next_upstream);
  Place(request);
}

PlainRequests::Request* PlainRequests::FindRequest(http::CallId id) {
  const http::ExchangeId* exchange = m_exchanges_by_call.Find(id);
  return exchange == nullptr ? nullptr : m_requests.Find(*exchange);
}

const RegisteredUpstream* PlainRequests::ChooseUpstream(
    const Request& request) const {
  const ServiceName& service = request.routed.service;
  const TimePoint now = m_board->clock->Now();
  std::set<UpstreamName> excluded = m_permits->Exhausted(service);
  excluded.insert(request.tried_upstreams.begin(),
                  request.tried_upstreams.end());
  excluded.insert(request.exhausted_upstreams.begin(),
                  request.exhausted_upstreams.end());
  const auto upstreams = FindUpstreams(request);
  for (const RegisteredUpstream* upstream : upstreams) {
    if (m_board->pauses.IsPaused(*upstream, now)) {
      excluded.insert(upstream->name);
    }
  }
  return m_board->placement.Choose(upstreams, excluded, now, m_board->random);
}

void PlainRequests::StartCall(Request* request,
                              const RegisteredUpstream* upstream) {
  const TimePoint now = m_board->clock->Now();
  RoutedRequest& routed = request->routed;
  UpstreamCall call;
  call.time_left = routed.TimeLeft(now);
  routed.last_upstream = upstream->name;
  routed.last_upstream_started_at_ms = upstream->started_at_ms;
  request->tried_upstreams.insert(upstream->name);
  request->call_started_at = now;
  request->called_version = upstream->version;
  request->call = m_board->connections->Start(
      upstream->address,
      m_board->codec->EncodeCall(routed.request, *upstream, call), this,
      PolicyFor(routed));
  m_board->placement.RecordCallStart(upstream->name, now);
  CountLimitedCall(m_board, routed, upstream->name,
                   request->tried_upstreams.size() > 1);
  if (!request->call.IsValid()) {
    RecordCallEnd(request, CallResult::kUnreachable);
    m_board->log->Write("no_socket", {{"request", routed.request.id},
                                      {"upstream", upstream->name.Value()}});
    return EndUnplaced(request);
  }
  if (request->possible_runs > 0) ChargeFurtherRun(m_board, &routed);
  std::string().swap(request->response_body);
  request->failed_response_charge.Close();
  request->has_failed_response = false;
  m_exchanges_by_call.FindOrInsert(request->call, routed.exchange);
}

bool PlainRequests::OnResponseHead(http::CallId id, const http::Head& head) {
  Request* request = FindRequest(id);
  if (request == nullptr) return true;
  const ResponseMetadata metadata =
      m_board->codec->DecodeResponseMetadata(head);
  if (metadata.request_id != request->routed.request.id) {
    m_board->log->Write("answer_skipped",
                        {{"request", request->routed.request.id},
                         {"answer_to", metadata.request_id},
                         {"upstream", request->routed.last_upstream.Value()}});
    return false;
  }
  RecordStatements(m_board, request->routed, head, metadata,
                   request->call_started_at);
  request->response_head = head;
  if (metadata.not_run) return true;
  if (!IsStream(request->routed.route.kind)) {
    if (IsLong(*request)) StartForwarding(request);
    return true;
  }
  if (head.status != http::kOk) return true;
  if (request->routed.stream_version.has_value() &&
      HasRestarted(*m_board, request->routed, request->called_version)) {
    m_board->connections->Cancel(id);
    m_exchanges_by_call.Erase(id);
    request->call = http::CallId();
    RecordCallEnd(request, CallResult::kFailed);
    RetryOrGiveUp(request, CallOutcome::kMayHaveRun,
                  "upstream may have restarted");
    return true;
  }
  if (http::IsEventStream(head)) request->events.emplace();
  StartForwarding(request);
  return true;
}

size_t PlainRequests::OnResponseBody(http::CallId id, std::string_view bytes) {
  Request* request = FindRequest(id);
  if (request == nullptr) return 0;
  if (request->is_forwarding) return ForwardBody(request, bytes);
  request->response_body.append(bytes);
  return request->response_body.size();
}

size_t PlainRequests::MaxOutputBytes(const Request& request) const {
  const BufferBudget& buffers = m_board->connections->Buffers();
  // A long response is taken in time also if its caller reads slowly, as long
  // as there is memory.
  const bool is_stream = IsStream(request.routed.route.kind);
  const bool is_short_of_memory = buffers.TotalBytes() > buffers.Limit() / 2;
  return is_stream || is_short_of_memory ? kHighWatermarkBytes
                                         : kMaxResponseBytes;
}

size_t PlainRequests::ForwardBody(Request* request, std::string_view bytes) {
  const http::ExchangeId exchange = request->routed.exchange;
  size_t kept = 0;
  if (request->events.has_value()) {
    const bool first = request->events->Count() == 0;
    const std::string complete_events = request->events->Append(bytes);
    if (first && request->events->Count() > 0) {
      RecordFirstEvent(*m_board, request->routed, request->called_version,
                       m_origins);
    }
    m_board->server->WriteStream(exchange, complete_events);
    kept = request->events->PartialSize();
  } else {
    m_board->server->WriteStream(exchange, bytes);
  }
  if (m_board->server->PendingBytes(exchange) > MaxOutputBytes(*request)) {
    m_board->connections->SetReading(request->call, false);
  }
  return kept;
}

void PlainRequests::OnResponseEnd(http::CallId id) {
  Request* request = FindRequest(id);
  if (request == nullptr) return;
  if (request->is_forwarding && !IsStreamComplete(*request)) {
    return OnCallFailed(id, http::CallFailure::kBroken);
  }
  m_exchanges_by_call.Erase(id);
  request->call = http::CallId();
  const ResponseMetadata metadata =
      m_board->codec->DecodeResponseMetadata(request->response_head);
  if (metadata.not_run) {
    RecordCallEnd(request, CallResult::kRejected);
    return RetryOrGiveUp(request, CallOutcome::kRejected,
                         "upstream rejected it");
  }
  const bool error = request->response_head.status >= kFirstServerErrorStatus;
  RecordCallEnd(request,
                error ? CallResult::kServerError : CallResult::kCompleted);
  if (request->is_forwarding) return EndForwarding(request);
  if (!error || request->caller_is_gone) return Deliver(request);
  ++request->possible_runs;
  if (!MayRetry(*request, CallOutcome::kMayHaveRun)) return Deliver(request);
  KeepFailedResponse(request);
  request->needs_retry_budget = true;
  request->retry_reason = "upstream failed";
  Place(request);
}

void PlainRequests::KeepFailedResponse(Request* request) {
  const RoutedRequest& routed = request->routed;
  request->has_failed_response = true;
  request->failed_response_charge.Open(
      &m_board->connections->Buffers(), BufferKind::kAnswer,
      routed.last_upstream.Value(), this, BufferKey(routed.exchange.Value()));
  request->failed_response_charge.SetBytes(request->response_body.size());
}

void PlainRequests::OnBufferEvicted(BufferKey key) {
  Request* request = m_requests.Find(http::ExchangeId(key.Value()));
  if (request != nullptr) Deliver(request);
}

void PlainRequests::OnCallFailed(http::CallId id, http::CallFailure failure) {
  Request* request = FindRequest(id);
  if (request == nullptr) return;
  m_exchanges_by_call.Erase(id);
  request->call = http::CallId();
  const TimePoint now = m_board->clock->Now();
  const RoutedRequest& routed = request->routed;
  if (failure == http::CallFailure::kNotSent) {
    m_board->poison_detector.RecordUnreachable(routed.last_upstream, now);
    RecordCallEnd(request, CallResult::kUnreachable);
    ++request->failed_connects;
    return RetryOrGiveUp(request, CallOutcome::kNotSent, "no connection");
  }
  // An upstream that sends without end has not crashed.
  if (failure != http::CallFailure::kTooLarge) {
    m_board->poison_detector.RecordBrokenConnection(routed.Fingerprint(),
                                                    routed.last_upstream, now);
  }
  RecordCallEnd(request, CallResult::kFailed);
  RetryOrGiveUp(request, CallOutcome::kMayHaveRun, DescribeFailure(failure));
}

void PlainRequests::RecordCallEnd(Request* request, CallResult result) {
  const TimePoint now = m_board->clock->Now();
  m_board->placement.RecordCallEnd(request->routed.last_upstream, result,
                                   now - request->call_started_at, now);
}

void PlainRequests::RecordResponseTime(const RoutedRequest& routed) {
  const Duration latency = m_board->clock->Now() - routed.arrived_at;
  m_board->metrics
      .HistogramFor("burdockhill_answer_seconds", LabelsFor(routed.service))
      ->Add(std::chrono::duration<double>(latency).count());
}

void PlainRequests::Deliver(Request* request) {
  const RoutedRequest& routed = request->routed;
  if (!m_board->poison_detector.IsEmpty()) {
    m_board->poison_detector.RecordCompleteResponse(routed.Fingerprint());
  }
  RecordResponseTime(routed);
  http::Head head = std::move(request->response_head);
  http::RemoveConnectionHeaders(&head.headers);
  m_board->server->Respond(routed.exchange, head, request->response_body);
  FinishRequest(routed.exchange);
}

bool PlainRequests::IsLong(const Request& request) {
  const http::Head& head = request.response_head;
  return head.status >= http::kOk && head.status < kFirstRedirectStatus &&
         head.status != kNoContentStatus &&
         request.routed.request.head.method != "HEAD" &&
         head.content_length.value_or(0) > kLongResponseBytes;
}

void PlainRequests::StartForwarding(Request* request) {
  request->is_forwarding = true;
  http::Head head = request->response_head;
  http::RemoveConnectionHeaders(&head.headers);
  std::optional<size_t> body_size;
  if (!IsStream(request->routed.route.kind)) body_size = head.content_length;
  m_board->server->StartStream(request->routed.exchange, head, body_size);
}

bool PlainRequests::IsStreamComplete(const Request& request) {
  return !request.events.has_value() ||
         request.events->EndsStream(FramingOf(request.response_head));
}

void PlainRequests::EndForwarding(Request* request) {
  if (!m_board->poison_detector.IsEmpty()) {
    m_board->poison_detector.RecordCompleteResponse(
        request->routed.Fingerprint());
  }
  RecordResponseTime(request->routed);
  if (request->events.has_value()) {
    m_board->server->WriteStream(request->routed.exchange,
                                 request->events->DrainPartial());
  }
  m_board->server->EndStream(request->routed.exchange);
  FinishRequest(request->routed.exchange);
}

void PlainRequests::AbortExchange(const Request& request,
                                  std::string_view reason) {
  m_board->log->Write("answer_dropped",
                      {{"request", request.routed.request.id},
                       {"upstream", request.routed.last_upstream.Value()},
                       {"caller_gone", request.caller_is_gone},
                       {"reason", std::string(reason)}});
  CutResponse(m_board, request.routed, reason);
}

bool PlainRequests::OnCallerDisconnected(http::ExchangeId id) {
  Request* request = m_requests.Find(id);
  if (request == nullptr) return false;
  // A non-idempotent call that was sent is never cancelled.
  const bool must_complete =
      request->routed.route.kind == RequestKind::kNonIdempotent &&
      m_board->connections->WasSent(request->call);
  if (must_complete) {
    // The rest of a long response is read for nobody.
    m_board->connections->SetReading(request->call, true);
    request->caller_is_gone = true;
    return true;
  }
  Abandon(request);
  return true;
}

void PlainRequests::Abandon(Request* request) {
  const http::CallId call = request->call;
  if (call.IsValid()) RecordCallEnd(request, CallResult::kCancelled);
  m_board->connections->Cancel(call);
  m_exchanges_by_call.Erase(call);
  request->caller_is_gone = true;
  AbortExchange(*request, "the caller has gone");
  FinishRequest(request->routed.exchange);
}

void PlainRequests::OnOutputDrained(http::ExchangeId id) {
  const Request* request = m_requests.Find(id);
  if (request != nullptr) m_board->connections->SetReading(request->call, true);
}

void PlainRequests::Tick() {
  const TimePoint now = m_board->clock->Now();
  std::vector<http::ExchangeId> timed_out;
  std::vector<http::ExchangeId> unresponsive;
  std::vector<http::ExchangeId> resumed;
  // The process ends soon, and each caller gets an answer before.
  const bool stopping = m_board->shutdown_deadline != TimePoint() &&
                        now >= m_board->shutdown_deadline;
  for (const auto& [id, request] : m_requests) {
    const Route& route = request.routed.route;
    if (stopping || now >= request.routed.deadline) {
      timed_out.push_back(id);
    } else if (request.paused_until != TimePoint() &&
               now >= request.paused_until) {
      resumed.push_back(id);
    } else if (route.kind == RequestKind::kIdempotent &&
               request.call.IsValid() && request.response_body.empty() &&
               !request.is_forwarding &&
               request.possible_runs + 1 < route.max_attempts &&
               now - request.call_started_at >
                   kResponseTimeoutInTargets * route.latency_target) {
      unresponsive.push_back(id);
    }
  }
  for (const http::ExchangeId id : resumed) {
    Request* request = m_requests.Find(id);
    request->paused_until = TimePoint();
    Place(request);
  }
  for (const http::ExchangeId id : unresponsive) {
    Request* request = m_requests.Find(id);
    if (!HasNextUpstream(*request)) continue;
    m_board->connections->Cancel(request->call);
    m_exchanges_by_call.Erase(request->call);
    request->call = http::CallId();
    RecordCallEnd(request, CallResult::kFailed);
    RetryOrGiveUp(request, CallOutcome::kMayHaveRun, "upstream is silent");
  }
  for (const http::ExchangeId id : timed_out) {
    Request* request = m_requests.Find(id);
    if (request == nullptr) continue;
    if (request->has_failed_response) {
      Deliver(request);
      continue;
    }
    const bool sent = request->possible_runs > 0 ||
                      m_board->connections->WasSent(request->call);
    if (request->call.IsValid()) RecordCallEnd(request, CallResult::kFailed);
    m_board->connections->Cancel(request->call);
    m_exchanges_by_call.Erase(request->call);
    if (request->is_forwarding) {
      AbortExchange(*request, "out of time");
      FinishRequest(id);
      continue;
    }
    FailRequest(m_board, request->routed,
                sent ? ErrorKind::kTimeout : ErrorKind::kDeadlineInfeasible,
                Duration(0), "out of time");
    FinishRequest(id);
  }
}

void PlainRequests::LimitDeadlines(TimePoint latest) {
  for (auto& [id, request] : m_requests) {
    request.routed.deadline = std::min(request.routed.deadline, latest);
  }
}

void PlainRequests::FinishRequest(http::ExchangeId id) {
  if (const Request* request = m_requests.Find(id)) {
    m_permits->Cancel(request->permit);
    m_exchanges_by_permit.Erase(request->permit);
  }
  m_requests.Erase(id);
}

}  // namespace burdockhill

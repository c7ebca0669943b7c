#include "burdockhill/src/gateway/engine_agent.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// The engine is on the same VM, so polling costs little; one engine step takes
// a few milliseconds.
constexpr Duration kPollInterval = std::chrono::milliseconds(60);
constexpr Duration kPollTimeout = std::chrono::milliseconds(250);
// The engine counts as lost if its last report is older.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(400);
constexpr Duration kOrderTimeout = std::chrono::milliseconds(1500);
// Minimum time between two orders, whatever the outcome of the first.
constexpr Duration kMinOrderInterval = std::chrono::milliseconds(2000);
// Minimum and maximum time between load reports.
constexpr Duration kMinLoadReportInterval = std::chrono::milliseconds(100);
constexpr Duration kMaxLoadReportInterval = std::chrono::milliseconds(500);
// A change of the load by this many tokens is reported without waiting for the
// maximum time.
constexpr int64_t kUrgentLoadChangeTokens = 2000;
// The same of a rate by this factor, or of one that was not measured before.
// Smaller changes are those from one prompt, or one step of the engine, to the
// next.
constexpr double kUrgentRateChange = 1.5;
// The same of the expected wait for decode memory, if it is also a quarter of
// the wait. Latency targets are several times longer.
constexpr Duration kUrgentWaitChange = std::chrono::milliseconds(100);
constexpr int64_t kUrgentWaitShare = 4;
// Time between two computations of that wait.
constexpr Duration kWaitInterval = std::chrono::milliseconds(50);

int64_t PerThousandSeconds(double per_second) {
  return static_cast<int64_t>(1000 * per_second);
}

bool IsUrgentChange(double before, double now) {
  return now > kUrgentRateChange * before || kUrgentRateChange * now < before;
}

bool IsUrgentChange(Duration before, Duration now) {
  const Duration change = before < now ? now - before : before - now;
  return change >= kUrgentWaitChange &&
         kUrgentWaitShare * change >= std::max(before, now);
}

// Zero of no values.
double Median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

bool EngineAgent::EngineCall::OnResponseHead(http::CallId /*id*/,
                                             const http::Head& head) {
  status = head.status;
  return true;
}

size_t EngineAgent::EngineCall::OnResponseBody(http::CallId /*id*/,
                                               std::string_view bytes) {
  body.append(bytes);
  return body.size();
}

void EngineAgent::EngineCall::OnResponseEnd(http::CallId /*id*/) {
  state = State::kAnswered;
}

void EngineAgent::EngineCall::OnCallFailed(http::CallId /*id*/,
                                           http::CallFailure /*failure*/) {
  state = State::kFailed;
  std::string().swap(body);
}

EngineAgent::EngineAgent(const Options& options, const EngineCodec* codec,
                         UpstreamDirectory* directory,
                         http::ConnectionPool* pool, PeerLink* peers,
                         const Clock* clock, EventLog* log)
    : m_options(options),
      m_codec(codec),
      m_directory(directory),
      m_pool(pool),
      m_peers(peers),
      m_clock(clock),
      m_log(log) {}

const RegisteredUpstream* EngineAgent::FindRegistration() const {
  const RegisteredUpstream* best = nullptr;
  for (const auto& [name, upstream] : m_directory->All()) {
    if (upstream.address != m_options.engine_address) continue;
    if (best == nullptr || upstream.revision > best->revision) best = &upstream;
  }
  return best;
}

void EngineAgent::Tick() {
  const TimePoint now = m_clock->Now();
  m_directory->Expire(now);
  ExpireCall(&m_poll_call, now);
  ExpireCall(&m_order_call, now);
  PollEngine(now);
  BalanceRoles(now);
  SendDecisions(now);
  m_origins.Tick();
  ReportLoad(now);
}

void EngineAgent::ExpireCall(EngineCall* call, TimePoint now) {
  if (call->state != EngineCall::State::kWaiting || now < call->deadline) {
    return;
  }
  m_pool->Cancel(call->id);
  call->state = EngineCall::State::kFailed;
}

bool EngineAgent::StartCall(EngineCall* call, std::string request,
                            Duration timeout, TimePoint now,
                            const http::CallPolicy& policy) {
  std::string().swap(call->body);
  call->status = 0;
  call->deadline = now + timeout;
  call->state = EngineCall::State::kWaiting;
  call->id =
      m_pool->Start(m_options.engine_address, std::move(request), call, policy);
  if (!call->id.IsValid()) call->state = EngineCall::State::kFailed;
  return call->id.IsValid();
}

void EngineAgent::PollEngine(TimePoint now) {
  if (m_poll_call.state == EngineCall::State::kAnswered) {
    m_poll_call.state = EngineCall::State::kIdle;
    const auto report = m_poll_call.status == http::kOk
                            ? m_codec->DecodeReport(m_poll_call.body)
                            : std::nullopt;
    if (report.has_value()) ApplyReport(*report, now);
  }
  if (m_poll_call.state != EngineCall::State::kWaiting &&
      now >= m_next_poll_at) {
    m_next_poll_at = now + kPollInterval;
    StartCall(&m_poll_call,
              m_codec->EncodeReportRequest(m_options.engine_address),
              kPollTimeout, now, {});
  }
  if (m_report.has_value() && now - m_reported_at > kMaxReportAge) {
    m_log->Write("engine_lost", {{"engine", m_options.engine_address}});
    m_report.reset();
    m_ledger = KvCacheLedger();
  }
}

void EngineAgent::ApplyReport(const EngineReport& report, TimePoint now) {
  if (!m_report.has_value()) {
    m_log->Write("engine_found",
                 {{"engine", m_options.engine_address},
                  {"decodes", report.role == EngineRole::kDecode},
                  {"memory", report.kv_capacity.Value()}});
  }
  m_output_rate.AddReport(report.runs, now);
  m_report = report;
  m_reported_at = now;
  const RegisteredUpstream* registration = FindRegistration();
  m_ledger.SetCapacity(report.kv_capacity,
                       registration == nullptr ? 0 : registration->slots);
  m_ledger.Reconcile(report.runs, now);
  m_decode_admission.SetOutputRates(
      m_output_rate.PresentTokensPerSecond(now),
      m_output_rate.TokensPerSecondAt(
          static_cast<double>(m_ledger.RunCount())));
}

void EngineAgent::BalanceRoles(TimePoint now) {
  if (m_order_call.state == EngineCall::State::kAnswered ||
      m_order_call.state == EngineCall::State::kFailed) {
    m_log->Write("order_ended", {{"engine", m_options.engine_address},
                                 {"status", int64_t{m_order_call.status}}});
    m_order_call.state = EngineCall::State::kIdle;
  }
  const RegisteredUpstream* registration = FindRegistration();
  if (registration == nullptr || !m_report.has_value()) return;
  const std::optional<EngineRole> role =
      m_balance.DecideRole(*m_directory, registration->name, now);
  const bool due = role.has_value() && now >= m_next_order_at &&
                   m_order_call.state == EngineCall::State::kIdle;
  // The engine's report is newer than its registration, so the report decides.
  if (!due || m_report->is_changing_role || m_report->role == *role) return;
  m_next_order_at = now + kMinOrderInterval;
  const PoolRates rates = MedianPoolRates();
  m_log->Write(
      "order_given",
      {{"engine", registration->name.Value()},
       {"role",
        std::string(*role == EngineRole::kDecode ? "decode" : "prefill")},
       {"prefill_rate_per_1000_s", PerThousandSeconds(rates.prefill)},
       {"decode_rate_per_1000_s", PerThousandSeconds(rates.decode)},
       {"orders_accepted", static_cast<int64_t>(m_report->orders_accepted)}});
  // Answers of the engine name no call, so that a late copy of one could be
  // taken for the answer to another on a connection that both use.
  http::CallPolicy policy;
  policy.lane = "orders";
  policy.allows_reuse = false;
  StartCall(&m_order_call,
            m_codec->EncodeRoleOrder(*registration, *role,
                                     m_report->orders_accepted, m_options.vm),
            kOrderTimeout, now, policy);
}

bool EngineAgent::IsDecodeEngine() const {
  return m_report.has_value() && !m_report->is_changing_role &&
         m_report->role == EngineRole::kDecode;
}

bool EngineAgent::IsPrefillEngine() const {
  return m_report.has_value() && !m_report->is_changing_role &&
         m_report->role == EngineRole::kPrefill;
}

void EngineAgent::SendDecisions(TimePoint now) {
  m_prefill_admission.ExpireGrants(now);
  SendQueueDecisions(&m_decode_queue,
                     IsDecodeEngine() ? &m_decode_admission : nullptr, now);
  SendQueueDecisions(&m_prefill_queue, AdmissionForPrompts(), now);
}

EngineAdmission* EngineAgent::AdmissionForPrompts() {
  if (IsPrefillEngine()) return &m_prefill_admission;
  return IsDecodeEngine() ? &m_local_prefill_admission : nullptr;
}

void EngineAgent::SendQueueDecisions(ReservationQueue* queue,
                                     EngineAdmission* admission,
                                     TimePoint now) {
  for (const ReservationQueue::Decision& decision :
       queue->Decide(admission, now)) {
    const Reservation& reservation = decision.reservation;
    if (decision.granted) {
      m_peers->Send(
          reservation.entry,
          ReserveGranted{reservation.attempt, EngineName(m_options.vm.Value()),
                         m_report->started_at_ms});
      continue;
    }
    m_log->Write("reservation_refused",
                 {{"entry", reservation.entry.Value()},
                  {"team", reservation.team.Value()},
                  {"priority", int64_t{reservation.priority}},
                  {"prefill", queue == &m_prefill_queue},
                  {"open", admission != nullptr},
                  {"prompt", reservation.prompt.Value()},
                  {"expected_peak", m_ledger.ExpectedPeak().Value()},
                  {"capacity", m_ledger.Capacity().Value()},
                  {"runs", static_cast<int64_t>(m_ledger.RunCount())},
                  {"waiting", static_cast<int64_t>(queue->WaitingCount())},
                  {"report_age_us", (now - m_reported_at).count()},
                  {"time_left_us", (reservation.queue_deadline - now).count()},
                  {"retry_after_us", decision.retry_after.count()}});
    AttemptRefused refusal;
    refusal.attempt = reservation.attempt;
    refusal.kind =
        admission == nullptr ? ErrorKind::kNoUpstream : ErrorKind::kOverloaded;
    refusal.retry_after = decision.retry_after;
    m_peers->Send(reservation.entry, refusal);
  }
}

Tokens EngineAgent::LoadTokens() const {
  return IsPrefillEngine()
             ? m_prefill_admission.GrantedPromptTokens() +
                   m_prefill_queue.WaitingPromptTokens()
             : m_ledger.ExpectedPeak() + m_decode_queue.WaitingPromptTokens();
}

double EngineAgent::ServiceRate() const {
  if (IsPrefillEngine()) return m_prefill_admission.RequestsPerSecond();
  return IsDecodeEngine()
             ? m_ledger.RequestsPerSecond(
                   m_output_rate.TokensPerSecondAt(m_ledger.RunsAtFullLoad()))
             : 0;
}

EngineAgent::EngineRates EngineAgent::PresentRates(TimePoint now) const {
  EngineRates rates;
  if (IsPrefillEngine()) {
    rates.prompt = m_prefill_admission.PromptTokensPerSecond(now);
  } else if (IsDecodeEngine()) {
    rates.output = m_output_rate.PresentTokensPerSecond(now);
  }
  return rates;
}

PoolRates EngineAgent::MedianPoolRates() const {
  std::vector<double> prefill;
  std::vector<double> decode;
  for (const auto& [entry, rates] : m_pool_rates) {
    prefill.push_back(rates.prefill);
    decode.push_back(rates.decode);
  }
  return {Median(std::move(prefill)), Median(std::move(decode))};
}

void EngineAgent::UpdateDecodeWait(TimePoint now) {
  if (now < m_next_wait_at) return;
  m_next_wait_at = now + kWaitInterval;
  m_decode_wait = IsDecodeEngine() ? m_decode_admission.TypicalWait(
                                         m_decode_queue.Waiting(), now)
                                   : Duration(0);
}

void EngineAgent::ReportLoad(TimePoint now) {
  const Tokens load_tokens = LoadTokens();
  const int64_t change = std::abs((load_tokens - m_last_reported_load).Value());
  const EngineRates rates = PresentRates(now);
  UpdateDecodeWait(now);
  const bool is_urgent =
      change >= kUrgentLoadChangeTokens ||
      IsUrgentChange(m_last_reported_rates.prompt, rates.prompt) ||
      IsUrgentChange(m_last_reported_rates.output, rates.output) ||
      IsUrgentChange(m_last_reported_wait, m_decode_wait);
  const TimePoint due = is_urgent
                            ? m_next_load_report_at
                            : m_next_load_report_at + kMaxLoadReportInterval -
                                  kMinLoadReportInterval;
  if (now < due) return;
  m_next_load_report_at = now + kMinLoadReportInterval;
  m_last_reported_load = load_tokens;
  m_last_reported_rates = rates;
  m_last_reported_wait = m_decode_wait;
  for (const VmName& entry : m_entries) SendLoadReport(entry);
  m_origins.SendCopies();
}

void EngineAgent::SendLoadReport(const VmName& entry) {
  LoadReport report;
  EngineLoad load;
  load.healthy = m_report.has_value();
  if (m_report.has_value()) {
    load.role = m_report->role;
    load.running = static_cast<uint32_t>(m_report->running_requests);
    load.waiting = static_cast<uint32_t>(m_report->waiting_requests);
    const int64_t free = (m_ledger.Capacity() - LoadTokens()).Value();
    load.free_pieces =
        Pieces(std::max<int64_t>(free, 0) / kReportedPieceSize.Value());
    if (IsPrefillEngine()) load.queued_prefill = LoadTokens();
  }
  report.engines.push_back(load);
  report.service_rate = ServiceRate();
  const EngineRates rates = PresentRates(m_clock->Now());
  report.prompt_rate = rates.prompt;
  report.output_rate = rates.output;
  report.decode_wait = m_decode_wait;
  m_peers->Send(entry, report);
}

void EngineAgent::OnPeerUp(const Hello& peer) {
  m_entries.insert(peer.vm);
  m_origins.OnEntryUp(peer);
  m_log->Write("entry_up", {{"entry", peer.vm.Value()}});
  SendLoadReport(peer.vm);
}

void EngineAgent::OnPeerDown(const VmName& vm) {
  m_entries.erase(vm);
  m_origins.OnEntryDown(vm);
  m_pool_rates.erase(vm);
  m_decode_queue.WithdrawAll(vm);
  m_prefill_queue.WithdrawAll(vm);
  m_log->Write("entry_down", {{"entry", vm.Value()}});
}

void EngineAgent::OnMessage(const VmName& from, const Message& message) {
  const TimePoint now = m_clock->Now();
  if (const auto* decode = std::get_if<ReserveDecode>(&message)) {
    const Reservation reservation = {decode->attempt,
                                     from,
                                     decode->prompt,
                                     decode->expected_output,
                                     now + decode->target_left,
                                     now + decode->wait_budget,
                                     decode->priority,
                                     decode->team,
                                     now};
    m_decode_admission.CountRequest(reservation, now);
    m_decode_queue.Enqueue(reservation);
  } else if (const auto* prefill = std::get_if<ReservePrefill>(&message)) {
    m_prefill_queue.Enqueue({prefill->attempt, from, prefill->prompt, Tokens(0),
                             now + prefill->target_left,
                             now + prefill->wait_budget, prefill->priority,
                             prefill->team, now});
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&message)) {
    m_decode_queue.Withdraw(cancel->attempt);
    m_prefill_queue.Withdraw(cancel->attempt);
    if (const auto service = m_ledger.Release(cancel->attempt)) {
      m_decode_queue.Settle(cancel->attempt, *service, now);
    }
    m_prefill_admission.Release(cancel->attempt, now);
    m_local_prefill_admission.Release(cancel->attempt, now);
  } else if (const auto* origin = std::get_if<StreamOrigin>(&message)) {
    m_origins.OnOrigin(*origin);
    return;
  } else if (const auto* query = std::get_if<StreamOriginQuery>(&message)) {
    m_origins.OnQuery(from, *query);
    return;
  } else if (const auto* rates = std::get_if<PoolRates>(&message)) {
    m_pool_rates[from] = *rates;
    m_balance.SetRates(MedianPoolRates());
    return;
  } else {
    return;
  }
  SendDecisions(now);
}

}  // namespace burdockhill

#include "burdockhill/src/gateway/engine_agent.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace burdockhill {

namespace {

// The engine is on the same VM, so polling costs little; one engine step takes
// a few milliseconds.
constexpr Duration kPollInterval = std::chrono::milliseconds(60);
constexpr Duration kPollTime = std::chrono::milliseconds(250);
// The engine counts as lost if its last report is older.
constexpr Duration kReportAge = std::chrono::milliseconds(400);
constexpr Duration kOrderTime = std::chrono::milliseconds(1500);
// Minimum time between two orders, whatever the outcome of the first.
constexpr Duration kOrderInterval = std::chrono::milliseconds(2000);
// Minimum and maximum time between load reports.
constexpr Duration kLoadInterval = std::chrono::milliseconds(100);
constexpr Duration kLoadKeepAlive = std::chrono::milliseconds(500);
// A change of the load by this many tokens is reported without waiting for the
// maximum time.
constexpr int64_t kReportedChange = 2000;
// Weight of the latest sample in the moving average of the decode rate.
constexpr double kNewestWeight = 0.2;

}  // namespace

bool EngineAgent::EngineCall::OnResponseHead(http::CallId /*id*/,
                                             const http::Head& head) {
  status = head.status;
  return true;
}

void EngineAgent::EngineCall::OnResponseBody(http::CallId /*id*/,
                                             std::string_view bytes) {
  body.append(bytes);
}

void EngineAgent::EngineCall::OnResponseEnd(http::CallId /*id*/) {
  state = State::kAnswered;
}

void EngineAgent::EngineCall::OnCallFailed(http::CallId /*id*/,
                                           http::CallFailure /*failure*/) {
  state = State::kFailed;
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

const RegisteredUpstream* EngineAgent::Own() const {
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
  StepCall(&m_poll, now);
  StepCall(&m_order, now);
  PollReport(now);
  Balance(now);
  SendDecisions(now);
  ReportLoad(now);
}

void EngineAgent::StepCall(EngineCall* call, TimePoint now) {
  if (call->state != EngineCall::State::kWaiting || now < call->answer_by) {
    return;
  }
  m_pool->Cancel(call->id);
  call->state = EngineCall::State::kFailed;
}

bool EngineAgent::StartCall(EngineCall* call, std::string request,
                            Duration time, TimePoint now) {
  call->body.clear();
  call->status = 0;
  call->answer_by = now + time;
  call->state = EngineCall::State::kWaiting;
  call->id =
      m_pool->Start(m_options.engine_address, std::move(request), call, {});
  if (!call->id.IsValid()) call->state = EngineCall::State::kFailed;
  return call->id.IsValid();
}

void EngineAgent::PollReport(TimePoint now) {
  if (m_poll.state == EngineCall::State::kAnswered) {
    const auto report = m_poll.status == http::kOk
                            ? m_codec->DecodeReport(m_poll.body)
                            : std::nullopt;
    if (report.has_value()) TakeReport(*report, now);
  }
  if (m_poll.state != EngineCall::State::kWaiting && now >= m_next_poll) {
    m_next_poll = now + kPollInterval;
    StartCall(&m_poll, m_codec->EncodeReportRequest(m_options.engine_address),
              kPollTime, now);
  }
  if (m_report.has_value() && now - m_report_at > kReportAge) {
    m_log->Write("engine_lost", {{"engine", m_options.engine_address}});
    m_report.reset();
    m_ledger = KvCacheLedger();
  }
}

void EngineAgent::TakeReport(const EngineReport& report, TimePoint now) {
  if (!m_report.has_value()) {
    m_log->Write("engine_found",
                 {{"engine", m_options.engine_address},
                  {"decodes", report.role == EngineRole::kDecode},
                  {"memory", report.kv_capacity.Value()}});
  }
  MeasurePace(report, now);
  m_report = report;
  m_report_at = now;
  const RegisteredUpstream* own = Own();
  m_ledger.SetCapacity(report.kv_capacity, own == nullptr ? 0 : own->slots);
  m_ledger.Reconcile(report.runs, now);
  m_decode_room.SetOutputRate(m_pace);
}

void EngineAgent::MeasurePace(const EngineReport& report, TimePoint now) {
  if (!m_report.has_value()) return;
  std::unordered_map<uint64_t, Tokens> before;
  for (const ReportedRun& run : m_report->runs) {
    before[run.request.Value()] = run.kv_tokens;
  }
  int64_t grown = 0;
  int runs = 0;
  for (const ReportedRun& run : report.runs) {
    const auto found = before.find(run.request.Value());
    if (found == before.end() || run.kv_tokens <= found->second) continue;
    grown += (run.kv_tokens - found->second).Value();
    ++runs;
  }
  const double seconds =
      std::chrono::duration<double>(now - m_report_at).count();
  if (runs == 0 || seconds <= 0) return;
  const double pace = static_cast<double>(grown) / runs / seconds;
  m_pace = m_pace == 0 ? pace : m_pace + kNewestWeight * (pace - m_pace);
}

void EngineAgent::Balance(TimePoint now) {
  if (m_order.state == EngineCall::State::kAnswered ||
      m_order.state == EngineCall::State::kFailed) {
    m_log->Write("order_ended", {{"engine", m_options.engine_address},
                                 {"status", int64_t{m_order.status}}});
    m_order.state = EngineCall::State::kIdle;
  }
  const RegisteredUpstream* own = Own();
  if (own == nullptr || !m_report.has_value()) return;
  m_balance.SetEngineSize({m_report->kv_capacity, own->slots});
  const std::optional<EngineRole> role =
      m_balance.DecideRole(*m_directory, own->name, now);
  const bool due = role.has_value() && now >= m_next_order &&
                   m_order.state == EngineCall::State::kIdle;
  // The engine's report is newer than its registration, so the report decides.
  if (!due || m_report->is_changing_role || m_report->role == *role) return;
  m_next_order = now + kOrderInterval;
  m_log->Write(
      "order_given",
      {{"engine", own->name.Value()},
       {"role",
        std::string(*role == EngineRole::kDecode ? "decode" : "prefill")},
       {"orders_accepted", static_cast<int64_t>(m_report->orders_accepted)}});
  StartCall(&m_order,
            m_codec->EncodeRoleOrder(*own, *role, m_report->orders_accepted,
                                     m_options.vm),
            kOrderTime, now);
}

bool EngineAgent::Decodes() const {
  return m_report.has_value() && !m_report->is_changing_role &&
         m_report->role == EngineRole::kDecode;
}

bool EngineAgent::Prefills() const {
  return m_report.has_value() && !m_report->is_changing_role &&
         m_report->role == EngineRole::kPrefill;
}

void EngineAgent::SendDecisions(TimePoint now) {
  m_prefill_room.ExpireGrants(now);
  SendDecisionsOf(&m_decode_queue, Decodes() ? &m_decode_room : nullptr, now);
  SendDecisionsOf(&m_prefill_queue, RoomForPrompts(), now);
}

EngineAdmission* EngineAgent::RoomForPrompts() {
  if (Prefills()) return &m_prefill_room;
  return Decodes() ? &m_local_prefill_room : nullptr;
}

void EngineAgent::SendDecisionsOf(ReservationQueue* queue,
                                  EngineAdmission* room, TimePoint now) {
  for (const ReservationQueue::Decision& decision : queue->Decide(room, now)) {
    const Reservation& reservation = decision.reservation;
    if (decision.granted) {
      m_peers->Send(reservation.entry,
                    ReserveGranted{reservation.attempt,
                                   EngineName(m_options.vm.Value())});
      continue;
    }
    m_log->Write("reservation_refused",
                 {{"entry", reservation.entry.Value()},
                  {"prefill", queue == &m_prefill_queue},
                  {"open", room != nullptr},
                  {"prompt", reservation.prompt.Value()},
                  {"expected_peak", m_ledger.ExpectedPeak().Value()},
                  {"capacity", m_ledger.Capacity().Value()},
                  {"runs", static_cast<int64_t>(m_ledger.RunCount())},
                  {"waiting", static_cast<int64_t>(queue->WaitingCount())},
                  {"report_age_us", (now - m_report_at).count()},
                  {"retry_after_us", decision.retry_after.count()}});
    AttemptRefused refusal;
    refusal.attempt = reservation.attempt;
    refusal.kind =
        room == nullptr ? ErrorKind::kNoUpstream : ErrorKind::kOverloaded;
    refusal.retry_after = decision.retry_after;
    m_peers->Send(reservation.entry, refusal);
  }
}

Tokens EngineAgent::Burden() const {
  return Prefills()
             ? m_prefill_room.GrantedPromptTokens() +
                   m_prefill_queue.WaitingPromptTokens()
             : m_ledger.ExpectedPeak() + m_decode_queue.WaitingPromptTokens();
}

void EngineAgent::ReportLoad(TimePoint now) {
  const Tokens burden = Burden();
  const int64_t change = std::abs((burden - m_last_reported).Value());
  const TimePoint due = change >= kReportedChange
                            ? m_next_load
                            : m_next_load + kLoadKeepAlive - kLoadInterval;
  if (now < due) return;
  m_next_load = now + kLoadInterval;
  m_last_reported = burden;
  for (const VmName& entry : m_entries) SendLoad(entry);
}

void EngineAgent::SendLoad(const VmName& entry) {
  LoadReport report;
  EngineLoad load;
  load.healthy = m_report.has_value();
  if (m_report.has_value()) {
    load.role = m_report->role;
    load.running = static_cast<uint32_t>(m_report->running_requests);
    load.waiting = static_cast<uint32_t>(m_report->waiting_requests);
    const int64_t free = (m_ledger.Capacity() - Burden()).Value();
    load.free_pieces =
        Pieces(std::max<int64_t>(free, 0) / kReportedPiece.Value());
    if (Prefills()) load.queued_prefill = Burden();
  }
  report.engines.push_back(load);
  m_peers->Send(entry, report);
}

void EngineAgent::OnPeerUp(const Hello& peer) {
  m_entries.insert(peer.vm);
  m_log->Write("entry_up", {{"entry", peer.vm.Value()}});
  SendLoad(peer.vm);
}

void EngineAgent::OnPeerDown(const VmName& vm) {
  m_entries.erase(vm);
  m_decode_queue.WithdrawAll(vm);
  m_prefill_queue.WithdrawAll(vm);
  m_log->Write("entry_down", {{"entry", vm.Value()}});
}

void EngineAgent::OnMessage(const VmName& from, const Message& message) {
  const TimePoint now = m_clock->Now();
  if (const auto* decode = std::get_if<ReserveDecode>(&message)) {
    m_decode_queue.Enqueue({decode->attempt, from, decode->prompt,
                            decode->expected_output, now + decode->target_left,
                            now + decode->wait_budget, decode->priority});
  } else if (const auto* prefill = std::get_if<ReservePrefill>(&message)) {
    m_prefill_queue.Enqueue({prefill->attempt, from, prefill->prompt, Tokens(0),
                             now + prefill->target_left,
                             now + prefill->wait_budget, prefill->priority});
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&message)) {
    m_decode_queue.Withdraw(cancel->attempt);
    m_prefill_queue.Withdraw(cancel->attempt);
    m_ledger.Release(cancel->attempt);
    m_prefill_room.Release(cancel->attempt, now);
    m_local_prefill_room.Release(cancel->attempt, now);
  } else {
    return;
  }
  SendDecisions(now);
}

}  // namespace burdockhill

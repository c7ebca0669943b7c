#include "burdockhill/src/gateway/upstream_permits.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// Time for a coordinator's answer: two network transits between regions, and
// one iteration of the event loop at each end.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(100);
constexpr Duration kNoticeInterval = std::chrono::milliseconds(50);
constexpr Duration kReconnectInterval = std::chrono::seconds(2);
// An entry that knows fewer entries assumes this many, since it may only know
// its seeds.
constexpr int kMinAssumedEntries = 3;
// An upstream with a lower limit, also with a limit of zero, gets this rate.
// Otherwise no response would ever show that the limit has ended.
constexpr double kMinProbeRate = 0.25;  // Requests a second.
// Part of the even share that entries without a coordinator use. What they
// send comes at random and at times in clusters.
constexpr double kUncoordinatedPart = 0.5;
// An entry that was refused a permit asks again after about this time at the
// latest, as the others may need none any more.
constexpr Duration kMaxAskInterval = std::chrono::seconds(2);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

}  // namespace

UpstreamPermits::UpstreamPermits(const Options& options, EntryBoard* board,
                                 PeerLink* peers)
    : m_options(options),
      m_board(board),
      m_peers(peers),
      m_coordinators(
          options.self,
          std::vector<VmName>(options.seeds.begin(), options.seeds.end()),
          board->clock->Now()) {}

double UpstreamPermits::RateOf(const UpstreamName& upstream) const {
  return std::max(m_board->rate_limits.Find(upstream).value_or(0),
                  kMinProbeRate);
}

int UpstreamPermits::AssumedEntries() const {
  return std::max({m_coordinators.EntryCount(m_board->clock->Now()),
                   m_entry_count, kMinAssumedEntries});
}

PermitId UpstreamPermits::Request(const UpstreamName& upstream,
                                  Duration max_wait, PermitEvents* events) {
  const PermitId id(++m_last_id);
  PendingRequest& request = m_requests.FindOrInsert(id);
  request.upstream = upstream;
  request.events = events;
  request.wait_until = m_board->clock->Now() + std::max(max_wait, Duration(0));
  Dispatch(id, &request);
  return id;
}

void UpstreamPermits::Dispatch(PermitId id, PendingRequest* request) {
  const TimePoint now = m_board->clock->Now();
  const Duration max_wait = std::max(request->wait_until - now, Duration(0));
  const VmName coordinator =
      m_coordinators.Choose(request->upstream.Value(), now);
  if (coordinator == m_options.self) {
    return Apply(request, Decide(request->upstream, max_wait));
  }
  if (!coordinator.IsValid()) {
    return Apply(request, DecideAlone(request->upstream, max_wait));
  }
  const auto statement = m_board->rate_limits.All().find(request->upstream);
  request->coordinator = coordinator;
  request->answer_due = now + kAnswerTimeout;
  PermitRequest message{id.Value(), max_wait, {}};
  message.limit.upstream = request->upstream;
  if (statement != m_board->rate_limits.All().end()) {
    message.limit = NoticeFor(statement->first, statement->second);
  }
  m_peers->Send(coordinator, message);
}

UpstreamPermits::Decision UpstreamPermits::Decide(const UpstreamName& upstream,
                                                  Duration max_wait) {
  const TimePoint now = m_board->clock->Now();
  if (!IsNeeded(upstream)) return {true, Duration(0)};
  Schedules& schedules = m_schedules.try_emplace(upstream, now).first->second;
  const double rate =
      RateOf(upstream) * m_coordinators.ShareOfLimit(upstream.Value(), now);
  schedules.permits.SetRate(rate, now);
  schedules.returns.SetRate(rate, now);
  const std::optional<Duration> wait = schedules.permits.Take(max_wait, now);
  if (wait.has_value()) return {true, *wait};
  // Those that are refused ask again one after the other, so that not all of
  // them ask for each permit.
  const Duration turn = schedules.returns.Take(kMaxAskInterval, now)
                            .value_or(m_board->random->Jitter(kMaxAskInterval));
  return {false, std::max(schedules.permits.TimeUntilNext(now), turn)};
}

UpstreamPermits::Decision UpstreamPermits::DecideAlone(
    const UpstreamName& upstream, Duration max_wait) {
  const TimePoint now = m_board->clock->Now();
  if (!IsNeeded(upstream)) return {true, Duration(0)};
  const double rate = kUncoordinatedPart * RateOf(upstream) / AssumedEntries();
  auto found = m_own_shares.find(upstream);
  if (found == m_own_shares.end()) {
    // The schedules of all entries are out of step.
    const auto offset = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(m_board->random->UniformDouble() / rate));
    found =
        m_own_shares
            .emplace(upstream, PermitSchedule(PermitSchedule::Unused::kLapse,
                                              now + offset))
            .first;
    m_board->log->Write("rate_limit_uncoordinated",
                        {{"upstream", upstream.Value()},
                         {"requests_per_second", rate},
                         {"entries", int64_t{AssumedEntries()}}});
  }
  found->second.SetRate(rate, now);
  const std::optional<Duration> wait = found->second.Take(max_wait, now);
  return {wait.has_value(), wait.value_or(found->second.TimeUntilNext(now))};
}

void UpstreamPermits::Apply(PendingRequest* request, const Decision& decision) {
  const TimePoint now = m_board->clock->Now();
  request->coordinator = VmName();
  request->decided = true;
  request->granted = decision.granted;
  request->usable_at = now + decision.wait;
  if (decision.granted) {
    m_exhausted_until.erase(request->upstream);
    return;
  }
  // From then on, a permit can be had by a request that waits as long.
  const Duration max_wait = std::max(request->wait_until - now, Duration(0));
  m_exhausted_until[request->upstream] = now + decision.wait - max_wait;
}

std::set<UpstreamName> UpstreamPermits::Exhausted(
    const ServiceName& service) const {
  std::set<UpstreamName> exhausted;
  if (m_exhausted_until.empty()) return exhausted;
  const TimePoint now = m_board->clock->Now();
  for (const RegisteredUpstream* upstream :
       m_board->upstreams.FindByService(service)) {
    const auto found = m_exhausted_until.find(upstream->name);
    if (found != m_exhausted_until.end() && now < found->second &&
        IsNeeded(upstream->name)) {
      exhausted.insert(upstream->name);
    }
  }
  return exhausted;
}

Duration UpstreamPermits::RetryAfter(const ServiceName& service) {
  const TimePoint now = m_board->clock->Now();
  double rate = 0;
  TimePoint earliest{};
  for (const UpstreamName& upstream : Exhausted(service)) {
    rate += RateOf(upstream);
    const TimePoint at = m_exhausted_until.at(upstream);
    if (earliest == TimePoint() || at < earliest) earliest = at;
  }
  if (rate == 0) {
    m_returns.erase(service);
    return Duration(0);
  }
  PermitSchedule& returns =
      m_returns.try_emplace(service, PermitSchedule::Unused::kKeepOne, now)
          .first->second;
  returns.SetRate(rate / AssumedEntries(), now);
  const Duration spread =
      returns.Take(kMaxRetryAfter, now).value_or(kMaxRetryAfter);
  return std::clamp(std::max(earliest - now, spread), kMinRetryAfter,
                    kMaxRetryAfter);
}

void UpstreamPermits::Tick() {
  const TimePoint now = m_board->clock->Now();
  m_coordinators.Tick(now);
  std::vector<PermitId> unanswered;
  std::vector<PermitId> due;
  for (const auto& [id, request] : m_requests) {
    if (!request.decided) {
      if (now >= request.answer_due) unanswered.push_back(id);
    } else if (!request.granted || now >= request.usable_at) {
      due.push_back(id);
    }
  }
  for (const PermitId id : unanswered) {
    PendingRequest* request = m_requests.Find(id);
    m_coordinators.RecordNoAnswer(request->coordinator, now);
    Dispatch(id, request);
  }
  for (const PermitId id : due) {
    const PendingRequest* request = m_requests.Find(id);
    if (request == nullptr) continue;  // Cancelled by an earlier event.
    const bool granted = request->granted;
    PermitEvents* events = request->events;
    m_requests.Erase(id);
    granted ? events->OnPermit(id) : events->OnNoPermit(id);
  }
  SendNotices();
  ReconnectSilentSeeds();
  const auto is_lifted = [this](const auto& item) {
    return !IsNeeded(item.first);
  };
  std::erase_if(m_schedules, is_lifted);
  std::erase_if(m_own_shares, is_lifted);
  std::erase_if(m_exhausted_until, is_lifted);
}

RateLimitNotice UpstreamPermits::NoticeFor(
    const UpstreamName& upstream, const RateLimitStatement& statement) const {
  return {upstream, statement.requests_per_second,
          m_board->clock->Now() - statement.at};
}

void UpstreamPermits::SendNotices() {
  const TimePoint now = m_board->clock->Now();
  if (now < m_next_notices_at) return;
  m_next_notices_at = now + kNoticeInterval;
  for (const UpstreamName& upstream : m_board->rate_limits.DrainChanged()) {
    const auto statement = m_board->rate_limits.All().find(upstream);
    if (statement == m_board->rate_limits.All().end()) continue;
    for (const VmName& vm : m_entries) {
      m_peers->Send(vm, NoticeFor(upstream, statement->second));
    }
  }
}

void UpstreamPermits::ReconnectSilentSeeds() {
  const TimePoint now = m_board->clock->Now();
  if (now < m_next_reconnect_at) return;
  m_next_reconnect_at = now + kReconnectInterval;
  for (const VmName& seed : m_coordinators.SilentSeeds(now)) {
    m_peers->Connect(seed, seed.Value() + ":" + std::to_string(m_options.port));
  }
}

void UpstreamPermits::OnPeerUp(const Hello& peer) {
  m_entries.insert(peer.vm);
  m_coordinators.RecordUp(peer.vm, m_board->clock->Now());
  for (const auto& [upstream, statement] : m_board->rate_limits.All()) {
    m_peers->Send(peer.vm, NoticeFor(upstream, statement));
  }
}

void UpstreamPermits::OnPeerDown(const VmName& vm) {
  m_entries.erase(vm);
  m_coordinators.RecordDown(vm, m_board->clock->Now());
  for (auto& [id, request] : m_requests) {
    if (!request.decided && request.coordinator == vm) Dispatch(id, &request);
  }
}

void UpstreamPermits::OnMessage(const VmName& from, const Message& message) {
  m_coordinators.RecordMessage(from, m_board->clock->Now());
  if (const auto* notice = std::get_if<RateLimitNotice>(&message)) {
    HandleNotice(*notice);
  } else if (const auto* request = std::get_if<PermitRequest>(&message)) {
    HandleRequest(from, *request);
  } else if (const auto* answer = std::get_if<PermitAnswer>(&message)) {
    HandleAnswer(from, *answer);
  }
}

void UpstreamPermits::HandleNotice(const RateLimitNotice& notice) {
  if (!notice.upstream.IsValid()) return;
  const TimePoint at =
      m_board->clock->Now() - std::max(notice.age, Duration(0));
  m_board->rate_limits.Record(notice.upstream,
                              {notice.requests_per_second, at});
}

void UpstreamPermits::HandleRequest(const VmName& from,
                                    const PermitRequest& message) {
  HandleNotice(message.limit);
  const Decision decision = Decide(message.limit.upstream, message.max_wait);
  const int entries = m_coordinators.EntryCount(m_board->clock->Now());
  m_peers->Send(from, PermitAnswer{message.id, decision.granted, decision.wait,
                                   static_cast<uint32_t>(entries)});
}

void UpstreamPermits::HandleAnswer(const VmName& from,
                                   const PermitAnswer& message) {
  m_coordinators.RecordAnswer(from);
  m_entry_count = static_cast<int>(message.entries);
  PendingRequest* request = m_requests.Find(PermitId(message.id));
  if (request == nullptr || request->coordinator != from) return;
  Apply(request, {message.granted, std::max(message.wait, Duration(0))});
}

}  // namespace burdockhill

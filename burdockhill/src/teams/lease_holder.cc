#include "burdockhill/src/teams/lease_holder.h"

#include <algorithm>
#include <cmath>

namespace burdockhill {

namespace {

// Time for a coordinator's answer: two network transits between regions, and
// one iteration of the event loop at each end.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(100);
// Of asks ahead of the demand. Longer while they get nothing.
constexpr Duration kAheadInterval = std::chrono::milliseconds(250);
constexpr Duration kMaxAheadInterval = std::chrono::seconds(1);
// A lease is renewed when less than this is left of its lifetime.
constexpr Duration kRenewalTime = std::chrono::milliseconds(300);
// After a refusal, time until the level is asked for to which the bucket has
// filled since.
constexpr Duration kRefusalInterval = std::chrono::milliseconds(250);
// A surplus is returned that has lasted for this time.
constexpr Duration kSurplusTime = std::chrono::milliseconds(300);
// A surplus is what exceeds the target by this factor.
constexpr double kSurplusFactor = 1.5;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfterAlone = std::chrono::seconds(5);
// An entry that knows fewer entries assumes this many, since it may only know
// its seeds.
constexpr int kMinAssumedEntries = 3;
constexpr double kMinWaitSeconds = 1e-6;
constexpr Duration kIdleTime = std::chrono::seconds(30);

}  // namespace

void LeaseHolder::SetBudget(const LimitBudget& budget) {
  if (budget.Rate() < m_budget.Rate()) {
    for (Lease& lease : m_leases) {
      lease.amount = static_cast<int64_t>(static_cast<double>(lease.amount) *
                                          budget.Rate() / m_budget.Rate());
    }
  }
  m_budget = budget;
  m_refusal.reset();
  m_isolated.reset();
}

void LeaseHolder::Add(AdmissionId id, int64_t cost, TimePoint now) {
  m_demand.Add(static_cast<double>(cost), now);
  m_last_request_at = now;
  m_waiting.push_back({id, cost, false});
}

void LeaseHolder::Cancel(AdmissionId id) {
  std::erase_if(m_waiting, [&](const Waiting& item) { return item.id == id; });
}

std::vector<AdmissionId> LeaseHolder::WaitingIds() const {
  std::vector<AdmissionId> ids;
  ids.reserve(m_waiting.size());
  for (const Waiting& item : m_waiting) ids.push_back(item.id);
  return ids;
}

void LeaseHolder::Charge(int64_t cost, TimePoint now) {
  m_demand.Add(static_cast<double>(cost), now);
  m_last_request_at = now;
  if (!TryTake(cost, now)) m_used_elsewhere += cost;
}

int64_t LeaseHolder::Balance(TimePoint now) const {
  int64_t sum = 0;
  for (const Lease& lease : m_leases) {
    if (now < lease.expires_at) sum += lease.amount;
  }
  return sum;
}

bool LeaseHolder::TryTake(int64_t cost, TimePoint now) {
  std::erase_if(m_leases,
                [&](const Lease& lease) { return now >= lease.expires_at; });
  if (Balance(now) < cost) return false;
  std::sort(m_leases.begin(), m_leases.end(),
            [](const Lease& one, const Lease& other) {
              return one.expires_at < other.expires_at;
            });
  for (Lease& lease : m_leases) {
    const int64_t part = std::min(lease.amount, cost);
    lease.amount -= part;
    cost -= part;
  }
  return true;
}

bool LeaseHolder::LeavesReserve(const Waiting& item, TimePoint now) const {
  if (item.asked_for) return true;
  const auto cost = static_cast<double>(item.cost);
  return static_cast<double>(Balance(now)) - cost >=
         m_demand.ReserveBeside(cost, now);
}

LeaseHolder::Lease* LeaseHolder::FindLease(const VmName& coordinator,
                                           TimePoint now) {
  for (Lease& lease : m_leases) {
    if (lease.coordinator == coordinator && now < lease.expires_at) {
      return &lease;
    }
  }
  return nullptr;
}

Duration LeaseHolder::TimeUntilAsk(int64_t cost, const VmName& coordinator,
                                   TimePoint now) const {
  if (!m_refusal.has_value() || m_refusal->coordinator != coordinator) {
    return Duration(0);
  }
  const double required = std::min(static_cast<double>(cost), m_budget.Burst());
  if (required <= m_refusal->level) return Duration(0);
  const Duration wait =
      std::max(kRefusalInterval,
               FromSeconds((required - m_refusal->level) / m_refusal->rate));
  return std::max(Duration(0), m_refusal->at + wait - now);
}

std::vector<AdmissionOutcome> LeaseHolder::Settle(const VmName& coordinator,
                                                  TimePoint now) {
  std::vector<AdmissionOutcome> outcomes;
  std::erase_if(m_waiting, [&](const Waiting& item) {
    if (LeavesReserve(item, now) && TryTake(item.cost, now)) {
      outcomes.push_back({item.id, true, Duration(0)});
      return true;
    }
    const Duration wait = TimeUntilAsk(item.cost, coordinator, now);
    if (wait == Duration(0)) return false;
    outcomes.push_back({item.id, false, std::max(wait, kMinRetryAfter)});
    return true;
  });
  return outcomes;
}

std::vector<AdmissionOutcome> LeaseHolder::SettleAlone(int entries,
                                                       TimePoint now,
                                                       Random* random) {
  std::vector<AdmissionOutcome> outcomes;
  for (const Waiting& item : m_waiting) {
    if (TryTake(item.cost, now)) {
      outcomes.push_back({item.id, true, Duration(0)});
      continue;
    }
    if (!m_isolated.has_value()) {
      m_isolated.emplace(m_budget, m_granted.PerSecond(now),
                         std::max({entries, m_entries, kMinAssumedEntries}),
                         now);
      m_isolated_at = now;
    }
    const auto cost = static_cast<double>(item.cost);
    const bool admitted = m_isolated->TryTake(cost, now, random);
    const Duration wait = admitted
                              ? Duration(0)
                              : std::clamp(m_isolated->TimeUntil(cost, now),
                                           kMinRetryAfter, kMaxRetryAfterAlone);
    outcomes.push_back({item.id, admitted, wait});
  }
  m_waiting.clear();
  return outcomes;
}

void LeaseHolder::EndIsolation(TimePoint now) {
  if (!m_isolated.has_value()) return;
  if (now - m_isolated_at < m_budget.Window()) {
    m_used_elsewhere += static_cast<int64_t>(m_isolated->UsedEarly());
  }
  m_isolated.reset();
}

int64_t LeaseHolder::CollectNeeded(const VmName& coordinator, TimePoint now) {
  int64_t needed = 0;
  for (Waiting& item : m_waiting) {
    item.asked_for = false;
    if (TimeUntilAsk(item.cost, coordinator, now) > Duration(0)) continue;
    if (needed == 0) {
      needed = item.cost;
      item.asked_for = true;
      continue;
    }
    // A sum must not be taken for one request above the burst, nor exceed by
    // much what a second coordinator has.
    const auto sum = static_cast<double>(needed + item.cost);
    const double level =
        m_refusal.has_value()
            ? m_refusal->level + m_refusal->rate * Seconds(now - m_refusal->at)
            : sum;
    if (sum <= std::min({m_budget.Burst(), level,
                         m_budget.Headroom() +
                             static_cast<double>(m_waiting.front().cost)})) {
      needed += item.cost;
      item.asked_for = true;
    }
  }
  return needed;
}

double LeaseHolder::Target(TimePoint now) const {
  // Half of the headroom is for all entries alike.
  const double spare =
      m_budget.Headroom() / 2 / std::max(m_entries, kMinAssumedEntries);
  return std::min(m_demand.Target(spare, now), m_budget.Headroom());
}

bool LeaseHolder::IsAskAheadDue(const VmName& coordinator, double target,
                                TimePoint now) const {
  if (now - m_last_ask_at < kAheadInterval) return false;
  if (m_used_elsewhere > 0 || m_granted_to_others > 0) return true;
  if (target == 0) return false;
  const bool is_low = static_cast<double>(Balance(now)) < target / 2;
  if (is_low && now - m_last_ask_at >= m_ahead_interval) return true;
  return std::any_of(m_leases.begin(), m_leases.end(), [&](const Lease& lease) {
    return lease.coordinator == coordinator && lease.amount > 0 &&
           now < lease.expires_at && lease.expires_at - now < kRenewalTime;
  });
}

std::optional<TeamLeaseRequest> LeaseHolder::DueAsk(const VmName& coordinator,
                                                    bool is_self, uint64_t id,
                                                    TimePoint now) {
  EndIsolation(now);
  if (is_self) m_granted_to_others = 0;
  if (m_ask.has_value()) return std::nullopt;
  const double target = Target(now);
  const int64_t needed = CollectNeeded(coordinator, now);
  if (needed == 0 && !IsAskAheadDue(coordinator, target, now)) {
    return std::nullopt;
  }
  const auto ahead = static_cast<int64_t>(
      std::max(0.0, std::ceil(target) - static_cast<double>(Balance(now))));
  const Lease* lease = FindLease(coordinator, now);
  TeamLeaseRequest request;
  request.id = id;
  request.team = m_team;
  request.needed = needed;
  request.wanted = needed + ahead;
  request.used_elsewhere = std::exchange(m_used_elsewhere, 0) +
                           std::exchange(m_granted_to_others, 0);
  request.held = lease == nullptr ? 0 : lease->amount;
  m_ask = Ask{id, coordinator, request.needed, request.wanted, now};
  m_last_ask_at = now;
  return request;
}

bool LeaseHolder::OnAnswer(const VmName& from, const TeamLeaseAnswer& answer,
                           TimePoint now) {
  if (!m_ask.has_value() || m_ask->id != answer.id ||
      m_ask->coordinator != from) {
    return false;
  }
  const Ask ask = *std::exchange(m_ask, std::nullopt);
  m_entries = static_cast<int>(answer.entries);
  m_granted.Add(static_cast<double>(answer.granted), now);
  const TimePoint expires_at = ask.sent_at + answer.lifetime;
  if (Lease* lease = FindLease(from, now)) {
    lease->amount += answer.granted;
    lease->expires_at = std::max(lease->expires_at, expires_at);
  } else if (answer.granted > 0) {
    m_leases.push_back({from, answer.granted, expires_at});
  }
  if (ask.needed > 0 && answer.granted == 0) {
    const double required =
        std::min(static_cast<double>(ask.needed), m_budget.Burst());
    const auto level = static_cast<double>(answer.available);
    const double missing = std::max(required - level, 1.0);
    const double wait = std::max(Seconds(answer.wait), kMinWaitSeconds);
    m_refusal = Refusal{from, level, missing / wait, now};
  } else if (ask.needed > 0) {
    m_refusal.reset();
  }
  const bool got_nothing = answer.granted == 0 && ask.wanted > 0;
  m_ahead_interval =
      got_nothing ? std::min(kMaxAheadInterval,
                             std::max(kAheadInterval, 2 * m_ahead_interval))
                  : kAheadInterval;
  return true;
}

std::optional<VmName> LeaseHolder::TakeUnanswered(TimePoint now) {
  if (!m_ask.has_value() || now - m_ask->sent_at < kAnswerTimeout) {
    return std::nullopt;
  }
  const VmName coordinator = m_ask->coordinator;
  m_ask.reset();
  return coordinator;
}

void LeaseHolder::OnCoordinatorLost(const VmName& coordinator) {
  if (m_ask.has_value() && m_ask->coordinator == coordinator) m_ask.reset();
  if (m_refusal.has_value() && m_refusal->coordinator == coordinator) {
    m_refusal.reset();
  }
}

std::vector<std::pair<VmName, int64_t>> LeaseHolder::DueReturns(
    const VmName& coordinator, TimePoint now) {
  std::vector<std::pair<VmName, int64_t>> returns;
  if (m_refund > 0) {
    const int64_t refund = std::exchange(m_refund, 0);
    m_granted.Add(-static_cast<double>(refund), now);
    if (coordinator.IsValid()) returns.emplace_back(coordinator, refund);
  }
  const double target = Target(now);
  auto surplus = static_cast<int64_t>(static_cast<double>(Balance(now)) -
                                      std::ceil(kSurplusFactor * target));
  if (surplus <= 0) {
    m_surplus_since = TimePoint();
    return returns;
  }
  if (m_surplus_since == TimePoint()) m_surplus_since = now;
  // An answer that is on its way says what is held; a return now would be taken
  // from that once more.
  if (m_ask.has_value()) return returns;
  const bool has_lasted = now - m_surplus_since >= kSurplusTime;
  if (has_lasted) m_surplus_since = TimePoint();
  for (Lease& lease : m_leases) {
    const int64_t part = std::min(surplus, lease.amount);
    if (part == 0 || now >= lease.expires_at) continue;
    // Without a target it is not renewed.
    const bool would_expire =
        target == 0 && lease.expires_at - now < kRenewalTime;
    if (!has_lasted && !would_expire) continue;
    lease.amount -= part;
    surplus -= part;
    m_granted.Add(-static_cast<double>(part), now);
    returns.emplace_back(lease.coordinator, part);
  }
  return returns;
}

bool LeaseHolder::IsIdle(TimePoint now) const {
  return m_waiting.empty() && !m_ask.has_value() && m_refund == 0 &&
         m_used_elsewhere == 0 && m_granted_to_others == 0 &&
         Balance(now) == 0 && now - m_last_request_at > kIdleTime;
}

}  // namespace burdockhill

#include "burdockhill/src/teams/team_leases.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// Leases are dropped after a longer stall of the event loop.
constexpr Duration kMaxStall = std::chrono::milliseconds(500);
constexpr Duration kReturnInterval = std::chrono::milliseconds(100);

}  // namespace

TeamLeases::TeamLeases(const Options& options, const Clock* clock,
                       Random* random, PeerLink* peers, AdmissionEvents* events)
    : m_options(options),
      m_clock(clock),
      m_random(random),
      m_peers(peers),
      m_events(events),
      m_is_seed(std::find(options.seeds.begin(), options.seeds.end(),
                          options.self) != options.seeds.end()),
      m_choice(options.self, options.seeds, clock->Now()),
      m_coordinator(&m_choice, clock->Now()),
      m_last_id(random->NextNumber()),
      m_last_tick(clock->Now()) {}

void TeamLeases::SetTeams(const TeamDirectory& teams) {
  const TimePoint now = m_clock->Now();
  m_limits.clear();
  for (const auto& [name, team] : teams.Teams()) {
    if (!team.limit.IsLimited()) continue;
    m_limits.emplace(name, LimitBudget(team.limit, m_options.tolerance));
  }
  if (IsSeed()) m_coordinator.SetLimits(m_limits, now);
  std::vector<AdmissionOutcome> unlimited;
  for (auto& [team, holder] : m_holders) {
    const auto limit = m_limits.find(team);
    if (limit != m_limits.end()) {
      holder.SetBudget(limit->second);
      continue;
    }
    for (const AdmissionId id : holder.WaitingIds()) {
      unlimited.push_back({id, true, Duration(0)});
    }
  }
  std::erase_if(m_holders,
                [&](const auto& item) { return !HasLimit(item.first); });
  Report(unlimited);
}

LeaseHolder& TeamLeases::HolderFor(const TeamName& team) {
  return m_holders.try_emplace(team, team, m_limits.at(team)).first->second;
}

void TeamLeases::Request(AdmissionId id, const TeamName& team, int64_t cost) {
  if (!HasLimit(team)) return Report({{id, true, Duration(0)}});
  HolderFor(team).Add(id, cost, m_clock->Now());
  Advance(team);
}

void TeamLeases::Cancel(AdmissionId id, const TeamName& team) {
  const auto found = m_holders.find(team);
  if (found != m_holders.end()) found->second.Cancel(id);
}

void TeamLeases::Charge(const TeamName& team, int64_t cost) {
  if (HasLimit(team)) HolderFor(team).Charge(cost, m_clock->Now());
}

void TeamLeases::Refund(const TeamName& team, int64_t cost) {
  if (HasLimit(team)) HolderFor(team).Refund(cost);
}

void TeamLeases::Report(const std::vector<AdmissionOutcome>& outcomes) {
  for (const AdmissionOutcome& outcome : outcomes) {
    m_events->OnAdmissionDecided(outcome);
  }
}

void TeamLeases::Advance(const TeamName& team) {
  // An event may lead to further calls, so that the holder is looked up anew.
  // An answer to itself may call for one more ask of fewer units.
  constexpr int kMaxRounds = 4;
  for (int round = 0; round < kMaxRounds; ++round) {
    const auto found = m_holders.find(team);
    if (found == m_holders.end()) return;
    LeaseHolder& holder = found->second;
    const TimePoint now = m_clock->Now();
    const VmName coordinator = m_choice.Choose(team.Value(), now);
    if (!coordinator.IsValid()) {
      return Report(
          holder.SettleAlone(m_choice.EntryCount(now), now, m_random));
    }
    std::vector<AdmissionOutcome> outcomes = holder.Settle(coordinator, now);
    const bool is_self = coordinator == m_options.self;
    const auto ask = holder.DueAsk(coordinator, is_self, ++m_last_id, now);
    if (ask.has_value() && !is_self) m_peers->Send(coordinator, *ask);
    if (ask.has_value() && is_self) {
      holder.OnAnswer(m_options.self,
                      m_coordinator.Decide(m_options.self, *ask, now), now);
    }
    Report(outcomes);
    if (!ask.has_value() || !is_self) return;
  }
}

void TeamLeases::Tick() {
  const TimePoint now = m_clock->Now();
  const bool stalled = now - std::exchange(m_last_tick, now) > kMaxStall;
  m_choice.Tick(now);
  if (IsSeed()) {
    m_coordinator.Tick(now);
    PassOnSecondaryGrants();
  }
  const bool returns_due = now >= m_next_returns_at;
  if (returns_due) m_next_returns_at = now + kReturnInterval;
  std::vector<TeamName> teams;
  for (auto& [team, holder] : m_holders) {
    if (stalled) holder.DropLeases();
    if (const auto silent = holder.TakeUnanswered(now)) {
      m_choice.RecordNoAnswer(*silent, now);
    }
    if (returns_due) SendReturns(team, &holder);
    // Without requests that wait, a request or the next returns are in time.
    if (returns_due || holder.HasWaiting()) teams.push_back(team);
  }
  for (const TeamName& team : teams) Advance(team);
  std::erase_if(m_holders,
                [&](const auto& item) { return item.second.IsIdle(now); });
}

void TeamLeases::SendReturns(const TeamName& team, LeaseHolder* holder) {
  const TimePoint now = m_clock->Now();
  for (const auto& [vm, amount] :
       holder->DueReturns(m_choice.Choose(team.Value(), now), now)) {
    const TeamLeaseReturn message{team, amount};
    if (vm == m_options.self) {
      m_coordinator.Return(vm, message, now);
    } else {
      m_peers->Send(vm, message);
    }
  }
}

void TeamLeases::PassOnSecondaryGrants() {
  for (const auto& [team, amount] : m_coordinator.DrainSecondaryGrants()) {
    if (HasLimit(team)) HolderFor(team).RecordGrantedToOthers(amount);
  }
}

void TeamLeases::OnPeerUp(const Hello& peer) {
  const TimePoint now = m_clock->Now();
  m_choice.RecordUp(peer.vm, now);
  // An older process would close the connection on which a lease message
  // arrives. It keeps no limits, and is not waited for.
  if (!peer.grants_leases) m_choice.RecordDown(peer.vm, now);
}

void TeamLeases::OnPeerDown(const VmName& vm) {
  m_choice.RecordDown(vm, m_clock->Now());
  std::vector<TeamName> teams;
  for (auto& [team, holder] : m_holders) {
    holder.OnCoordinatorLost(vm);
    if (holder.HasWaiting()) teams.push_back(team);
  }
  for (const TeamName& team : teams) Advance(team);
}

void TeamLeases::OnMessage(const VmName& from, const Message& message) {
  const TimePoint now = m_clock->Now();
  m_choice.RecordMessage(from, now);
  if (const auto* request = std::get_if<TeamLeaseRequest>(&message)) {
    m_peers->Send(from, m_coordinator.Decide(from, *request, now));
  } else if (const auto* answer = std::get_if<TeamLeaseAnswer>(&message)) {
    m_choice.RecordAnswer(from);
    const auto found = m_holders.find(answer->team);
    const bool is_expected =
        found != m_holders.end() && found->second.OnAnswer(from, *answer, now);
    if (is_expected) return Advance(answer->team);
    if (answer->granted == 0) return;
    m_peers->Send(from, TeamLeaseReturn{answer->team, answer->granted});
  } else if (const auto* units = std::get_if<TeamLeaseReturn>(&message)) {
    m_coordinator.Return(from, *units, now);
  }
}

VmName TeamLeases::CoordinatorOf(const TeamName& team) const {
  return m_choice.Choose(team.Value(), m_clock->Now());
}

const TeamBucket* TeamLeases::FindBucket(const TeamName& team) const {
  return m_coordinator.Find(team);
}

int64_t TeamLeases::Balance(const TeamName& team) const {
  const auto found = m_holders.find(team);
  return found == m_holders.end() ? 0 : found->second.Balance(m_clock->Now());
}

std::optional<double> TeamLeases::IsolatedRate(const TeamName& team) const {
  const auto found = m_holders.find(team);
  if (found == m_holders.end() || !found->second.Isolated().has_value()) {
    return std::nullopt;
  }
  return found->second.Isolated()->Rate();
}

}  // namespace burdockhill

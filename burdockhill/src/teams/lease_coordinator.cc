#include "burdockhill/src/teams/lease_coordinator.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// After a longer stall another seed may have been the coordinator. Shorter ones
// are covered by what that seed reports.
constexpr Duration kMaxStall = std::chrono::seconds(2);

}  // namespace

void LeaseCoordinator::SetLimits(const std::map<TeamName, LimitBudget>& limits,
                                 TimePoint now) {
  std::erase_if(m_teams,
                [&](const auto& item) { return !limits.contains(item.first); });
  for (const auto& [name, budget] : limits) {
    // A team that is new has used nothing, unless this seed is new as well.
    const double level = std::min(
        budget.Capacity(),
        budget.InitialLevel() + budget.Rate() * Seconds(now - m_settled_at));
    const auto [added, is_new] =
        m_teams.try_emplace(name, Team{TeamBucket(budget, level, now)});
    Team& team = added->second;
    if (is_new) {
      team.is_first = m_choice->IsFirst(name.Value(), now);
    } else {
      team.bucket.SetBudget(budget, now);
    }
    team.bucket.SetTerms(TermsFor(team, now), now);
  }
}

TeamBucket::Terms LeaseCoordinator::TermsFor(const Team& team,
                                             TimePoint now) const {
  const LimitBudget& budget = team.bucket.Budget();
  const double heard = m_choice->HeardPart(now);
  if (!team.is_first) {
    const double capacity = heard * budget.SecondaryCapacity();
    return {heard * budget.SecondaryRate(), capacity, capacity};
  }
  // Entries that are silent and have no seed go on with what they were granted.
  double of_silent = 0;
  for (const VmName& vm : m_silent) {
    of_silent +=
        budget.IsolatedRate(team.bucket.GrantedRate(vm, now), m_entries);
  }
  const double rate =
      std::min(heard * budget.Rate(), std::max(0.0, budget.Rate() - of_silent));
  return {rate, heard * budget.Capacity(), heard * budget.Burst()};
}

void LeaseCoordinator::UpdateTerms(const TeamName& name, Team* team,
                                   TimePoint now) {
  team->is_first = m_choice->IsFirst(name.Value(), now);
  team->bucket.SetTerms(TermsFor(*team, now), now);
}

TeamLeaseAnswer LeaseCoordinator::Decide(const VmName& from,
                                         const TeamLeaseRequest& request,
                                         TimePoint now) {
  const auto found = m_teams.find(request.team);
  TeamLeaseAnswer answer;
  if (found == m_teams.end()) {
    answer.id = request.id;
    answer.team = request.team;
    answer.granted = request.needed;
    answer.lifetime = TeamBucket::kLeaseLifetime;
  } else {
    answer = found->second.bucket.Decide(from, request, now);
    if (!found->second.is_first && answer.granted > 0) {
      m_secondary_grants[request.team] += answer.granted;
    }
  }
  answer.entries = static_cast<uint32_t>(m_choice->EntryCount(now));
  return answer;
}

void LeaseCoordinator::Return(const VmName& from,
                              const TeamLeaseReturn& message, TimePoint now) {
  const auto found = m_teams.find(message.team);
  if (found == m_teams.end()) return;
  found->second.bucket.Return(from, static_cast<double>(message.amount), now);
}

std::map<TeamName, int64_t> LeaseCoordinator::DrainSecondaryGrants() {
  return std::exchange(m_secondary_grants, {});
}

void LeaseCoordinator::Tick(TimePoint now) {
  const Duration since_tick = now - std::exchange(m_last_tick, now);
  if (since_tick >= kMaxStall) {
    for (auto& [name, team] : m_teams) team.bucket.SkipRefill(now);
  }
  std::vector<VmName> heard = m_choice->HeardSeeds(now);
  std::vector<VmName> silent = m_choice->SilentEntries(now);
  const int entries = m_choice->EntryCount(now);
  const bool is_settled = heard == m_heard_seeds;
  const bool same_parts =
      silent == m_silent && (silent.empty() || entries == m_entries);
  m_entries = entries;
  if (is_settled && same_parts) return;
  if (!is_settled) m_settled_at = now;
  m_heard_seeds = std::move(heard);
  m_silent = std::move(silent);
  for (auto& [name, team] : m_teams) UpdateTerms(name, &team, now);
}

const TeamBucket* LeaseCoordinator::Find(const TeamName& team) const {
  const auto found = m_teams.find(team);
  return found == m_teams.end() ? nullptr : &found->second.bucket;
}

}  // namespace burdockhill

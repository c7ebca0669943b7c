#include "burdockhill/src/teams/team_bucket.h"

#include <algorithm>
#include <cmath>

namespace burdockhill {

namespace {

constexpr Duration kExpiryInterval = std::chrono::milliseconds(100);
// While the bucket is empty, entries hold at most the more of this part of the
// headroom and the units of this time. Otherwise a new coordinator, whose
// bucket is empty, would admit little until they hold all of the headroom: with
// a limit of 29,000/s and 31 entries, half of the limit for 1.5 s.
constexpr double kMinHeldPart = 0.25;
constexpr double kMinHeldSeconds = 0.25;
// Entries are forgotten that have got nothing for so many windows.
constexpr int kForgetWindows = 4;

}  // namespace

void TeamBucket::SetBudget(const LimitBudget& budget, TimePoint now) {
  Refill(now);
  // Keeps what was spent: a team that has used nothing has a full bucket.
  m_level += std::max(0.0, budget.Capacity() - m_budget.Capacity());
  m_budget = budget;
}

void TeamBucket::SetTerms(const Terms& terms, TimePoint now) {
  Refill(now);
  m_terms = terms;
  m_level = std::min(m_level, m_terms.capacity);
}

double TeamBucket::Level(TimePoint now) const {
  return std::min(
      std::max(m_terms.capacity, m_level),
      m_level + m_terms.rate * std::max(Seconds(now - m_refilled_at), 0.0));
}

void TeamBucket::Refill(TimePoint now) {
  m_level = Level(now);
  m_refilled_at = std::max(m_refilled_at, now);
}

void TeamBucket::SetHeld(Entry* entry, double held, TimePoint until) {
  m_held += held - entry->held;
  entry->held = held;
  entry->held_until = until;
}

void TeamBucket::Expire(TimePoint now) {
  if (now < m_next_expiry_at) return;
  m_next_expiry_at = now + kExpiryInterval;
  for (auto& [vm, entry] : m_entries) {
    if (now >= entry.held_until) SetHeld(&entry, 0, entry.held_until);
  }
  std::erase_if(m_entries, [&](const auto& item) {
    return now - item.second.held_until > kForgetWindows * m_budget.Window();
  });
}

double TeamBucket::MaxHeld() const {
  const double headroom = m_budget.Headroom();
  const double least = std::min(
      headroom,
      std::max(kMinHeldPart * headroom, kMinHeldSeconds * m_budget.Rate()));
  if (m_level >= m_budget.Burst()) return headroom;
  return least + (headroom - least) * std::max(m_level, 0.0) / m_budget.Burst();
}

TeamLeaseAnswer TeamBucket::Decide(const VmName& from,
                                   const TeamLeaseRequest& request,
                                   TimePoint now) {
  Refill(now);
  Expire(now);
  m_level -= static_cast<double>(request.used_elsewhere);
  Entry& entry = m_entries.try_emplace(from, m_budget.Window()).first->second;
  const TimePoint until = now + kLeaseLifetime;
  SetHeld(&entry, static_cast<double>(request.held), until);
  TeamLeaseAnswer answer;
  answer.id = request.id;
  answer.team = request.team;
  answer.lifetime = kLeaseLifetime;
  const auto needed = static_cast<double>(request.needed);
  const double required = std::min(needed, m_terms.full);
  if (needed > 0 && m_level < required) {
    answer.wait = m_terms.rate > 0
                      ? FromSeconds((required - m_level) / m_terms.rate)
                      : m_budget.Window();
    answer.available = static_cast<int64_t>(std::floor(m_level));
    return answer;
  }
  const double extra = std::floor(
      std::max(0.0, std::min({static_cast<double>(request.wanted) - needed,
                              MaxHeld() - m_held, m_level - needed})));
  answer.granted = request.needed + static_cast<int64_t>(extra);
  m_level -= needed + extra;
  SetHeld(&entry, entry.held + extra, until);
  entry.granted.Add(needed + extra, now);
  return answer;
}

void TeamBucket::Return(const VmName& from, double amount, TimePoint now) {
  Refill(now);
  m_level = std::min(std::max(m_level, m_terms.capacity), m_level + amount);
  const auto found = m_entries.find(from);
  if (found != m_entries.end()) found->second.granted.Add(-amount, now);
}

double TeamBucket::GrantedRate(const VmName& vm, TimePoint now) const {
  const auto found = m_entries.find(vm);
  return found == m_entries.end() ? 0 : found->second.granted.PerSecond(now);
}

}  // namespace burdockhill

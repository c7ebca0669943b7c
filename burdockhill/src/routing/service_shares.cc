#include "burdockhill/src/routing/service_shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace burdockhill {

namespace {

// Several times the length of a stream, so that the service of a team that
// sends few streams does not seem to end between two of them.
constexpr double kHalfLifeSeconds = 10;
// Share of the mean service that each team and each priority is to receive.
constexpr double kMinShare = 0.25;
// Recent service below which a team is forgotten.
constexpr double kForgottenTokens = 1;
constexpr Duration kExpiryInterval = std::chrono::seconds(10);
// Weight of the newest request in the mean request.
constexpr double kNewestWeight = 0.03;

}  // namespace

double ServiceShares::DecayingSum::At(TimePoint now) const {
  const double seconds = std::chrono::duration<double>(now - at).count();
  return tokens * std::exp2(-std::max(seconds, 0.0) / kHalfLifeSeconds);
}

void ServiceShares::DecayingSum::Add(double added, TimePoint now) {
  tokens = std::max(At(now) + added, 0.0);
  at = now;
}

void ServiceShares::Charge(const TeamName& team, int priority, double tokens,
                           TimePoint now) {
  m_teams[team].Add(tokens, now);
  m_priorities[priority].Add(tokens, now);
  if (tokens > 0) {
    m_mean_tokens =
        m_mean_tokens == 0
            ? tokens
            : m_mean_tokens + kNewestWeight * (tokens - m_mean_tokens);
  }
  Expire(now);
}

double ServiceShares::RecentTokens(const TeamName& team, TimePoint now) const {
  const auto found = m_teams.find(team);
  return found == m_teams.end() ? 0 : found->second.At(now);
}

template <typename Key>
bool ServiceShares::IsShort(const std::map<Key, DecayingSum>& all,
                            const Key& key, TimePoint now) {
  double sum = 0;
  double own = 0;
  size_t count = all.contains(key) ? 0 : 1;
  for (const auto& [other, recent] : all) {
    const double tokens = recent.At(now);
    if (other == key) own = tokens;
    if (other == key || tokens >= kForgottenTokens) ++count;
    sum += tokens;
  }
  return own < kMinShare * sum / static_cast<double>(count);
}

bool ServiceShares::IsTeamShort(const TeamName& team, TimePoint now) const {
  return IsShort(m_teams, team, now);
}

bool ServiceShares::IsPriorityShort(int priority, TimePoint now) const {
  return IsShort(m_priorities, priority, now);
}

void ServiceShares::Expire(TimePoint now) {
  if (now < m_next_expiry_at) return;
  m_next_expiry_at = now + kExpiryInterval;
  std::erase_if(m_teams, [&](const auto& team) {
    return team.second.At(now) < kForgottenTokens;
  });
}

}  // namespace burdockhill

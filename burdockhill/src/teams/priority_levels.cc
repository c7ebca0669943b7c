#include "burdockhill/src/teams/priority_levels.h"

#include <algorithm>

namespace burdockhill {

namespace {

void SortDistinct(std::vector<int>* priorities) {
  std::sort(priorities->begin(), priorities->end());
  priorities->erase(std::unique(priorities->begin(), priorities->end()),
                    priorities->end());
}

// The number of known priorities that are more urgent, for one that is not
// among them the rank of the next less urgent one.
size_t RankOf(int priority, const std::vector<int>& known) {
  if (known.empty()) return 0;
  const auto at = std::lower_bound(known.begin(), known.end(), priority);
  return std::min(static_cast<size_t>(at - known.begin()), known.size() - 1);
}

}  // namespace

PriorityLevels::PriorityLevels(const std::vector<std::optional<int>>& of_teams,
                               const std::vector<int>& of_routes)
    : m_routes(of_routes) {
  for (const std::optional<int>& priority : of_teams) {
    if (priority.has_value()) m_teams.push_back(*priority);
  }
  SortDistinct(&m_teams);
  SortDistinct(&m_routes);
}

uint8_t PriorityLevels::LevelOf(std::optional<int> team, int route) const {
  if (m_teams.empty()) {
    return static_cast<uint8_t>(std::clamp(route, 0, kCount - 1));
  }
  constexpr size_t kLevels = kCount;
  const size_t teams = m_teams.size();
  const size_t routes = std::max<size_t>(m_routes.size(), 1);
  const size_t team_rank = RankOf(team.value_or(m_teams.back()), m_teams);
  const size_t route_rank = RankOf(route, m_routes);
  if (teams * routes <= kLevels) {
    return static_cast<uint8_t>(team_rank * routes + route_rank);
  }
  const size_t first = team_rank * kLevels / teams;
  const size_t end = std::max((team_rank + 1) * kLevels / teams, first + 1);
  return static_cast<uint8_t>(first + route_rank * (end - first) / routes);
}

}  // namespace burdockhill

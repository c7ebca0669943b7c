#ifndef BURDOCKHILL_SRC_TEAMS_PRIORITY_LEVELS_H_
#define BURDOCKHILL_SRC_TEAMS_PRIORITY_LEVELS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace burdockhill {

// Maps the priorities of teams and routes to the levels of the engines, such
// that a request never gets a more urgent level than one with a more urgent
// priority. The priority of the team counts first, that of the route second; 0
// is the most urgent of each.
//
// Priorities are compared by their rank among those of the configuration. Up to
// ten pairs of ranks get a level each. Beyond that, each team priority gets an
// even share of the levels, among which the priorities of the routes are
// divided: routes of one team share a level before teams do.
class PriorityLevels {
 public:
  static constexpr int kCount = 10;

  // Without teams that set a priority.
  PriorityLevels() = default;
  PriorityLevels(const std::vector<std::optional<int>>& of_teams,
                 const std::vector<int>& of_routes);

  // The level from 0 to 9 of a request. A `team` of nullopt is one that sets no
  // priority, or none at all: it counts as the least urgent priority that a
  // team sets. If no team sets one, the level is the route's priority, limited
  // to the range of the levels.
  uint8_t LevelOf(std::optional<int> team, int route) const;

 private:
  // Distinct priorities in ascending order.
  std::vector<int> m_teams;
  std::vector<int> m_routes;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TEAMS_PRIORITY_LEVELS_H_

#ifndef BURDOCKHILL_SRC_TEAMS_TEAM_DIRECTORY_H_
#define BURDOCKHILL_SRC_TEAMS_TEAM_DIRECTORY_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "burdockhill/src/teams/team.h"

namespace burdockhill {

// A fault in the teams of a configuration. Names the team, never a key.
struct TeamFault {
  TeamName team;  // Invalid if the team has no name.
  std::string text;
};

// The teams of one configuration, by name and by API key.
class TeamDirectory {
 public:
  // Replaces the teams. Returns the faults that were found: a team without a
  // name is left out, of two teams of one name the first is kept, and so is
  // the first team of a key that two teams have. A team has at most one fault
  // of each kind, however many keys it has.
  std::vector<TeamFault> Apply(std::vector<Team> teams);

  // The team that holds the key, or nullptr.
  const Team* FindByKey(std::string_view key) const;
  const Team* FindByDigest(const KeyDigest& digest) const;
  // The team, or nullptr.
  const Team* Find(const TeamName& name) const;

  // In the order of the names.
  const std::map<TeamName, Team>& Teams() const { return m_teams; }
  size_t KeyCount() const { return m_names_by_key.size(); }

 private:
  void AddKeys(const Team& team, std::vector<TeamFault>* faults);

  std::map<TeamName, Team> m_teams;
  std::unordered_map<KeyDigest, TeamName> m_names_by_key;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TEAMS_TEAM_DIRECTORY_H_

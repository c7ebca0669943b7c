#include "burdockhill/src/teams/team_directory.h"

#include <utility>

namespace burdockhill {

std::vector<TeamFault> TeamDirectory::Apply(std::vector<Team> teams) {
  std::vector<TeamFault> faults;
  m_teams.clear();
  m_names_by_key.clear();
  for (size_t i = 0; i < teams.size(); ++i) {
    Team& team = teams[i];
    if (!team.name.IsValid()) {
      faults.push_back({team.name, "team " + std::to_string(i + 1) +
                                       " of the list has no name and is left "
                                       "out"});
      continue;
    }
    const TeamName name = team.name;
    const auto [added, is_new] = m_teams.try_emplace(name, std::move(team));
    if (!is_new) {
      faults.push_back({name, "the name occurs twice; the first is kept"});
      continue;
    }
    AddKeys(added->second, &faults);
  }
  return faults;
}

void TeamDirectory::AddKeys(const Team& team, std::vector<TeamFault>* faults) {
  size_t repeated = 0;
  size_t of_others = 0;
  TeamName first_other;
  for (const KeyDigest& key : team.keys) {
    const auto [owner, is_new] = m_names_by_key.try_emplace(key, team.name);
    if (is_new) continue;
    if (owner->second == team.name) {
      ++repeated;
    } else if (++of_others == 1) {
      first_other = owner->second;
    }
  }
  if (repeated > 0) {
    faults->push_back(
        {team.name, std::to_string(repeated) + " of its keys occur twice"});
  }
  if (of_others > 0) {
    faults->push_back({team.name, std::to_string(of_others) +
                                      " of its keys belong to other teams, "
                                      "the first to " +
                                      first_other.Value()});
  }
}

const Team* TeamDirectory::FindByKey(std::string_view key) const {
  return FindByDigest(KeyDigest::Of(key));
}

const Team* TeamDirectory::FindByDigest(const KeyDigest& digest) const {
  const auto found = m_names_by_key.find(digest);
  return found == m_names_by_key.end() ? nullptr : Find(found->second);
}

const Team* TeamDirectory::Find(const TeamName& name) const {
  const auto found = m_teams.find(name);
  return found == m_teams.end() ? nullptr : &found->second;
}

}  // namespace burdockhill

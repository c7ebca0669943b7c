#ifndef BURDOCKHILL_SRC_TEAMS_LEASE_COORDINATOR_H_
#define BURDOCKHILL_SRC_TEAMS_LEASE_COORDINATOR_H_

#include <map>
#include <vector>

#include "burdockhill/src/base/id.h"
#include "burdockhill/src/peer/message.h"
#include "burdockhill/src/teams/coordinator_choice.h"
#include "burdockhill/src/teams/team_bucket.h"

namespace burdockhill {

// The buckets of all teams with a limit at one seed, which grants leases for
// the teams that it coordinates, and a small part for the others when an entry
// does not reach their coordinator.
class LeaseCoordinator {
 public:
  // `choice` must outlive this object.
  LeaseCoordinator(const CoordinatorChoice* choice, TimePoint now)
      : m_choice(choice), m_settled_at(now), m_last_tick(now) {}

  // Limits of all teams that have one. Teams that are not among them are
  // dropped.
  void SetLimits(const std::map<TeamName, LimitBudget>& limits, TimePoint now);

  // Grants all that is needed to a team without a limit: the sender has another
  // configuration.
  TeamLeaseAnswer Decide(const VmName& from, const TeamLeaseRequest& request,
                         TimePoint now);
  void Return(const VmName& from, const TeamLeaseReturn& message,
              TimePoint now);
  // What was granted for teams that another seed coordinates, since the last
  // call; to be reported to that one.
  std::map<TeamName, int64_t> DrainSecondaryGrants();

  // Notices which entries are heard, and whether this process has stood still.
  // Call once per iteration of the event loop, after that of `choice`.
  void Tick(TimePoint now);

  // The bucket of the team, or nullptr.
  const TeamBucket* Find(const TeamName& team) const;

 private:
  struct Team {
    TeamBucket bucket;
    bool is_first = false;  // See CoordinatorChoice::IsFirst.
  };

  TeamBucket::Terms TermsFor(const Team& team, TimePoint now) const;
  void UpdateTerms(const TeamName& name, Team* team, TimePoint now);

  const CoordinatorChoice* m_choice;
  std::map<TeamName, Team> m_teams;
  std::map<TeamName, int64_t> m_secondary_grants;
  // As of the latest update of the terms.
  std::vector<VmName> m_heard_seeds;
  std::vector<VmName> m_silent;
  int m_entries = 0;
  // Since when the same seeds are heard: what was used before is not known.
  TimePoint m_settled_at;
  TimePoint m_last_tick;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TEAMS_LEASE_COORDINATOR_H_

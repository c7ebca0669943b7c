#ifndef BURDOCKHILL_SRC_TEAMS_TEAM_LEASES_H_
#define BURDOCKHILL_SRC_TEAMS_TEAM_LEASES_H_

#include <map>
#include <optional>
#include <vector>

#include "burdockhill/src/base/random.h"
#include "burdockhill/src/peer/peer_link.h"
#include "burdockhill/src/teams/coordinator_choice.h"
#include "burdockhill/src/teams/lease_coordinator.h"
#include "burdockhill/src/teams/lease_holder.h"
#include "burdockhill/src/teams/team_directory.h"

namespace burdockhill {

// Receives the decisions of TeamLeases.
class AdmissionEvents {
 public:
  virtual ~AdmissionEvents() = default;
  virtual void OnAdmissionDecided(const AdmissionOutcome& outcome) = 0;
};

// An entry's part in keeping the limits of all teams together with the other
// entries: its own leases and, if it is a seed, those that it grants.
// Design: docs/design/team-limits.md.
class TeamLeases : public PeerEvents {
 public:
  struct Options {
    VmName self;
    std::vector<VmName> seeds;
    LimitTolerance tolerance;
  };

  TeamLeases(const Options& options, const Clock* clock, Random* random,
             PeerLink* peers, AdmissionEvents* events);

  // The teams of another configuration, whose limits hold from now on. Requests
  // of teams without a limit are admitted.
  void SetTeams(const TeamDirectory& teams);
  bool HasLimit(const TeamName& team) const { return m_limits.contains(team); }

  // Asks to admit a request of this team and cost. Exactly one event follows,
  // before this call returns or later, unless the request is cancelled.
  void Request(AdmissionId id, const TeamName& team, int64_t cost);
  void Cancel(AdmissionId id, const TeamName& team);
  // An admitted request runs once more. Never refused.
  void Charge(const TeamName& team, int64_t cost);
  // An admitted request has ended without having run.
  void Refund(const TeamName& team, int64_t cost);

  // Call once per iteration of the event loop.
  void Tick();

  void OnPeerUp(const Hello& peer) override;
  void OnPeerDown(const VmName& vm) override;
  void OnMessage(const VmName& from, const Message& message) override;

  // For operators. The coordinator is invalid if no seed is reached.
  VmName CoordinatorOf(const TeamName& team) const;
  // The team's bucket at this entry; nullptr if it is no seed or the team has
  // no limit.
  const TeamBucket* FindBucket(const TeamName& team) const;
  // Units held in advance.
  int64_t Balance(const TeamName& team) const;
  // What this entry uses of the limit by itself, in units a second; nullopt if
  // it has a coordinator.
  std::optional<double> IsolatedRate(const TeamName& team) const;

 private:
  LeaseHolder& HolderFor(const TeamName& team);
  // Decides what can be decided, and sends the ask that is due.
  void Advance(const TeamName& team);
  // Reports outcomes; the holder may be gone afterwards.
  void Report(const std::vector<AdmissionOutcome>& outcomes);
  void SendReturns(const TeamName& team, LeaseHolder* holder);
  void PassOnSecondaryGrants();
  bool IsSeed() const { return m_is_seed; }

  Options m_options;
  const Clock* m_clock;
  Random* m_random;
  PeerLink* m_peers;
  AdmissionEvents* m_events;
  bool m_is_seed;
  CoordinatorChoice m_choice;
  LeaseCoordinator m_coordinator;
  std::map<TeamName, LimitBudget> m_limits;
  std::map<TeamName, LeaseHolder> m_holders;  // Of teams with requests here.
  uint64_t m_last_id = 0;
  TimePoint m_last_tick;
  TimePoint m_next_returns_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TEAMS_TEAM_LEASES_H_

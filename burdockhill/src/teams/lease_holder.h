#ifndef BURDOCKHILL_SRC_TEAMS_LEASE_HOLDER_H_
#define BURDOCKHILL_SRC_TEAMS_LEASE_HOLDER_H_

#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "burdockhill/src/base/id.h"
#include "burdockhill/src/peer/message.h"
#include "burdockhill/src/teams/demand_estimate.h"
#include "burdockhill/src/teams/isolated_share.h"

namespace burdockhill {

// A request that asks to be admitted within its team's limit.
using AdmissionId = NumericId<struct AdmissionIdTag>;

// What was decided about a request.
struct AdmissionOutcome {
  AdmissionId id;
  bool admitted = false;
  Duration retry_after{0};  // If it is refused.
};

// The leases that an entry holds for one team, and the requests that wait for
// one. Asks ahead of the demand, one ask at a time, so that few requests wait.
class LeaseHolder {
 public:
  LeaseHolder(const TeamName& team, const LimitBudget& budget)
      : m_team(team), m_budget(budget), m_granted(budget.Window()) {}

  // The limit has changed; leases shrink with it.
  void SetBudget(const LimitBudget& budget);
  const LimitBudget& Budget() const { return m_budget; }

  // A request has arrived. It waits until an outcome names it.
  void Add(AdmissionId id, int64_t cost, TimePoint now);
  void Cancel(AdmissionId id);
  // A request that was admitted runs once more. Never refused.
  void Charge(int64_t cost, TimePoint now);
  // A request that was admitted has not run.
  void Refund(int64_t cost) { m_refund += cost; }
  // This entry has granted leases of the team instead of its coordinator.
  void RecordGrantedToOthers(int64_t amount) { m_granted_to_others += amount; }

  // Decides the requests for which the leases suffice, or for which the
  // coordinator has too little.
  std::vector<AdmissionOutcome> Settle(const VmName& coordinator,
                                       TimePoint now);
  // Decides all requests that wait, as no coordinator is reached. `entries` is
  // the number of entries that this one knows.
  std::vector<AdmissionOutcome> SettleAlone(int entries, TimePoint now,
                                            Random* random);

  // The ask that is due, if any. `is_self`: this entry is the coordinator.
  std::optional<TeamLeaseRequest> DueAsk(const VmName& coordinator,
                                         bool is_self, uint64_t id,
                                         TimePoint now);
  // False if the answer is not to the latest ask; what it grants is then to be
  // returned.
  bool OnAnswer(const VmName& from, const TeamLeaseAnswer& answer,
                TimePoint now);
  // The coordinator that has not answered in time; the ask is given up.
  std::optional<VmName> TakeUnanswered(TimePoint now);
  // The connection to the coordinator has ended.
  void OnCoordinatorLost(const VmName& coordinator);
  // What is to be returned to the coordinator of the lease, or, of refunds, to
  // the present one.
  std::vector<std::pair<VmName, int64_t>> DueReturns(const VmName& coordinator,
                                                     TimePoint now);
  // This process has stood still.
  void DropLeases() { m_leases.clear(); }

  int64_t Balance(TimePoint now) const;
  bool HasWaiting() const { return !m_waiting.empty(); }
  std::vector<AdmissionId> WaitingIds() const;
  // Whether nothing would be lost with this object.
  bool IsIdle(TimePoint now) const;
  // The share that is used without a coordinator; nullopt with one.
  const std::optional<IsolatedShare>& Isolated() const { return m_isolated; }

 private:
  struct Lease {
    VmName coordinator;
    int64_t amount = 0;
    TimePoint expires_at{};
  };
  struct Ask {
    uint64_t id = 0;
    VmName coordinator;
    int64_t needed = 0;
    int64_t wanted = 0;
    TimePoint sent_at{};
  };
  struct Waiting {
    AdmissionId id;
    int64_t cost = 0;
    bool asked_for = false;  // In the latest ask.
  };
  // The coordinator had this level, which was too low, and fills at this rate.
  struct Refusal {
    VmName coordinator;
    double level = 0;
    double rate = 0;
    TimePoint at{};
  };

  bool TryTake(int64_t cost, TimePoint now);
  // Whether the lease covers the request and more frequent ones beside it.
  bool LeavesReserve(const Waiting& item, TimePoint now) const;
  Lease* FindLease(const VmName& coordinator, TimePoint now);
  // Time until the coordinator may be asked for this cost; zero if now.
  Duration TimeUntilAsk(int64_t cost, const VmName& coordinator,
                        TimePoint now) const;
  // The sum that is asked for, of requests that wait.
  int64_t CollectNeeded(const VmName& coordinator, TimePoint now);
  // Units that should be held.
  double Target(TimePoint now) const;
  bool IsAskAheadDue(const VmName& coordinator, double target,
                     TimePoint now) const;
  void EndIsolation(TimePoint now);

  TeamName m_team;
  LimitBudget m_budget;
  std::vector<Lease> m_leases;
  std::deque<Waiting> m_waiting;
  std::optional<Ask> m_ask;
  std::optional<Refusal> m_refusal;
  DemandEstimate m_demand;
  DecayingRate m_granted;
  TimePoint m_last_request_at{};
  TimePoint m_last_ask_at{};
  Duration m_ahead_interval{0};
  TimePoint m_surplus_since{};  // Zero without a surplus.
  int64_t m_used_elsewhere = 0;
  int64_t m_granted_to_others = 0;
  int64_t m_refund = 0;
  int m_entries = 0;  // That the latest coordinator knew.
  std::optional<IsolatedShare> m_isolated;
  TimePoint m_isolated_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TEAMS_LEASE_HOLDER_H_

#ifndef BURDOCKHILL_SRC_TEAMS_TEAM_BUCKET_H_
#define BURDOCKHILL_SRC_TEAMS_TEAM_BUCKET_H_

#include <map>

#include "burdockhill/src/base/id.h"
#include "burdockhill/src/peer/message.h"
#include "burdockhill/src/teams/decaying_rate.h"
#include "burdockhill/src/teams/limit_budget.h"

namespace burdockhill {

// The token bucket of one team at its coordinator, and what entries hold of it
// in advance.
//
// Its capacity is the burst and the headroom, and the units held in advance are
// at most the headroom. So whoever one bucket for all entries would admit finds
// the units here, although others hold some that they do not use.
class TeamBucket {
 public:
  // Time for which granted units may be used, from when they were asked for.
  static constexpr Duration kLeaseLifetime = std::chrono::seconds(1);

  // The part of the limit that this bucket hands out.
  struct Terms {
    double rate = 0;
    double capacity = 0;  // Highest level.
    double full = 0;      // Level at which any request is admitted.
    bool operator==(const Terms&) const = default;
  };

  TeamBucket(const LimitBudget& budget, double level, TimePoint now)
      : m_budget(budget), m_level(level), m_refilled_at(now) {}

  const LimitBudget& Budget() const { return m_budget; }
  // The limit has changed. A higher one is available at once.
  void SetBudget(const LimitBudget& budget, TimePoint now);
  // The terms hold from now on.
  void SetTerms(const Terms& terms, TimePoint now);
  // Nothing is added for the time since the last refill.
  void SkipRefill(TimePoint now) { m_refilled_at = now; }

  TeamLeaseAnswer Decide(const VmName& from, const TeamLeaseRequest& request,
                         TimePoint now);
  // The entry gives units back, which it held or which were taken for requests
  // that have not run. They still count as held until its next request.
  void Return(const VmName& from, double amount, TimePoint now);

  double Level(TimePoint now) const;
  // Units that entries hold in advance, at most.
  double Held() const { return m_held; }
  // Mean units a second that the entry was granted in the last window.
  double GrantedRate(const VmName& vm, TimePoint now) const;
  size_t EntryCount() const { return m_entries.size(); }

 private:
  struct Entry {
    explicit Entry(Duration window) : granted(window) {}
    double held = 0;
    TimePoint held_until{};
    DecayingRate granted;
  };

  void Refill(TimePoint now);
  // Units that entries may hold in advance at the present level.
  double MaxHeld() const;
  void SetHeld(Entry* entry, double held, TimePoint until);
  // Forgets what was held and has expired, and entries without use.
  void Expire(TimePoint now);

  LimitBudget m_budget;
  Terms m_terms;
  double m_level;
  TimePoint m_refilled_at;
  double m_held = 0;  // Sum over the entries.
  std::map<VmName, Entry> m_entries;
  TimePoint m_next_expiry_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TEAMS_TEAM_BUCKET_H_

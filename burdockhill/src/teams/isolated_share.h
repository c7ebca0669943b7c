#ifndef BURDOCKHILL_SRC_TEAMS_ISOLATED_SHARE_H_
#define BURDOCKHILL_SRC_TEAMS_ISOLATED_SHARE_H_

#include <optional>

#include "burdockhill/src/base/random.h"
#include "burdockhill/src/teams/limit_budget.h"

namespace burdockhill {

// What an entry uses of a team's limit while it reaches no seed.
//
// Most entries may save up less than one request costs. Such a request is
// admitted at random, with the probability that keeps the mean, and what was
// saved up is gone in either case: if all entries saved up for one request
// each, they would together exceed the limit.
class IsolatedShare {
 public:
  // The entry was granted `granted_rate` in the last window, and is one of so
  // many.
  IsolatedShare(const LimitBudget& budget, double granted_rate, int entries,
                TimePoint now);

  double Rate() const { return m_rate; }
  // Whether a request of this cost may run now.
  bool TryTake(double cost, TimePoint now, Random* random);
  // Time until a request of this cost can be expected to run.
  Duration TimeUntil(double cost, TimePoint now) const;
  // What was used before the others knew that the entry is cut off, and which
  // thus may have been granted to them too.
  double UsedEarly() const { return m_used_early; }

 private:
  void Refill(TimePoint now);
  bool IsEarly(TimePoint now) const;

  double m_rate;
  double m_early_part;
  double m_capacity;
  TimePoint m_since;
  double m_level = 0;
  TimePoint m_refilled_at;
  double m_used_early = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TEAMS_ISOLATED_SHARE_H_

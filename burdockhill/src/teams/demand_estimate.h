#ifndef BURDOCKHILL_SRC_TEAMS_DEMAND_ESTIMATE_H_
#define BURDOCKHILL_SRC_TEAMS_DEMAND_ESTIMATE_H_

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/teams/decaying_rate.h"

namespace burdockhill {

// What an entry expects to need soon for one team, from its latest requests.
class DemandEstimate {
 public:
  void Add(double cost, TimePoint now);

  // Units that should be at hand: for the demand until the next lease, and for
  // one request of the usual cost if one is likely to arrive soon. Zero if none
  // is expected. Up to `spare` units more are kept for requests that come close
  // together, if that covers some.
  double Target(double spare, TimePoint now) const;
  // Units that a request of this cost should leave to others. Zero unless it
  // costs more than most: the others then come often, and need not wait.
  double ReserveBeside(double cost, TimePoint now) const;

 private:
  DecayingRate m_units{std::chrono::milliseconds(1500)};
  DecayingRate m_requests{std::chrono::seconds(3)};
  double m_mean_cost = 0;  // Of the latest requests; each counts the same.
  // Highest cost, decaying.
  double m_peak = 0;
  TimePoint m_peak_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TEAMS_DEMAND_ESTIMATE_H_

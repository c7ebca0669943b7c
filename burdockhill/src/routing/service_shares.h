#ifndef BURDOCKHILL_SRC_ROUTING_SERVICE_SHARES_H_
#define BURDOCKHILL_SRC_ROUTING_SERVICE_SHARES_H_

#include <map>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/units.h"

namespace burdockhill {

// Accounts the service, in tokens, that teams and priorities have received from
// an engine of late, so that its queue can serve those first that received
// less.
class ServiceShares {
 public:
  // The team has received service of a request, or, if it is negative, less
  // than was charged before.
  void Charge(const TeamName& team, int priority, double tokens, TimePoint now);

  // What the team has received in the last ten seconds or so.
  double RecentTokens(const TeamName& team, TimePoint now) const;
  // Of a request; zero before the first one.
  double MeanRequestTokens() const { return m_mean_tokens; }
  // Whether the team, or all requests of the priority together, have received
  // less than a quarter of the mean service of the teams or priorities that
  // were served of late.
  bool IsTeamShort(const TeamName& team, TimePoint now) const;
  bool IsPriorityShort(int priority, TimePoint now) const;

  size_t TeamCount() const { return m_teams.size(); }

 private:
  // Tokens, halved with each half-life.
  struct DecayingSum {
    double tokens = 0;
    TimePoint at{};
    double At(TimePoint now) const;
    void Add(double added, TimePoint now);
  };
  template <typename Key>
  static bool IsShort(const std::map<Key, DecayingSum>& all, const Key& key,
                      TimePoint now);
  // Forgets teams that have received nothing for a long time.
  void Expire(TimePoint now);

  std::map<TeamName, DecayingSum> m_teams;
  std::map<int, DecayingSum> m_priorities;
  double m_mean_tokens = 0;
  TimePoint m_next_expiry_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_SERVICE_SHARES_H_

#ifndef BURDOCKHILL_SRC_TEAMS_LIMIT_BUDGET_H_
#define BURDOCKHILL_SRC_TEAMS_LIMIT_BUDGET_H_

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/teams/limit_tolerance.h"
#include "burdockhill/src/teams/team.h"

namespace burdockhill {

// How the tolerance of one team's limit is divided among the causes of excess
// (docs/design/team-limits.md). Amounts are in units of the limit.
class LimitBudget {
 public:
  LimitBudget() = default;
  LimitBudget(const TeamLimit& limit, const LimitTolerance& tolerance);

  double Rate() const { return m_rate; }
  double Burst() const { return m_burst; }
  Duration Window() const { return m_window; }
  double Tolerance() const { return m_tolerance; }
  // Most that all entries together hold in advance, and level of the bucket
  // above the burst that makes up for it.
  double Headroom() const { return m_tolerance / 4; }
  double Capacity() const { return m_burst + Headroom(); }
  // Level with which a coordinator starts that does not know what was used.
  double InitialLevel() const { return m_tolerance / 32; }
  // Rate and capacity of a coordinator that reaches one of better rank. It
  // takes over with what it has saved up.
  double SecondaryRate() const;
  double SecondaryCapacity() const;
  // Rate of an entry without a coordinator, of so many entries, that was
  // granted `granted_rate` in the last window.
  double IsolatedRate(double granted_rate, int entries) const;
  // Part of that rate which the entry uses until the others know that it is cut
  // off.
  double EarlyPart() const;
  // Time for which an entry without a coordinator saves up units.
  double IsolatedSeconds() const;

 private:
  // Used before it is known which entries are cut off, by all that are.
  double CutOffAllowance() const { return m_tolerance * 5 / 16; }
  double WindowSeconds() const;

  double m_rate = 0;
  double m_burst = 0;
  Duration m_window{0};
  double m_tolerance = 0;
};

// Number of seconds.
inline double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Duration of so many seconds, an hour at most.
Duration FromSeconds(double seconds);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TEAMS_LIMIT_BUDGET_H_

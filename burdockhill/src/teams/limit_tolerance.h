#ifndef BURDOCKHILL_SRC_TEAMS_LIMIT_TOLERANCE_H_
#define BURDOCKHILL_SRC_TEAMS_LIMIT_TOLERANCE_H_

#include "burdockhill/src/base/clock.h"

namespace burdockhill {

// What may be used above a limit: in any window, the cost of a team's requests
// is at most (rate * window + burst) * (1 + overage) + slack.
struct LimitTolerance {
  Duration window = std::chrono::seconds(8);
  double overage = 0.1;
  double slack = 0;  // Tokens. Limits in requests have none.

  bool operator==(const LimitTolerance&) const = default;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TEAMS_LIMIT_TOLERANCE_H_

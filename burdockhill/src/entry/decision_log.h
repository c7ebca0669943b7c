#ifndef BURDOCKHILL_SRC_ENTRY_DECISION_LOG_H_
#define BURDOCKHILL_SRC_ENTRY_DECISION_LOG_H_

#include <deque>
#include <string>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/table.h"

namespace burdockhill {

// One decision about a request and its reason.
struct Decision {
  TimePoint at{};
  const char* component = "";  // Name of the controller that decided.
  std::string reason;
};

// The decisions about recent requests, from which operators see why a request
// was handled as it was. Bounded: the oldest requests are evicted first.
class DecisionLog {
 public:
  void Record(RequestId id, TimePoint at, const char* component,
              std::string reason);

  // Oldest first; empty if the request is unknown or was evicted.
  std::vector<Decision> FindDecisions(RequestId id) const;

 private:
  Table<RequestId, std::vector<Decision>> m_decisions;
  std::deque<RequestId> m_order;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_DECISION_LOG_H_

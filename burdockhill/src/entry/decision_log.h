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
  const char* part = "";  // Controller that decided.
  std::string reason;
};

// The decisions about recent requests, so that operators can ask why a request
// went as it did. Bounded: the oldest requests are forgotten first.
class DecisionLog {
 public:
  void Note(RequestId id, TimePoint at, const char* part, std::string reason);

  // Oldest first; empty when the request is not known (any more).
  std::vector<Decision> Of(RequestId id) const;

 private:
  Table<RequestId, std::vector<Decision>> m_decisions;
  std::deque<RequestId> m_order;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_DECISION_LOG_H_

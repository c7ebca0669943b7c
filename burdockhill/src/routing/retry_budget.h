#ifndef BURDOCKHILL_SRC_ROUTING_RETRY_BUDGET_H_
#define BURDOCKHILL_SRC_ROUTING_RETRY_BUDGET_H_

#include <deque>
#include <unordered_map>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"

namespace burdockhill {

// Bounds the extra calls to a service by a share of its first calls, so that
// retries cannot multiply an overload. Each node keeps to the share of its own
// requests; together they keep to the share of all.
class RetryBudget {
 public:
  struct Limits {
    double ratio = 0.2;
    Duration window = std::chrono::seconds(10);
    // Extra calls that each node may make in a window without any requests.
    int reserve = 1;
  };

  void SetLimits(const Limits& limits) { m_limits = limits; }

  // A caller's request for the service was accepted for routing.
  void CountRequest(const ServiceName& service, TimePoint now);
  // Whether one more extra call may be made; if so it is counted.
  bool TrySpend(const ServiceName& service, TimePoint now);

 private:
  struct Window {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> extra;
  };

  Window& Current(const ServiceName& service, TimePoint now);

  Limits m_limits;
  std::unordered_map<ServiceName, Window> m_windows;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_RETRY_BUDGET_H_

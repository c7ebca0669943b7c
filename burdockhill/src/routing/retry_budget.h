#ifndef BURDOCKHILL_SRC_ROUTING_RETRY_BUDGET_H_
#define BURDOCKHILL_SRC_ROUTING_RETRY_BUDGET_H_

#include <deque>
#include <unordered_map>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/random.h"

namespace burdockhill {

// Limits the retries for a service to a share of its requests, so that retries
// cannot amplify an overload. Each node limits its retries to the share of its
// own requests, so that all nodes together stay within the share of all
// requests, apart from their reserves. Drawn reserves of up to one retry only
// round the shares to whole numbers, on average neither up nor down, so that
// nodes that start add nothing however many they are and however often they do.
// A node earns the rest of its reserve by requests that needed no retry.
class RetryBudget {
 public:
  struct Limits {
    double ratio = 0.2;
    Duration window = std::chrono::seconds(10);
    // Retries a window that a node may make beyond the share.
    int reserve = 1;
  };

  void SetLimits(const Limits& limits) { m_limits = limits; }
  // The part of each service's reserve that a node has from its start is drawn
  // from now on. For all nodes but a few.
  void DrawReserves(Random* random) { m_random = random; }

  // Records that a caller's request for the service was accepted for routing.
  void CountRequest(const ServiceName& service, TimePoint now);
  // Whether the budget allows a retry now.
  bool Allows(const ServiceName& service, TimePoint now);
  // What this node has counted for the service within the window.
  struct Usage {
    size_t requests = 0;
    size_t retries = 0;
  };
  Usage UsageOf(const ServiceName& service, TimePoint now);
  // Records the retries and returns true, or returns false if the budget does
  // not allow all of them.
  bool TrySpend(const ServiceName& service, TimePoint now, int retries = 1);

 private:
  struct Window {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
    double drawn_share = 1;  // Of the reserve, from the start.
    double earned = 0;       // What was not spent before this window.
  };

  bool HasRoom(const Window& window, int retries) const;
  // The service's window, without what is older than `m_limits.window`.
  Window& CurrentWindow(const ServiceName& service, TimePoint now);

  Limits m_limits;
  Random* m_random = nullptr;  // None if reserves are whole.
  std::unordered_map<ServiceName, Window> m_windows;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_RETRY_BUDGET_H_

#ifndef BURDOCKHILL_EMULATION_REQUEST_RATE_H_
#define BURDOCKHILL_EMULATION_REQUEST_RATE_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/http/message.h"
#include "burdockhill/src/routing/stated_rate_limits.h"

namespace burdockhill::emulation {

// The requests that an emulated upstream has got, and the rate limit that it
// states.
class RequestRate {
 public:
  void Count(TimePoint now) { m_arrivals.push_back(now); }
  // States another limit from now on, or none.
  void SetLimit(RateLimitValue limit) { m_limit = limit; }
  RateLimitValue Limit() const { return m_limit; }
  void StateLimit(http::Head* response) const {
    if (!m_limit.has_value()) return;
    response->headers.Add("Server-Limit", std::to_string(*m_limit));
  }

  int64_t CountBetween(TimePoint from, TimePoint to) const {
    return std::lower_bound(m_arrivals.begin(), m_arrivals.end(), to) -
           std::lower_bound(m_arrivals.begin(), m_arrivals.end(), from);
  }
  // The most requests in any window of this length that lies between the times.
  int64_t MostInWindow(Duration window, TimePoint from, TimePoint to) const {
    int64_t most = 0;
    for (const TimePoint at : m_arrivals) {
      if (at < from || at + window > to) continue;
      most = std::max(most, CountBetween(at, at + window));
    }
    return most;
  }

 private:
  std::vector<TimePoint> m_arrivals;
  RateLimitValue m_limit;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_REQUEST_RATE_H_

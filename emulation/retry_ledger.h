#ifndef BURDOCKHILL_EMULATION_RETRY_LEDGER_H_
#define BURDOCKHILL_EMULATION_RETRY_LEDGER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "burdockhill/src/base/clock.h"

namespace burdockhill::emulation {

// The requests of callers for one service, and the arrivals at its upstreams
// beyond the first of each request, from all entries together.
class RetryLedger {
 public:
  void CountRequest(TimePoint now) { m_requests.push_back(now); }
  void CountArrival(const std::string& request, TimePoint now) {
    ++m_arrivals[request];
    if (m_arrivals[request] > 1) m_retries.push_back(now);
  }
  // Instead of CountArrival, for an accepted call that computes a prompt. The
  // first one of a request is free.
  void CountPrefill(const std::string& request, TimePoint now) {
    if (!m_prefilled.insert(request).second) CountArrival(request, now);
  }

  int64_t RetryCount() const { return static_cast<int64_t>(m_retries.size()); }
  // Of all windows of this length, the most retries beyond `ratio` times the
  // requests of that window, of the one before it, or of the one half a window
  // before it, whichever has most.
  double WorstExcess(Duration window, double ratio) const {
    double worst = 0;
    for (const TimePoint at : m_retries) {
      // The windows that end and begin with this retry.
      for (const TimePoint end : {at, at + window - Duration(1)}) {
        worst = std::max(worst, ExcessAt(end, window, ratio));
      }
    }
    return worst;
  }

 private:
  double ExcessAt(TimePoint end, Duration window, double ratio) const {
    const int64_t requests =
        std::max({CountIn(m_requests, end, window),
                  CountIn(m_requests, end - window / 2, window),
                  CountIn(m_requests, end - window, window)});
    return static_cast<double>(CountIn(m_retries, end, window)) -
           ratio * static_cast<double>(requests);
  }

  // Those later than `end` - `window`, up to `end`. In the order of time.
  static int64_t CountIn(const std::vector<TimePoint>& times, TimePoint end,
                         Duration window) {
    return std::upper_bound(times.begin(), times.end(), end) -
           std::upper_bound(times.begin(), times.end(), end - window);
  }

  std::vector<TimePoint> m_requests;
  std::vector<TimePoint> m_retries;
  std::map<std::string, int64_t> m_arrivals;
  std::set<std::string> m_prefilled;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_RETRY_LEDGER_H_

#ifndef BURDOCKHILL_EMULATION_REQUEST_RATE_H_
#define BURDOCKHILL_EMULATION_REQUEST_RATE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/http/message.h"
#include "burdockhill/src/routing/stated_rate_limits.h"

namespace burdockhill::emulation {

// The requests that an emulated upstream has got, and the rate limit that it
// states.
class RequestRate {
 public:
  struct Arrival {
    TimePoint at{};
    std::string request;  // As the caller set its id.
    // Accepted, and only computes the prompt.
    bool computes_prompt = false;
  };

  void Count(TimePoint now, std::string request) {
    m_arrivals.push_back({now, std::move(request)});
  }
  // What was counted last is accepted, and only computes the prompt.
  void NotePrompt() { m_arrivals.back().computes_prompt = true; }
  // States another limit from now on, or none.
  void SetLimit(RateLimitValue limit) { m_limit = limit; }
  RateLimitValue Limit() const { return m_limit; }
  void StateLimit(http::Head* response) const {
    if (!m_limit.has_value()) return;
    response->headers.Add("Server-Limit", std::to_string(*m_limit));
  }

  // In the order of time.
  const std::vector<Arrival>& Arrivals() const { return m_arrivals; }
  int64_t CountBetween(TimePoint from, TimePoint to) const {
    return std::count_if(m_arrivals.begin(), m_arrivals.end(),
                         [&](const Arrival& arrival) {
                           return arrival.at >= from && arrival.at < to;
                         });
  }
  // The most requests in any window of this length that lies between the times,
  // of those that `counts` accepts.
  template <typename Filter>
  int64_t MostInWindow(Duration window, TimePoint from, TimePoint to,
                       const Filter& counts) const {
    int64_t most = 0;
    std::deque<TimePoint> latest;
    for (const Arrival& arrival : m_arrivals) {
      if (arrival.at < from || arrival.at >= to || !counts(arrival)) continue;
      latest.push_back(arrival.at);
      while (latest.front() + window <= arrival.at) latest.pop_front();
      most = std::max(most, static_cast<int64_t>(latest.size()));
    }
    return most;
  }

 private:
  std::vector<Arrival> m_arrivals;
  RateLimitValue m_limit;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_REQUEST_RATE_H_

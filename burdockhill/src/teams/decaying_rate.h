#ifndef BURDOCKHILL_SRC_TEAMS_DECAYING_RATE_H_
#define BURDOCKHILL_SRC_TEAMS_DECAYING_RATE_H_

#include <algorithm>
#include <cmath>

#include "burdockhill/src/base/clock.h"

namespace burdockhill {

// Mean amount a second in which each amount counts less the longer ago it was
// added: 1/e after the time constant.
class DecayingRate {
 public:
  explicit DecayingRate(Duration time_constant)
      : m_seconds(std::chrono::duration<double>(time_constant).count()) {}

  // A negative amount takes back an earlier one.
  void Add(double amount, TimePoint now) {
    m_rate = std::max(0.0, PerSecond(now) + amount / m_seconds);
    m_at = std::max(m_at, now);
  }
  double PerSecond(TimePoint now) const {
    const std::chrono::duration<double> age = now - m_at;
    return m_rate * std::exp(-std::max(age.count(), 0.0) / m_seconds);
  }

 private:
  double m_seconds;
  double m_rate = 0;
  TimePoint m_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TEAMS_DECAYING_RATE_H_

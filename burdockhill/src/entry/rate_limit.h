#ifndef BURDOCKHILL_SRC_ENTRY_RATE_LIMIT_H_
#define BURDOCKHILL_SRC_ENTRY_RATE_LIMIT_H_

#include <algorithm>

#include "burdockhill/src/base/clock.h"

namespace burdockhill {

// A token bucket that fills with `rate` permits a second, up to `burst`.
class RateLimit {
 public:
  // Sets rate and burst. The bucket is full until the first Take; after that
  // its level stays, up to the new burst.
  void Configure(double rate, double burst) {
    m_rate = rate;
    m_burst = burst;
    if (!m_started) m_saved = burst;
    m_saved = std::min(m_saved, burst);
  }

  // Takes one permit; false if none is available.
  bool Take(TimePoint now) {
    Refill(now);
    if (m_saved < 1.0) return false;
    m_saved -= 1.0;
    return true;
  }

  // Adds permits, up to the burst.
  void Deposit(double units) { m_saved = std::min(m_burst, m_saved + units); }

  // Time until Take can succeed; zero also if the rate is zero.
  Duration TimeToNext() const {
    if (m_saved >= 1.0 || m_rate <= 0.0) return Duration(0);
    constexpr double kMicrosecondsPerSecond = 1e6;
    return Duration(static_cast<int64_t>((1.0 - m_saved) / m_rate *
                                         kMicrosecondsPerSecond));
  }

 private:
  void Refill(TimePoint now) {
    if (m_started) {
      const std::chrono::duration<double> passed = now - m_last;
      m_saved = std::min(m_burst, m_saved + m_rate * passed.count());
    }
    m_started = true;
    m_last = now;
  }

  double m_rate = 0.0;
  double m_burst = 0.0;
  double m_saved = 0.0;
  bool m_started = false;
  TimePoint m_last{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_RATE_LIMIT_H_

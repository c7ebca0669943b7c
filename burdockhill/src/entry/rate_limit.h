#ifndef BURDOCKHILL_SRC_ENTRY_RATE_LIMIT_H_
#define BURDOCKHILL_SRC_ENTRY_RATE_LIMIT_H_

#include <algorithm>

#include "burdockhill/src/base/clock.h"

namespace burdockhill {

// A token bucket that fills with `rate` permits a second, up to `burst`.
class RateLimit {
 public:
  // Sets rate and burst. The bucket is full until the first TryAcquire; after
  // that its level stays, up to the new burst.
  void Configure(double rate, double burst) {
    m_rate = rate;
    m_burst = burst;
    if (!m_started) m_permits = burst;
    m_permits = std::min(m_permits, burst);
  }

  // Takes one permit; false if none is available.
  bool TryAcquire(TimePoint now) {
    Refill(now);
    if (m_permits < 1.0) return false;
    m_permits -= 1.0;
    return true;
  }

  // Adds permits, up to the burst.
  void Deposit(double permits) {
    m_permits = std::min(m_burst, m_permits + permits);
  }

  // Time until TryAcquire can succeed; zero also if the rate is zero.
  Duration TimeUntilAvailable() const {
    if (m_permits >= 1.0 || m_rate <= 0.0) return Duration(0);
    constexpr double kMicrosecondsPerSecond = 1e6;
    return Duration(static_cast<int64_t>((1.0 - m_permits) / m_rate *
                                         kMicrosecondsPerSecond));
  }

 private:
  void Refill(TimePoint now) {
    if (m_started) {
      const std::chrono::duration<double> elapsed_seconds = now - m_last_refill;
      m_permits =
          std::min(m_burst, m_permits + m_rate * elapsed_seconds.count());
    }
    m_started = true;
    m_last_refill = now;
  }

  double m_rate = 0.0;
  double m_burst = 0.0;
  double m_permits = 0.0;
  bool m_started = false;
  TimePoint m_last_refill{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_RATE_LIMIT_H_

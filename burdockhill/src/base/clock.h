#ifndef BURDOCKHILL_SRC_BASE_CLOCK_H_
#define BURDOCKHILL_SRC_BASE_CLOCK_H_

#include <chrono>

namespace burdockhill {

// All durations in the core are whole microseconds.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Source of monotonic time. The daemon uses SystemClock; tests use ManualClock
// and advance it themselves, so that no test depends on real time.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

// Reads the operating system's monotonic clock.
class SystemClock : public Clock {
 public:
  TimePoint Now() const override {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }
};

// Clock whose time changes only when Advance() is called.
class ManualClock : public Clock {
 public:
  TimePoint Now() const override { return m_now; }
  void Advance(Duration step) { m_now += step; }

 private:
  TimePoint m_now{std::chrono::seconds(1000)};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_BASE_CLOCK_H_

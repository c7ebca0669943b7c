#ifndef BURDOCKHILL_SRC_ROUTING_PERMIT_SCHEDULE_H_
#define BURDOCKHILL_SRC_ROUTING_PERMIT_SCHEDULE_H_

#include <optional>

#include "burdockhill/src/base/clock.h"

namespace burdockhill {

// Hands out permits for requests at a rate. A permit may be taken before its
// time, and is then to be used after a wait.
//
// In any time t, at most rate * (t + kCarryOver) + 1 permits become usable.
class PermitSchedule {
 public:
  // How long permits that nobody takes are kept.
  static constexpr Duration kCarryOver = std::chrono::milliseconds(500);

  // What becomes of permits that nobody takes for longer than kCarryOver.
  enum class Unused {
    kKeepOne,  // The next request gets one at once, however low the rate is.
    kLapse,    // All lapse. Needed if many schedules share one limit: kept
               // permits of all of them could be used in the same moment.
  };

  // The first permit becomes usable at `first`.
  PermitSchedule(Unused unused, TimePoint first)
      : m_unused(unused), m_next(first) {}

  // Changes the rate, in permits a second; it must be positive. The wait for
  // the next permit changes in proportion.
  void SetRate(double per_second, TimePoint now);

  // Takes a permit and returns the wait until it may be used; nullopt if the
  // wait would be longer than `max_wait`.
  std::optional<Duration> Take(Duration max_wait, TimePoint now);
  // The wait until the next permit may be used.
  Duration TimeUntilNext(TimePoint now) const;

 private:
  Duration Interval() const;
  TimePoint NextAt(TimePoint now) const;

  Unused m_unused;
  double m_per_second = 0;
  TimePoint m_next;  // When the next permit becomes usable.
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_PERMIT_SCHEDULE_H_

#include "burdockhill/src/routing/permit_schedule.h"

#include <algorithm>
#include <cassert>

namespace burdockhill {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

Duration PermitSchedule::Interval() const {
  assert(m_per_second > 0 && "set the rate first");
  return std::max(
      Duration(static_cast<int64_t>(kMicrosecondsPerSecond / m_per_second)),
      Duration(1));
}

void PermitSchedule::SetRate(double per_second, TimePoint now) {
  assert(per_second > 0);
  if (m_per_second > 0 && m_next > now) {
    const auto wait = static_cast<double>((m_next - now).count());
    m_next =
        now + Duration(static_cast<int64_t>(wait * m_per_second / per_second));
  }
  m_per_second = per_second;
}

TimePoint PermitSchedule::NextAt(TimePoint now) const {
  const TimePoint oldest = now - kCarryOver;
  if (m_next >= oldest) return m_next;
  if (m_unused == Unused::kKeepOne) return oldest;
  // The first permit, at whole intervals after m_next, that has not lapsed.
  const Duration interval = Interval();
  const auto lapsed = (oldest - m_next + interval - Duration(1)) / interval;
  return m_next + lapsed * interval;
}

std::optional<Duration> PermitSchedule::Take(Duration max_wait, TimePoint now) {
  const TimePoint next = NextAt(now);
  if (next - now > max_wait) return std::nullopt;
  m_next = next + Interval();
  return std::max(next - now, Duration(0));
}

Duration PermitSchedule::TimeUntilNext(TimePoint now) const {
  return std::max(NextAt(now) - now, Duration(0));
}

}  // namespace burdockhill

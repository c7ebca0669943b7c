#include "burdockhill/src/teams/limit_budget.h"

#include <algorithm>

#include "burdockhill/src/teams/coordinator_choice.h"

namespace burdockhill {

namespace {

constexpr double kMaxSeconds = 3600;
constexpr double kSecondaryPart = 0.25;
// Part of the even share that an entry without a coordinator uses.
constexpr double kUncoordinatedPart = 0.5;

double KnownCutOffAfter() {
  return Seconds(CoordinatorChoice::kSilenceTimeout);
}

}  // namespace

LimitBudget::LimitBudget(const TeamLimit& limit,
                         const LimitTolerance& tolerance)
    : m_rate(limit.per_second),
      m_burst(std::max(limit.burst, 0.0)),
      m_window(tolerance.window) {
  m_tolerance = tolerance.overage * (m_rate * WindowSeconds() + m_burst);
  if (limit.unit == TeamLimit::Unit::kTokens) m_tolerance += tolerance.slack;
}

double LimitBudget::WindowSeconds() const { return Seconds(m_window); }

double LimitBudget::SecondaryRate() const {
  return std::min(kSecondaryPart * m_rate,
                  CutOffAllowance() / 2 / KnownCutOffAfter());
}

double LimitBudget::SecondaryCapacity() const {
  return std::min(m_burst, CutOffAllowance() / 2);
}

double LimitBudget::IsolatedRate(double granted_rate, int entries) const {
  // What is granted in a window may include the bucket's capacity; this makes
  // the sum over all entries the rate.
  const double of_window = m_rate * WindowSeconds();
  const double scale = of_window / (of_window + Capacity());
  const double granted_part =
      std::min(1.0, 1 - kUncoordinatedPart + m_tolerance / (2 * of_window));
  return kUncoordinatedPart * m_rate / std::max(entries, 1) +
         granted_part * scale * granted_rate;
}

double LimitBudget::EarlyPart() const {
  return std::min(1.0, CutOffAllowance() / (KnownCutOffAfter() * m_rate));
}

double LimitBudget::IsolatedSeconds() const {
  return CutOffAllowance() / m_rate;
}

Duration FromSeconds(double seconds) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Duration(static_cast<int64_t>(std::clamp(seconds, 0.0, kMaxSeconds) *
                                       kMicrosecondsPerSecond));
}

}  // namespace burdockhill

#include "burdockhill/src/teams/demand_estimate.h"

namespace burdockhill {

namespace {

// Weight of the latest request in the mean cost.
constexpr double kCostWeight = 0.1;
constexpr double kPeakSeconds = 2;
// A lease lasts for a quarter of a second and an answer.
constexpr double kSecondsAhead = 0.35;
// From this many requests a second on, one is kept covered.
// More than one request in some time makes up.
constexpr double kMinRequestRate = 0.5;
// The same if the units can be spared, and how many requests more are covered.
constexpr double kMinCheapRequestRate = 0.2;
constexpr double kCloseRequests = 4;
// A request of the highest cost is kept covered if this part of it is used each
// second. A single request in some time makes up less.
constexpr double kMinPeakPart = 0.8;
// Less than this part of the mean cost helps no request.
constexpr double kMinUsefulPart = 0.5;

// A request costs more than most from this many mean costs on.
constexpr double kHighCost = 2;
constexpr double kReserveSeconds = 0.1;

double Decayed(double value, TimePoint at, TimePoint now) {
  const std::chrono::duration<double> age = now - at;
  return value * std::exp(-std::max(age.count(), 0.0) / kPeakSeconds);
}

}  // namespace

void DemandEstimate::Add(double cost, TimePoint now) {
  m_units.Add(cost, now);
  m_requests.Add(1, now);
  m_mean_cost = m_mean_cost == 0
                    ? cost
                    : m_mean_cost + kCostWeight * (cost - m_mean_cost);
  const double peak = Decayed(m_peak, m_peak_at, now);
  if (cost < peak) return;
  m_peak = cost;
  m_peak_at = now;
}

double DemandEstimate::Target(double spare, TimePoint now) const {
  const double rate = m_units.PerSecond(now);
  const double peak = Decayed(m_peak, m_peak_at, now);
  const bool is_cheap = m_mean_cost <= spare;
  double target = kSecondsAhead * rate;
  if (rate >= kMinPeakPart * peak) {
    target += std::max(peak, m_mean_cost);
  } else if (m_requests.PerSecond(now) >=
             (is_cheap ? kMinCheapRequestRate : kMinRequestRate)) {
    target += m_mean_cost;
  }
  if (is_cheap && target >= kMinUsefulPart * m_mean_cost) {
    target += std::min(kCloseRequests * m_mean_cost, spare);
  }
  return target < kMinUsefulPart * m_mean_cost ? 0 : target;
}

double DemandEstimate::ReserveBeside(double cost, TimePoint now) const {
  return cost > kHighCost * m_mean_cost
             ? kReserveSeconds * m_units.PerSecond(now)
             : 0;
}

}  // namespace burdockhill

#include "burdockhill/src/teams/isolated_share.h"

#include <algorithm>

#include "burdockhill/src/teams/coordinator_choice.h"

namespace burdockhill {

IsolatedShare::IsolatedShare(const LimitBudget& budget, double granted_rate,
                             int entries, TimePoint now)
    : m_rate(budget.IsolatedRate(granted_rate, entries)),
      m_early_part(budget.EarlyPart()),
      m_capacity(m_rate * budget.IsolatedSeconds()),
      m_since(now),
      m_refilled_at(now) {}

bool IsolatedShare::IsEarly(TimePoint now) const {
  return now - m_since < CoordinatorChoice::kSilenceTimeout;
}

void IsolatedShare::Refill(TimePoint now) {
  const double rate = IsEarly(now) ? m_rate * m_early_part : m_rate;
  m_level = std::min(m_capacity, m_level + rate * Seconds(now - m_refilled_at));
  m_refilled_at = now;
}

bool IsolatedShare::TryTake(double cost, TimePoint now, Random* random) {
  Refill(now);
  bool taken = m_level >= cost;
  if (taken) {
    m_level -= cost;
  } else if (cost > m_capacity) {
    taken = random->UniformDouble() * cost < m_level;
    m_level = 0;
  }
  if (taken && IsEarly(now)) m_used_early += cost;
  return taken;
}

Duration IsolatedShare::TimeUntil(double cost, TimePoint now) const {
  const double rate = IsEarly(now) ? m_rate * m_early_part : m_rate;
  return FromSeconds((cost - m_level) / rate);
}

}  // namespace burdockhill

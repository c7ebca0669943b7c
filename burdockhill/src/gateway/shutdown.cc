#include "burdockhill/src/gateway/shutdown.h"

#include <algorithm>

namespace burdockhill {

namespace {

// The load balancer sends new callers elsewhere after two failed readiness
// checks, which are a second apart.
constexpr Duration kBalancerDrainTime = std::chrono::milliseconds(2600);
// What is left of the stop time when the last requests are answered: for
// callers to take the answers, and to refuse what arrives meanwhile. A short
// stop time leaves a part of itself.
constexpr Duration kMaxMargin = std::chrono::milliseconds(400);
constexpr int kMarginDivisor = 6;
// Part of the margin in which the process ends.
constexpr int kEndDivisor = 4;
// Requests that were under way when idle connections were closed arrive within
// this time.
constexpr Duration kQuietTime = std::chrono::milliseconds(60);

}  // namespace

void Shutdown::Begin(TimePoint now, Duration stop_time) {
  const Duration margin = std::min(kMaxMargin, stop_time / kMarginDivisor);
  m_began_at = now;
  m_answer_deadline = now + stop_time - margin;
  m_balancer_deadline = std::min(now + kBalancerDrainTime, m_answer_deadline);
  m_end = now + stop_time - margin / kEndDivisor;
}

bool Shutdown::Takes(TimePoint now, TimePoint deadline,
                     Duration expected_time) const {
  if (!HasBegun()) return true;
  if (now >= m_answer_deadline) return false;
  if (deadline <= m_answer_deadline) return true;
  return !CallersAreElsewhere(now) && now + expected_time <= m_answer_deadline;
}

bool Shutdown::CallersAreElsewhere(TimePoint now) const {
  return HasBegun() && now >= m_balancer_deadline;
}

bool Shutdown::IsOver(TimePoint now, bool idle) {
  if (!CallersAreElsewhere(now)) return false;
  if (now >= m_end) return true;
  if (!idle) {
    m_idle_since = TimePoint();
    return false;
  }
  if (m_idle_since == TimePoint()) m_idle_since = now;
  return now - m_idle_since >= kQuietTime;
}

}  // namespace burdockhill

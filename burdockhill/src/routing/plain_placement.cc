#include "burdockhill/src/routing/plain_placement.h"

#include <algorithm>

namespace burdockhill {

namespace {

// Weight of the newest call in the running means.
constexpr double kNewestWeight = 0.1;
// Consecutive failures after which an upstream is ejected.
constexpr int kFailuresToSetAside = 3;
constexpr Duration kFirstAside = std::chrono::milliseconds(700);
constexpr Duration kLongestAside = std::chrono::seconds(4);
// Cost, in calls in flight like all costs below, of being in another
// availability zone.
constexpr double kOtherZoneCost = 0.5;
// Cost of an error rate of 1.
constexpr double kTroubleCost = 12.0;
// Cost of a latency of twice the lowest one, and the upper limit of the cost of
// latency.
constexpr double kSlownessCost = 1.0;
constexpr double kMostSlownessCost = 10.0;
// Age of the latest answer beyond which an upstream's latency does not count.
constexpr Duration kSlownessMemory = std::chrono::seconds(3);
// Larger than any sum of the other costs.
constexpr double kAsideCost = 1e6;

bool IsTrouble(CallResult result) {
  return result != CallResult::kAnswered && result != CallResult::kRejected;
}

}  // namespace

double PlainPlacement::QuickestOf(
    const std::vector<const RegisteredUpstream*>& candidates,
    TimePoint now) const {
  double quickest = 0;
  for (const RegisteredUpstream* upstream : candidates) {
    const auto found = m_evidence.find(upstream->name);
    if (found == m_evidence.end()) continue;
    const Evidence& evidence = found->second;
    if (now - evidence.answered_at > kSlownessMemory) continue;
    if (quickest == 0 || evidence.seconds < quickest) {
      quickest = evidence.seconds;
    }
  }
  return quickest;
}

bool PlainPlacement::IsFull(const RegisteredUpstream& upstream) const {
  const auto most = m_most_calls.find(upstream.service);
  if (most == m_most_calls.end() || most->second == 0) return false;
  const auto found = m_evidence.find(upstream.name);
  return found != m_evidence.end() && found->second.in_flight >= most->second;
}

double PlainPlacement::Cost(const RegisteredUpstream& upstream, double quickest,
                            TimePoint now) const {
  const double zone_cost = upstream.zone == m_zone ? 0 : kOtherZoneCost;
  const auto found = m_evidence.find(upstream.name);
  if (found == m_evidence.end()) return zone_cost;
  const Evidence& evidence = found->second;
  double cost =
      zone_cost + evidence.in_flight + kTroubleCost * evidence.trouble;
  if (quickest > 0 && now - evidence.answered_at <= kSlownessMemory) {
    cost += std::min(kMostSlownessCost,
                     kSlownessCost * (evidence.seconds / quickest - 1));
  }
  if (now < evidence.aside_until) {
    const Duration left = evidence.aside_until - now;
    cost += kAsideCost + static_cast<double>(left.count());
  }
  return cost;
}

const RegisteredUpstream* PlainPlacement::Choose(
    const std::vector<const RegisteredUpstream*>& candidates,
    const std::set<UpstreamName>& excluded, TimePoint now,
    Random* random) const {
  const RegisteredUpstream* best = nullptr;
  double best_cost = 0;
  const double quickest = QuickestOf(candidates, now);
  for (const RegisteredUpstream* upstream : candidates) {
    if (upstream->leaving || excluded.contains(upstream->name)) continue;
    if (IsFull(*upstream)) continue;
    // Random jitter keeps many entries from choosing the same of equal
    // upstreams.
    const double cost = Cost(*upstream, quickest, now) + 0.1 * random->Unit();
    if (best != nullptr && cost >= best_cost) continue;
    best = upstream;
    best_cost = cost;
  }
  return best;
}

void PlainPlacement::NoteStart(const UpstreamName& name) {
  ++m_evidence[name].in_flight;
}

void PlainPlacement::NoteEnd(const UpstreamName& name, CallResult result,
                             Duration took, TimePoint now) {
  const auto found = m_evidence.find(name);
  if (found == m_evidence.end()) return;
  Evidence& evidence = found->second;
  evidence.in_flight = std::max(0, evidence.in_flight - 1);
  const double wrong = IsTrouble(result) ? 1.0 : 0.0;
  evidence.trouble += kNewestWeight * (wrong - evidence.trouble);
  if (result == CallResult::kAnswered) {
    const double seconds = std::chrono::duration<double>(took).count();
    const bool first = evidence.seconds == 0;
    evidence.seconds +=
        (first ? 1 : kNewestWeight) * (seconds - evidence.seconds);
    evidence.answered_at = now;
    evidence.failures_in_row = 0;
    evidence.aside_time = Duration(0);
    return;
  }
  const bool unreachable = result == CallResult::kUnreachable;
  if (result == CallResult::kFailed || unreachable) ++evidence.failures_in_row;
  if (!unreachable && evidence.failures_in_row < kFailuresToSetAside) return;
  evidence.aside_time =
      std::clamp(2 * evidence.aside_time, kFirstAside, kLongestAside);
  evidence.aside_until = now + evidence.aside_time;
}

bool PlainPlacement::IsAside(const UpstreamName& name, TimePoint now) const {
  const auto found = m_evidence.find(name);
  return found != m_evidence.end() && now < found->second.aside_until;
}

void PlainPlacement::Retain(const UpstreamDirectory& directory) {
  std::erase_if(m_evidence, [&](const auto& entry) {
    return directory.Find(entry.first) == nullptr &&
           entry.second.in_flight == 0;
  });
}

}  // namespace burdockhill

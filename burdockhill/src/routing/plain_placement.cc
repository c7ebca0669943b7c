#include "burdockhill/src/routing/plain_placement.h"

#include <algorithm>

namespace burdockhill {

namespace {

// Weight of the newest call in the running means.
constexpr double kNewestWeight = 0.1;
// Consecutive failures after which an upstream is ejected.
constexpr int kFailuresToEject = 3;
constexpr Duration kMinEjectionTime = std::chrono::milliseconds(700);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(4);
// Cost, in calls in flight like all costs below, of being in another
// availability zone.
constexpr double kOtherZoneCost = 0.5;
// Cost of an error rate of 1.
constexpr double kErrorRateCost = 12.0;
// Cost of a latency of twice the lowest one, and the upper limit of the cost of
// latency.
constexpr double kDoubleLatencyCost = 1.0;
constexpr double kMaxLatencyCost = 10.0;
// Age of the latest response beyond which an upstream's latency does not count.
constexpr Duration kLatencyMaxAge = std::chrono::seconds(3);
// Larger than any sum of the other costs.
constexpr double kEjectedCost = 1e6;

bool CountsAsError(CallResult result) {
  return result != CallResult::kCompleted && result != CallResult::kRejected;
}

}  // namespace

double PlainPlacement::LowestLatency(
    const std::vector<const RegisteredUpstream*>& candidates,
    TimePoint now) const {
  double lowest_latency_s = 0;
  for (const RegisteredUpstream* upstream : candidates) {
    const auto found = m_stats.find(upstream->name);
    if (found == m_stats.end()) continue;
    const UpstreamStats& stats = found->second;
    if (now - stats.last_response_at > kLatencyMaxAge) continue;
    if (lowest_latency_s == 0 || stats.mean_latency_s < lowest_latency_s) {
      lowest_latency_s = stats.mean_latency_s;
    }
  }
  return lowest_latency_s;
}

bool PlainPlacement::IsFull(const RegisteredUpstream& upstream) const {
  const auto limit = m_max_in_flight.find(upstream.service);
  if (limit == m_max_in_flight.end() || limit->second == 0) return false;
  const auto found = m_stats.find(upstream.name);
  return found != m_stats.end() && found->second.in_flight >= limit->second;
}

double PlainPlacement::Cost(const RegisteredUpstream& upstream,
                            double lowest_latency_s, TimePoint now) const {
  const double zone_cost = upstream.zone == m_own_zone ? 0 : kOtherZoneCost;
  const auto found = m_stats.find(upstream.name);
  if (found == m_stats.end()) return zone_cost;
  const UpstreamStats& stats = found->second;
  double cost = zone_cost + stats.in_flight + kErrorRateCost * stats.error_rate;
  if (lowest_latency_s > 0 && now - stats.last_response_at <= kLatencyMaxAge) {
    cost += std::min(
        kMaxLatencyCost,
        kDoubleLatencyCost * (stats.mean_latency_s / lowest_latency_s - 1));
  }
  if (now < stats.ejected_until) {
    const Duration left = stats.ejected_until - now;
    cost += kEjectedCost + static_cast<double>(left.count());
  }
  return cost;
}

const RegisteredUpstream* PlainPlacement::Choose(
    const std::vector<const RegisteredUpstream*>& candidates,
    const std::set<UpstreamName>& excluded, TimePoint now,
    Random* random) const {
  const RegisteredUpstream* best = nullptr;
  double best_cost = 0;
  const double lowest_latency_s = LowestLatency(candidates, now);
  for (const RegisteredUpstream* upstream : candidates) {
    if (upstream->leaving || excluded.contains(upstream->name)) continue;
    if (IsFull(*upstream)) continue;
    // Random jitter keeps many entries from choosing the same of equal
    // upstreams.
    const double cost =
        Cost(*upstream, lowest_latency_s, now) + 0.1 * random->UniformDouble();
    if (best != nullptr && cost >= best_cost) continue;
    best = upstream;
    best_cost = cost;
  }
  return best;
}

void PlainPlacement::RecordCallStart(const UpstreamName& name) {
  ++m_stats[name].in_flight;
}

void PlainPlacement::RecordCallEnd(const UpstreamName& name, CallResult result,
                                   Duration latency, TimePoint now) {
  const auto found = m_stats.find(name);
  if (found == m_stats.end()) return;
  UpstreamStats& stats = found->second;
  stats.in_flight = std::max(0, stats.in_flight - 1);
  const double error = CountsAsError(result) ? 1.0 : 0.0;
  stats.error_rate += kNewestWeight * (error - stats.error_rate);
  if (result == CallResult::kCompleted) {
    const double seconds = std::chrono::duration<double>(latency).count();
    const bool first = stats.mean_latency_s == 0;
    stats.mean_latency_s +=
        (first ? 1 : kNewestWeight) * (seconds - stats.mean_latency_s);
    stats.last_response_at = now;
    stats.failures_in_row = 0;
    stats.ejection_time = Duration(0);
    return;
  }
  const bool unreachable = result == CallResult::kUnreachable;
  if (result == CallResult::kFailed || unreachable) ++stats.failures_in_row;
  if (!unreachable && stats.failures_in_row < kFailuresToEject) return;
  stats.ejection_time =
      std::clamp(2 * stats.ejection_time, kMinEjectionTime, kMaxEjectionTime);
  stats.ejected_until = now + stats.ejection_time;
}

bool PlainPlacement::IsEjected(const UpstreamName& name, TimePoint now) const {
  const auto found = m_stats.find(name);
  return found != m_stats.end() && now < found->second.ejected_until;
}

void PlainPlacement::DropUnregistered(const UpstreamDirectory& directory) {
  std::erase_if(m_stats, [&](const auto& entry) {
    return directory.Find(entry.first) == nullptr &&
           entry.second.in_flight == 0;
  });
}

}  // namespace burdockhill

#include "burdockhill/src/routing/plain_placement.h"

#include <algorithm>
#include <cmath>

namespace burdockhill {

namespace {

// Weight of the newest call in the running mean of errors.
constexpr double kNewestWeight = 0.1;
// Weight of a call in the expected latency if it took less than expected. One
// that took longer replaces the estimate.
constexpr double kFasterCallWeight = 0.3;
// Time in which the difference of the expected latency from the usual one
// decays to 1/e.
constexpr Duration kLatencyMemory = std::chrono::seconds(1);
// Time after which the second upstream of a pair is replaced, so that one that
// was slow gets calls again. Varies from one time to the next.
constexpr Duration kRotationTime = std::chrono::milliseconds(1500);
// Cost of an upstream that is not in the pair: it gets calls if those in the
// pair have that many more in flight.
constexpr double kOutsidePairCost = 2.0;
// Consecutive failures after which an upstream is ejected.
constexpr int kFailuresToEject = 3;
constexpr Duration kMinEjectionTime = std::chrono::milliseconds(700);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(4);
// Cost, in calls in flight like all costs below, of being in another
// availability zone.
constexpr double kOtherZoneCost = 0.5;
// Cost of an error rate of 1.
constexpr double kErrorRateCost = 12.0;
// Cost of a latency of twice the usual one, and the upper limit of the cost of
// latency.
constexpr double kDoubleLatencyCost = 1.0;
constexpr double kMaxLatencyCost = 10.0;
// Latencies up to this multiple of the usual one differ by chance.
constexpr double kSlowFactor = 1.8;
// Time for which an upstream that rejected a call counts as full.
constexpr Duration kFullTime = std::chrono::milliseconds(100);
constexpr double kFullCost = 20.0;
// Larger than any sum of the other costs.
constexpr double kEjectedCost = 1e6;

bool CountsAsError(CallResult result) {
  return result != CallResult::kCompleted && result != CallResult::kRejected &&
         result != CallResult::kCancelled;
}

}  // namespace

double PlainPlacement::ExpectedLatency(const UpstreamStats& stats,
                                       double usual_latency_s, TimePoint now) {
  double expected = usual_latency_s;
  if (stats.latency_s > 0) {
    const double age = std::chrono::duration<double>(now - stats.latency_at) /
                       std::chrono::duration<double>(kLatencyMemory);
    expected += (stats.latency_s - usual_latency_s) * std::exp(-age);
  }
  if (stats.started.empty()) return expected;
  const double oldest =
      std::chrono::duration<double>(now - *stats.started.begin()).count();
  return std::max(expected, oldest);
}

double PlainPlacement::UsualLatency(
    const std::vector<const RegisteredUpstream*>& candidates) const {
  std::vector<double> latencies;
  for (const RegisteredUpstream* upstream : candidates) {
    const auto found = m_stats.find(upstream->name);
    if (found == m_stats.end() || found->second.latency_s == 0) continue;
    latencies.push_back(found->second.latency_s);
  }
  if (latencies.empty()) return 0;
  // The lower one of two, since a slow upstream is not the usual one.
  const auto middle = latencies.begin() +
                      static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

bool PlainPlacement::IsFull(const RegisteredUpstream& upstream) const {
  const auto limit = m_max_in_flight.find(upstream.service);
  if (limit == m_max_in_flight.end() || limit->second == 0) return false;
  const auto found = m_stats.find(upstream.name);
  return found != m_stats.end() && found->second.in_flight >= limit->second;
}

double PlainPlacement::Cost(const RegisteredUpstream& upstream,
                            double usual_latency_s, TimePoint now) const {
  const double zone_cost = upstream.zone == m_own_zone ? 0 : kOtherZoneCost;
  const auto found = m_stats.find(upstream.name);
  if (found == m_stats.end()) return zone_cost;
  const UpstreamStats& stats = found->second;
  double cost = zone_cost + stats.in_flight + kErrorRateCost * stats.error_rate;
  if (now < stats.full_until) cost += kFullCost;
  if (usual_latency_s > 0) {
    const double ratio =
        ExpectedLatency(stats, usual_latency_s, now) / usual_latency_s;
    if (ratio > kSlowFactor) {
      cost += std::min(kMaxLatencyCost, kDoubleLatencyCost * (ratio - 1));
    }
  }
  if (now < stats.ejected_until) {
    const Duration left = stats.ejected_until - now;
    cost += kEjectedCost + static_cast<double>(left.count());
  }
  return cost;
}

bool PlainPlacement::IsSlow(const UpstreamName& name, double usual_latency_s,
                            TimePoint now) const {
  const auto found = m_stats.find(name);
  if (found == m_stats.end()) return false;
  return now < found->second.full_until || now < found->second.ejected_until ||
         ExpectedLatency(found->second, usual_latency_s, now) >
             kSlowFactor * usual_latency_s;
}

void PlainPlacement::UpdatePair(
    ActivePair* pair, const std::vector<const RegisteredUpstream*>& usable,
    double usual_latency_s, TimePoint now, Random* random) const {
  std::vector<const RegisteredUpstream*> others;
  bool has_first = false;
  bool has_second = false;
  for (const RegisteredUpstream* upstream : usable) {
    const bool slow =
        usual_latency_s > 0 && IsSlow(upstream->name, usual_latency_s, now);
    if (upstream->name == pair->first) {
      has_first = !slow;
    } else if (upstream->name == pair->second) {
      has_second = !slow;
    } else if (!slow) {
      others.push_back(upstream);
    }
  }
  if (now >= pair->rotate_at) {
    pair->rotate_at = now + random->Jitter(kRotationTime);
    std::swap(pair->first, pair->second);
    std::swap(has_first, has_second);
    has_second = false;
  }
  for (auto [has, name] : {std::pair{has_first, &pair->first},
                           std::pair{has_second, &pair->second}}) {
    if (has || others.empty()) continue;
    // Of two random ones, one in the own zone is preferred.
    size_t index = random->UniformBelow(others.size());
    const size_t other = random->UniformBelow(others.size());
    if (others[other]->zone == m_own_zone) index = other;
    *name = others[index]->name;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

const RegisteredUpstream* PlainPlacement::Choose(
    const std::vector<const RegisteredUpstream*>& candidates,
    const std::set<UpstreamName>& excluded, TimePoint now, Random* random) {
  std::vector<const RegisteredUpstream*> usable;
  for (const RegisteredUpstream* upstream : candidates) {
    if (upstream->leaving || excluded.contains(upstream->name)) continue;
    if (!IsFull(*upstream)) usable.push_back(upstream);
  }
  if (usable.empty()) return nullptr;
  const double usual_latency_s = UsualLatency(candidates);
  ActivePair& pair = m_pairs[usable.front()->service];
  UpdatePair(&pair, usable, usual_latency_s, now, random);
  const RegisteredUpstream* best = nullptr;
  double best_cost = 0;
  for (const RegisteredUpstream* upstream : usable) {
    const bool active =
        upstream->name == pair.first || upstream->name == pair.second;
    const double cost = Cost(*upstream, usual_latency_s, now) +
                        (active ? 0 : kOutsidePairCost) +
                        0.1 * random->UniformDouble();
    if (best != nullptr && cost >= best_cost) continue;
    best = upstream;
    best_cost = cost;
  }
  return best;
}

void PlainPlacement::RecordCallStart(const UpstreamName& name, TimePoint now) {
  UpstreamStats& stats = m_stats[name];
  ++stats.in_flight;
  stats.started.insert(now);
}

void PlainPlacement::RecordLatency(UpstreamStats* stats, double seconds,
                                   TimePoint now) {
  const bool replaces = seconds > stats->latency_s;
  stats->latency_s +=
      (replaces ? 1 : kFasterCallWeight) * (seconds - stats->latency_s);
  stats->latency_at = now;
}

void PlainPlacement::RecordCallEnd(const UpstreamName& name, CallResult result,
                                   Duration latency, TimePoint now) {
  const auto found = m_stats.find(name);
  if (found == m_stats.end()) return;
  UpstreamStats& stats = found->second;
  stats.in_flight = std::max(0, stats.in_flight - 1);
  if (const auto started = stats.started.find(now - latency);
      started != stats.started.end()) {
    stats.started.erase(started);
  } else if (!stats.started.empty()) {
    stats.started.erase(stats.started.begin());
  }
  const double error = CountsAsError(result) ? 1.0 : 0.0;
  stats.error_rate += kNewestWeight * (error - stats.error_rate);
  if (result == CallResult::kCompleted) {
    RecordLatency(&stats, std::chrono::duration<double>(latency).count(), now);
    stats.failures_in_row = 0;
    stats.ejection_time = Duration(0);
    return;
  }
  if (result == CallResult::kRejected) stats.full_until = now + kFullTime;
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

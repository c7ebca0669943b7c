#include "burdockhill/src/routing/stream_budget.h"

#include <algorithm>

namespace burdockhill {

namespace {

// Callers disconnect from a stream whose first event does not come within the
// longest of 2 s, 4 latency targets and 8 gap targets.
constexpr Duration kShortestPatience = std::chrono::seconds(2);
constexpr int kPatienceTargets = 4;
constexpr int kPatienceGaps = 8;

// Shares of the latency target and of the caller's timeout that may have passed
// when a stage ends.
struct Shares {
  double target;
  double patience;
};
constexpr Shares kMemoryShares = {0.6, 0.6};
constexpr Shares kPrefillTurnShares = {0.65, 0.75};

// Age, as a share of the latency target, from which a stream's prompt may be
// computed by its decode engine; the rest of the target is for that
// computation.
constexpr double kLocalPrefillAge = 0.4;
// Share of the gap target for which local prefill may block other streams.
constexpr double kLocalPrefillGap = 0.65;
// Rate at which decode engines compute prompts between the decode steps of
// their streams, as a share of that of prefill engines; specified by the
// platform.
constexpr double kLocalPrefillSpeed = 0.5;
// Share by which the estimated rate decays with each answer, so that it follows
// engines that become slower.
constexpr double kRateDecay = 0.002;

Duration Share(Duration whole, double share) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(whole.count()) * share));
}

Duration Patience(const Route& route) {
  return std::max({kShortestPatience, kPatienceTargets * route.latency_target,
                   kPatienceGaps * route.gap_target});
}

}  // namespace

StageBudget BudgetFor(StreamStage stage, const Route& route, Duration age,
                      Duration time_left) {
  const Shares& shares =
      stage == StreamStage::kMemory ? kMemoryShares : kPrefillTurnShares;
  StageBudget budget;
  budget.wait = std::clamp(Share(Patience(route), shares.patience) - age,
                           Duration(0), std::max(time_left, Duration(0)));
  budget.target_left = Share(route.latency_target, shares.target) - age;
  return budget;
}

LocalPrefill LocalPrefillFor(const Route& route, Tokens prompt, Duration age,
                             double rate) {
  LocalPrefill local;
  local.after = std::max(Share(route.latency_target, kLocalPrefillAge) - age,
                         Duration(0));
  if (rate <= 0) return local;
  const double seconds =
      static_cast<double>(prompt.Value()) / (rate * kLocalPrefillSpeed);
  const Duration longest = Share(route.gap_target, kLocalPrefillGap);
  local.allowed = seconds <= std::chrono::duration<double>(longest).count();
  return local;
}

void PrefillRate::Learn(Tokens prompt, Duration took) {
  const double seconds = std::chrono::duration<double>(took).count();
  if (seconds <= 0) return;
  const double rate = static_cast<double>(prompt.Value()) / seconds;
  m_rate = std::max(rate, m_rate * (1 - kRateDecay));
}

}  // namespace burdockhill

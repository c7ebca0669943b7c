#include "burdockhill/src/routing/stream_budget.h"

#include <algorithm>

namespace burdockhill {

namespace {

// Callers leave a stream whose first event does not come within the longest of
// two seconds, four latency targets and eight event gaps.
constexpr Duration kShortestPatience = std::chrono::seconds(2);
constexpr int kPatienceTargets = 4;
constexpr int kPatienceGaps = 8;

// Shares of the latency target and of the patience that may be over when a
// stage ends.
struct Shares {
  double target;
  double patience;
};
constexpr Shares kMemoryShares = {0.6, 0.6};
constexpr Shares kPrefillTurnShares = {0.65, 0.75};

// Age, as a share of the latency target, at which a stream need not wait for a
// prefill engine any more; the rest is what a decode engine takes for the
// prompt.
constexpr double kLocalPrefillAge = 0.4;
// Share of the gap target that other streams may stand still.
constexpr double kLocalPrefillGap = 0.65;
// Decode engines compute prompts at this share of the speed of prefill engines,
// between the steps of their streams; the platform's figure.
constexpr double kLocalPrefillSpeed = 0.5;
// What the learned rate loses with each answer, so that it follows engines that
// turn slower.
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

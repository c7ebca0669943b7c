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
// Decode engines compute prompts at half the speed of prefill engines, here in
// tokens a second. Engines of large models were measured at 27,800.
constexpr double kLocalPrefillRate = 27000;

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

LocalPrefill LocalPrefillFor(const Route& route, Tokens prompt, Duration age) {
  const double seconds =
      static_cast<double>(prompt.Value()) / kLocalPrefillRate;
  const Duration longest = Share(route.gap_target, kLocalPrefillGap);
  LocalPrefill local;
  local.allowed = seconds <= std::chrono::duration<double>(longest).count();
  local.after = std::max(Share(route.latency_target, kLocalPrefillAge) - age,
                         Duration(0));
  return local;
}

}  // namespace burdockhill

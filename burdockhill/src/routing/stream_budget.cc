#include "burdockhill/src/routing/stream_budget.h"

#include <algorithm>

namespace burdockhill {

namespace {

// Callers disconnect from a stream whose first event does not come within the
// longest of 2 s, 4 latency targets and 8 gap targets.
constexpr Duration kMinCallerTimeout = std::chrono::seconds(2);
constexpr int kCallerTimeoutTargets = 4;
constexpr int kCallerTimeoutGaps = 8;

// Shares of the latency target and of the caller's timeout that may have passed
// when a stage ends.
struct Shares {
  double target;
  double caller_timeout;
};
constexpr Shares kDecodeShares = {0.6, 0.6};
constexpr Shares kPrefillShares = {0.65, 0.75};

// Age, as a share of the latency target, from which a stream's prompt may be
// computed by its decode engine; the rest of the target is for that
// computation.
constexpr double kLocalPrefillAgeShare = 0.4;
// Share of the gap target for which local prefill may block other streams.
constexpr double kLocalPrefillGapShare = 0.65;
// Rate at which decode engines compute prompts between the decode steps of
// their streams, as a share of that of prefill engines; specified by the
// platform.
constexpr double kLocalPrefillRateShare = 0.5;
// Share by which the estimated rate decays with each response, so that it
// follows engines that become slower.
constexpr double kRateDecay = 0.002;

Duration Share(Duration whole, double share) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(whole.count()) * share));
}

Duration CallerTimeout(const Route& route) {
  return std::max({kMinCallerTimeout,
                   kCallerTimeoutTargets * route.latency_target,
                   kCallerTimeoutGaps * route.gap_target});
}

}  // namespace

StageBudget StageBudgetFor(StreamStage stage, const Route& route, Duration age,
                           Duration time_left) {
  const Shares& shares =
      stage == StreamStage::kDecodeReservation ? kDecodeShares : kPrefillShares;
  StageBudget budget;
  budget.max_wait =
      std::clamp(Share(CallerTimeout(route), shares.caller_timeout) - age,
                 Duration(0), std::max(time_left, Duration(0)));
  budget.target_left = Share(route.latency_target, shares.target) - age;
  return budget;
}

LocalPrefill LocalPrefillFor(const Route& route, Tokens prompt, Duration age,
                             double prefill_tokens_per_second) {
  LocalPrefill local;
  local.delay = std::max(
      Share(route.latency_target, kLocalPrefillAgeShare) - age, Duration(0));
  if (prefill_tokens_per_second <= 0) return local;
  const double seconds = static_cast<double>(prompt.Value()) /
                         (prefill_tokens_per_second * kLocalPrefillRateShare);
  const Duration longest = Share(route.gap_target, kLocalPrefillGapShare);
  local.allowed = seconds <= std::chrono::duration<double>(longest).count();
  return local;
}

void PrefillRateEstimator::AddSample(Tokens prompt, Duration took) {
  const double seconds = std::chrono::duration<double>(took).count();
  if (seconds <= 0) return;
  const double rate = static_cast<double>(prompt.Value()) / seconds;
  m_tokens_per_second = std::max(rate, m_tokens_per_second * (1 - kRateDecay));
}

}  // namespace burdockhill

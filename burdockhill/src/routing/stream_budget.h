#ifndef BURDOCKHILL_SRC_ROUTING_STREAM_BUDGET_H_
#define BURDOCKHILL_SRC_ROUTING_STREAM_BUDGET_H_

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/routing/routes.h"

namespace burdockhill {

// Time that a stream may wait for an engine at one stage before its first
// event.
struct StageBudget {
  Duration max_wait{0};  // Afterwards it is refused.
  // Time left to be granted in without missing the latency target; negative if
  // that time has passed.
  Duration target_left{0};
};

// The stages of a stream at which it waits for a reservation on an engine.
enum class StreamStage {
  kDecodeReservation,   // KV-cache memory and a slot of a decode engine.
  kPrefillReservation,  // A prompt's computation on a prefill engine.
};

// Whether, and after which further wait for a prefill engine, a stream's prompt
// is computed by its decode engine instead (local prefill), which blocks the
// streams that run there for that time.
struct LocalPrefill {
  bool allowed = false;
  Duration delay{0};  // From now.
};

// `age` is the time since the request arrived. `prefill_tokens_per_second`
// is the rate of prefill engines; while it is unknown (zero), local prefill is
// not allowed.
LocalPrefill LocalPrefillFor(const Route& route, Tokens prompt, Duration age,
                             double prefill_tokens_per_second);

// Estimates the rate at which prefill engines compute prompts from the times of
// their responses. These include the wait behind other prompts, so the estimate
// is the highest observed rate, which decays slowly.
class PrefillRateEstimator {
 public:
  void AddSample(Tokens prompt, Duration took);
  // Zero before the first response.
  double TokensPerSecond() const { return m_tokens_per_second; }

 private:
  double m_tokens_per_second = 0;
};

// The budget left at a stage for a request that arrived `age` ago and has to be
// answered within `time_left`. Reserves the remaining shares of the latency
// target and of the caller's timeout for prefill, KV transfer and the first
// decode step.
StageBudget StageBudgetFor(StreamStage stage, const Route& route, Duration age,
                           Duration time_left);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_STREAM_BUDGET_H_

#ifndef BURDOCKHILL_SRC_ROUTING_STREAM_BUDGET_H_
#define BURDOCKHILL_SRC_ROUTING_STREAM_BUDGET_H_

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/routing/routes.h"

namespace burdockhill {

// How long a stream may wait at one stage before its first event.
struct StageBudget {
  Duration wait{0};         // Then it is refused.
  Duration target_left{0};  // Then it misses its latency target.
};

// The stages of a stream that wait for an engine.
enum class StreamStage {
  kMemory,       // On a decode engine.
  kPrefillTurn,  // On a prefill engine.
};

// When a stream that waits for a prefill engine has its prompt computed by its
// decode engine instead, and whether it may: the streams that run there stand
// still for that time.
struct LocalPrefill {
  bool allowed = false;
  Duration after{0};  // From now.
};

// `rate` is what prefill engines compute, in tokens a second; zero while it is
// not known, and then none are allowed.
LocalPrefill LocalPrefillFor(const Route& route, Tokens prompt, Duration age,
                             double rate);

// How fast prefill engines compute prompts, learned from their answers. Prompts
// that waited for others look slow, so the quickest ones count.
class PrefillRate {
 public:
  void Learn(Tokens prompt, Duration took);
  // Tokens a second; zero before the first answer.
  double TokensPerSecond() const { return m_rate; }

 private:
  double m_rate = 0;
};

// What is left for a stage of a request that arrived `age` ago and has to be
// answered within `time_left`. The rest of the latency target, and of the
// caller's patience, is for prefill, transfer and the first step.
StageBudget BudgetFor(StreamStage stage, const Route& route, Duration age,
                      Duration time_left);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_STREAM_BUDGET_H_

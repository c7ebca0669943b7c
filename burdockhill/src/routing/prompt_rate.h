#ifndef BURDOCKHILL_SRC_ROUTING_PROMPT_RATE_H_
#define BURDOCKHILL_SRC_ROUTING_PROMPT_RATE_H_

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/units.h"

namespace burdockhill {

// Estimates the prompt tokens a second that a prefill engine computes, from the
// time that it spends on each prompt and without the wait for other prompts.
//
// The present rate follows the last few prompts, so that a slow spell of half a
// second shows. Without further prompts it returns to the mean: an engine that
// gets no prompts because it was slow would otherwise count as slow for ever.
class PromptRateEstimator {
 public:
  // The engine has spent the time from `since` to `now` on a prompt.
  void AddPrompt(Tokens prompt, TimePoint since, TimePoint now);

  // Zero before the first prompt. `current` is the prompt on which the engine
  // has worked since `since`, zero if it is idle: one that takes longer than
  // expected lowers the rate before it is finished.
  double PresentTokensPerSecond(Tokens current, TimePoint since,
                                TimePoint now) const;
  // Over the last minute or so; zero before the first prompt.
  double MeanTokensPerSecond() const;

 private:
  // Seconds that a token takes, by the last few prompts.
  double PresentTokenSeconds(TimePoint now) const;
  // Weight of a prompt in the present rate.
  double Weight(Tokens prompt) const;

  // Decaying sums over prompts.
  double m_count = 0;
  double m_tokens = 0;
  double m_seconds = 0;
  // At the time of the last prompt.
  double m_token_seconds = 0;
  TimePoint m_last_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_PROMPT_RATE_H_

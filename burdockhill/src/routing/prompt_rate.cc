#include "burdockhill/src/routing/prompt_rate.h"

#include <algorithm>
#include <cmath>

namespace burdockhill {

namespace {

// Weights of the newest prompt, if it has the mean length: in the mean, and in
// the present rate. With the latter, three prompts show four fifths of a
// change.
constexpr double kNewestMeanWeight = 0.03;
constexpr double kNewestPresentWeight = 0.4;
// Without prompts, the present rate's distance from the mean halves with each
// of these times. Slow spells of engines last about this long.
constexpr double kHalfLifeSeconds = 0.5;
// A prompt counts as computed at this multiple of the mean rate at most. A
// grant that was given back unused looks like a prompt that took no time, while
// an engine that has become faster is followed over a few prompts.
constexpr double kMaxSpeedUp = 2;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double PromptRateEstimator::Weight(Tokens prompt) const {
  const double mean_prompt = m_tokens / m_count;
  const double relative = static_cast<double>(prompt.Value()) / mean_prompt;
  return 1 - std::pow(1 - kNewestPresentWeight, relative);
}

void PromptRateEstimator::AddPrompt(Tokens prompt, TimePoint since,
                                    TimePoint now) {
  const auto tokens = static_cast<double>(prompt.Value());
  double seconds = Seconds(now - since);
  if (tokens <= 0 || seconds <= 0) return;
  const double mean = MeanTokensPerSecond();
  if (mean > 0) seconds = std::max(seconds, tokens / (kMaxSpeedUp * mean));
  const bool is_first = m_count == 0;
  const double present = PresentTokenSeconds(now);
  const double kept = 1 - kNewestMeanWeight;
  m_count = kept * m_count + 1;
  m_tokens = kept * m_tokens + tokens;
  m_seconds = kept * m_seconds + seconds;
  const double sample = seconds / tokens;
  m_token_seconds =
      is_first ? sample : present + Weight(prompt) * (sample - present);
  m_last_at = now;
}

double PromptRateEstimator::PresentTokenSeconds(TimePoint now) const {
  if (m_tokens <= 0) return 0;
  const double mean = m_seconds / m_tokens;
  const double share =
      std::exp2(-std::max(Seconds(now - m_last_at), 0.0) / kHalfLifeSeconds);
  return mean + share * (m_token_seconds - mean);
}

double PromptRateEstimator::PresentTokensPerSecond(Tokens current,
                                                   TimePoint since,
                                                   TimePoint now) const {
  double token_seconds = PresentTokenSeconds(now);
  if (token_seconds <= 0) return 0;
  if (current.Value() > 0) {
    const double so_far =
        Seconds(now - since) / static_cast<double>(current.Value());
    if (so_far > token_seconds) {
      token_seconds += Weight(current) * (so_far - token_seconds);
    }
  }
  return 1 / token_seconds;
}

double PromptRateEstimator::MeanTokensPerSecond() const {
  return m_seconds > 0 ? m_tokens / m_seconds : 0;
}

}  // namespace burdockhill

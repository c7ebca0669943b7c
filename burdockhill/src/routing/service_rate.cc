#include "burdockhill/src/routing/service_rate.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// Samples from which on a rate is used: enough to even out the lengths of
// single requests.
constexpr int kMinSamples = 8;
// Weight of the newest sample in the moving averages over requests.
constexpr double kNewestWeight = 0.03;
// Time over which the present output rate is measured. Over 200 ms, which is
// two or three steps of an engine, the rate of a steady engine varies by half.
constexpr double kPresentSeconds = 0.3;
// Age from which on that rate says nothing about the present.
constexpr Duration kMaxRateAge = std::chrono::milliseconds(500);
// Time over which the reports are summed up for one point of the line.
constexpr double kPointSeconds = 0.5;
// Variance of the number of runs below which their effect cannot be told.
constexpr double kMinRunsVariance = 0.5;
// Largest ratio between an extrapolated time of a token and the mean.
constexpr double kMaxExtrapolation = 1.6;
// Share of the memory that runs occupy on average while admission keeps an
// engine full. The rest is kept for runs that grow beyond their estimates.
constexpr double kUsableMemoryShare = 0.75;

}  // namespace

void PrefillServiceRate::Advance(TimePoint now, size_t prompts) {
  if (prompts > 0) {
    m_busy_seconds +=
        std::chrono::duration<double>(now - m_advanced_at).count();
  }
  m_advanced_at = now;
}

void PrefillServiceRate::CountPrompt() {
  m_prompts = (1 - kNewestWeight) * m_prompts + 1;
  m_busy_seconds *= 1 - kNewestWeight;
  ++m_samples;
}

double PrefillServiceRate::RequestsPerSecond() const {
  if (m_samples < kMinSamples || m_busy_seconds <= 0) return 0;
  // CountPrompt() adds the newest prompt at full weight, its time at less.
  return (1 - kNewestWeight) * m_prompts / m_busy_seconds;
}

void OutputRateEstimator::AddReport(const std::vector<ReportedRun>& runs,
                                    TimePoint now) {
  std::unordered_map<uint64_t, Tokens> decoding;
  int64_t grown_tokens = 0;
  int compared = 0;
  for (const ReportedRun& run : runs) {
    if (run.events == 0) continue;
    decoding[run.request.Value()] = run.kv_tokens;
    const auto previous = m_decoding.find(run.request.Value());
    if (previous == m_decoding.end()) continue;
    // Less than before means that the run was preempted.
    grown_tokens +=
        std::max<int64_t>((run.kv_tokens - previous->second).Value(), 0);
    ++compared;
  }
  const double seconds =
      std::chrono::duration<double>(now - m_reported_at).count();
  m_decoding = std::move(decoding);
  m_reported_at = now;
  if (compared == 0 || seconds <= 0) return;
  AddToLine(compared, grown_tokens, seconds);
  m_recent.push_back(
      {now, seconds, static_cast<double>(grown_tokens) / compared});
  double covered = 0;
  for (const Interval& interval : m_recent) covered += interval.seconds;
  while (covered - m_recent.front().seconds >= kPresentSeconds) {
    covered -= m_recent.front().seconds;
    m_recent.pop_front();
  }
}

double OutputRateEstimator::TokensPerSecond() const {
  double seconds = 0;
  double tokens = 0;
  for (const Interval& interval : m_recent) {
    seconds += interval.seconds;
    tokens += interval.tokens;
  }
  return seconds > 0 ? tokens / seconds : 0;
}

double OutputRateEstimator::PresentTokensPerSecond(TimePoint now) const {
  if (m_recent.empty()) return 0;
  return now - m_recent.back().end <= kMaxRateAge ? TokensPerSecond()
                                                  : TokensPerSecondAt(1);
}

void OutputRateEstimator::AddToLine(int runs, int64_t tokens, double seconds) {
  m_seconds += seconds;
  m_run_seconds += runs * seconds;
  m_tokens += tokens;
  if (m_seconds < kPointSeconds || m_tokens == 0) return;
  const double mean_runs = m_run_seconds / m_seconds;
  const double token_seconds = m_run_seconds / static_cast<double>(m_tokens);
  const auto add = [](double* sum, double value) {
    *sum = (1 - kNewestWeight) * *sum + value;
  };
  add(&m_weight, 1);
  add(&m_runs, mean_runs);
  add(&m_runs_squared, mean_runs * mean_runs);
  add(&m_token_seconds, token_seconds);
  add(&m_runs_token_seconds, mean_runs * token_seconds);
  m_seconds = 0;
  m_run_seconds = 0;
  m_tokens = 0;
}

double OutputRateEstimator::TokensPerSecondAt(double runs) const {
  if (m_weight <= 0) return TokensPerSecond();
  const double mean_runs = m_runs / m_weight;
  const double mean_seconds = m_token_seconds / m_weight;
  const double variance = m_runs_squared / m_weight - mean_runs * mean_runs;
  if (variance < kMinRunsVariance) return 1 / mean_seconds;
  const double covariance =
      m_runs_token_seconds / m_weight - mean_runs * mean_seconds;
  const double slope = std::max(covariance / variance, 0.0);
  const double seconds = mean_seconds + slope * (runs - mean_runs);
  return 1 / std::clamp(seconds, mean_seconds / kMaxExtrapolation,
                        mean_seconds * kMaxExtrapolation);
}

void DecodeServiceRate::AddRun(Tokens prompt, Tokens estimated_output,
                               const OutputLengthModel& lengths) {
  const auto estimate = static_cast<double>(estimated_output.Value());
  const double output = estimate * lengths.MeanRatio();
  // A run that generates n tokens holds its prompt for n steps, and its output
  // of n / 2 on average.
  const double token_steps =
      static_cast<double>(prompt.Value()) * output +
      estimate * estimate * lengths.MeanSquareRatio() / 2;
  ++m_samples;
  // The plain mean of the first samples, then the moving average.
  const double weight = std::max(kNewestWeight, 1.0 / m_samples);
  m_output_tokens += weight * (output - m_output_tokens);
  m_token_steps += weight * (token_steps - m_token_steps);
}

double DecodeServiceRate::RunsAtFullLoad(Tokens memory, int slots) const {
  if (m_samples < kMinSamples || m_token_steps <= 0) return 0;
  const double usable_memory =
      static_cast<double>(memory.Value()) * kUsableMemoryShare;
  const double by_memory = usable_memory * m_output_tokens / m_token_steps;
  return slots <= 0 ? by_memory : std::min<double>(by_memory, slots);
}

double DecodeServiceRate::RequestsPerSecond(
    Tokens memory, int slots, double output_tokens_per_second) const {
  const double runs = RunsAtFullLoad(memory, slots);
  return runs <= 0 ? 0 : runs * output_tokens_per_second / m_output_tokens;
}

}  // namespace burdockhill

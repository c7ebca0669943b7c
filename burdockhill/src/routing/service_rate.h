#ifndef BURDOCKHILL_SRC_ROUTING_SERVICE_RATE_H_
#define BURDOCKHILL_SRC_ROUTING_SERVICE_RATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/units.h"
#include "burdockhill/src/routing/output_length_model.h"

namespace burdockhill {

// Measures how many prompts a second a prefill engine computes while it has
// any. Includes costs that do not grow with the prompt, such as the first step.
class PrefillServiceRate {
 public:
  // Call before each change of the number of prompts at the engine, with the
  // number until now.
  void Advance(TimePoint now, size_t prompts);
  // A prompt was computed.
  void CountPrompt();
  // Zero until enough prompts were computed.
  double RequestsPerSecond() const;

 private:
  // Both decay, so that the rate follows the prompts of the last minute or so.
  double m_prompts = 0;
  double m_busy_seconds = 0;
  TimePoint m_advanced_at{};
  int m_samples = 0;
};

// A run, which is a request that an engine decodes, as the engine reports it.
struct ReportedRun {
  RequestId request;
  Tokens kv_tokens;    // In the KV cache: the prompt and the output so far.
  int64_t events = 0;  // Sent so far; none while the prompt is computed.
};

// Measures the output tokens a second of one run from successive reports: over
// the last few reports, and as a line over the number of runs, since each step
// of an engine takes longer with every run in its batch.
class OutputRateEstimator {
 public:
  void AddReport(const std::vector<ReportedRun>& runs, TimePoint now);
  // Over the last reports with runs, so that a slow spell of half a second
  // shows while it lasts. Zero before the first runs.
  double TokensPerSecond() const;
  // The same if they are recent. An engine that has been without runs for some
  // time is expected to have the rate of one run on the line.
  double PresentTokensPerSecond(TimePoint now) const;
  // With this many runs. Zero before the first runs.
  double TokensPerSecondAt(double runs) const;

 private:
  // Adds a point to the line once enough time has passed.
  void AddToLine(int runs, int64_t tokens, double seconds);

  // Since the last point.
  double m_seconds = 0;
  double m_run_seconds = 0;
  int64_t m_tokens = 0;
  // Decaying sums over points of the number of runs and the time of a token.
  double m_weight = 0;
  double m_runs = 0;
  double m_runs_squared = 0;
  double m_token_seconds = 0;
  double m_runs_token_seconds = 0;

  // The time between two reports.
  struct Interval {
    TimePoint end{};
    double seconds = 0;
    double tokens = 0;  // Mean growth of a run.
  };

  std::unordered_map<uint64_t, Tokens> m_decoding;  // In the last report.
  TimePoint m_reported_at{};
  std::deque<Interval> m_recent;  // Oldest first.
};

// Measures how many runs a second a decode engine can serve, from the memory
// and the time that they are expected to take. Counts runs when they are
// reserved: among the first that end, short ones are too many.
class DecodeServiceRate {
 public:
  // A run was reserved. `lengths` is the distribution of output lengths learned
  // so far.
  void AddRun(Tokens prompt, Tokens estimated_output,
              const OutputLengthModel& lengths);
  // Runs that fit at a time; zero until enough runs were reserved.
  double RunsAtFullLoad(Tokens memory, int slots) const;
  // For an engine with this much memory and, unless zero, this many slots,
  // whose runs generate this many tokens a second each. Zero until enough runs
  // were reserved, and if the rate is unknown.
  double RequestsPerSecond(Tokens memory, int slots,
                           double output_tokens_per_second) const;

 private:
  // Means over the runs, the latest ones weighted most: the output, and the sum
  // of the tokens held over all steps.
  double m_output_tokens = 0;
  double m_token_steps = 0;
  int m_samples = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_SERVICE_RATE_H_

#include "burdockhill/src/routing/kv_cache_ledger.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace burdockhill {

namespace {

// Longest time from the grant to the engine's first report of the run: wait for
// a prefill engine, prefill, KV transfer and report interval.
constexpr Duration kFirstReportTimeout = std::chrono::seconds(3);
// Estimated output of a run without a reservation, as a share of the tokens
// that it holds.
constexpr double kUnreservedOutputShare = 0.3;
// Weight of the newest run in the mean time from grant to first report.
constexpr double kNewestWeight = 0.1;
// End of a projection, as a multiple of the mean estimated output, and the
// number of steps to it.
constexpr double kProjectionEndRatio = 1.5;
constexpr int64_t kProjectionSteps = 24;

}  // namespace

void KvCacheLedger::SetCapacity(Tokens memory, int slots) {
  m_memory = memory;
  m_slots = slots;
}

bool KvCacheLedger::Fits(Tokens prompt, Tokens estimated_output,
                         double share) const {
  if (m_slots > 0 && RunCount() >= static_cast<size_t>(m_slots)) return false;
  // An idle engine admits any prompt that fits, however long the output may
  // get.
  if (RunCount() == 0) return prompt <= m_memory;
  std::vector<ProjectedRun> runs = ProjectedRuns();
  runs.push_back({prompt, estimated_output, Tokens(0), {}});
  return PeakUse(runs) <= static_cast<double>(m_memory.Value()) * share;
}

void KvCacheLedger::Reserve(const AttemptId& attempt, Tokens prompt,
                            Tokens estimated_output, TimePoint now) {
  Run& run = m_runs.FindOrInsert(attempt);
  run = {prompt, estimated_output, Tokens(0), now, false};
  m_service_rate.AddRun(prompt, estimated_output, m_output_lengths);
}

std::optional<Tokens> KvCacheLedger::Release(const AttemptId& attempt) {
  const Run* run = m_runs.Find(attempt);
  if (run == nullptr) return std::nullopt;
  const Tokens service =
      run->reported ? run->prompt + run->produced : Tokens(0);
  if (run->reported && run->produced.Value() > 0) {
    m_output_lengths.AddSample(run->estimated_output, run->produced);
  }
  m_runs.Erase(attempt);
  return service;
}

void KvCacheLedger::Reconcile(const std::vector<ReportedRun>& runs,
                              TimePoint now) {
  std::unordered_map<uint64_t, Tokens> held;
  for (const ReportedRun& run : runs) held[run.request.Value()] = run.kv_tokens;
  std::vector<AttemptId> lapsed;
  for (auto& [attempt, run] : m_runs) {
    const auto found = held.find(attempt.request.Value());
    if (found != held.end()) {
      if (!run.reported) AddStartTime(now - run.reserved_at);
      run.reported = true;
      run.produced = std::max(
          run.produced, Tokens(std::max<int64_t>(
                            found->second.Value() - run.prompt.Value(), 0)));
      held.erase(found);
    } else if (run.reported || now - run.reserved_at > kFirstReportTimeout) {
      lapsed.push_back(attempt);
    }
  }
  for (const AttemptId& attempt : lapsed) Release(attempt);
  m_unreserved_runs.clear();
  for (const auto& [request, tokens] : held) {
    m_unreserved_runs.push_back({RequestId(request), tokens, 0});
  }
}

std::vector<ProjectedRun> KvCacheLedger::ProjectedRuns() const {
  std::vector<ProjectedRun> runs;
  runs.reserve(RunCount() + 1);
  for (const auto& [attempt, run] : m_runs) {
    runs.push_back(
        {run.prompt + run.produced, run.estimated_output, run.produced, {}});
  }
  AppendUnreservedRuns(&runs);
  return runs;
}

void KvCacheLedger::AppendUnreservedRuns(
    std::vector<ProjectedRun>* runs) const {
  for (const ReportedRun& run : m_unreserved_runs) {
    const auto output = static_cast<int64_t>(
        static_cast<double>(run.kv_tokens.Value()) * kUnreservedOutputShare);
    runs->push_back({run.kv_tokens, Tokens(output), Tokens(output / 2), {}});
  }
}

double KvCacheLedger::ProjectedUse(const std::vector<ProjectedRun>& runs,
                                   Tokens more) const {
  double mean = 0;
  double variance = 0;
  double if_all_continue = 0;
  for (const ProjectedRun& run : runs) {
    const double probability = m_output_lengths.SurvivalProbability(
        run.estimated_output, run.produced, more);
    const auto size = static_cast<double>((run.kv_tokens + more).Value());
    if_all_continue += size;
    mean += probability * size;
    variance += probability * (1 - probability) * size * size;
  }
  return std::min(mean + kMarginDeviations * std::sqrt(variance),
                  if_all_continue);
}

Tokens KvCacheLedger::ProjectionStep(const std::vector<ProjectedRun>& runs) {
  Tokens sum(0);
  for (const ProjectedRun& run : runs) sum += run.estimated_output;
  const double mean = static_cast<double>(sum.Value()) /
                      static_cast<double>(std::max<size_t>(runs.size(), 1));
  return Tokens(
      static_cast<int64_t>(kProjectionEndRatio * mean) / kProjectionSteps + 1);
}

double KvCacheLedger::PeakUse(const std::vector<ProjectedRun>& runs) const {
  const int64_t step = ProjectionStep(runs).Value();
  double peak = 0;
  for (int64_t i = 0; i <= kProjectionSteps; ++i) {
    peak = std::max(peak, ProjectedUse(runs, Tokens(i * step)));
  }
  return peak;
}

Tokens KvCacheLedger::ExpectedPeak() const {
  return Tokens(static_cast<int64_t>(PeakUse(ProjectedRuns())));
}

void KvCacheLedger::AddStartTime(Duration time) {
  const double seconds = std::chrono::duration<double>(time).count();
  m_start_seconds =
      m_start_seconds == 0
          ? seconds
          : m_start_seconds + kNewestWeight * (seconds - m_start_seconds);
}

ReleaseProjection KvCacheLedger::ProjectReleases(
    double output_tokens_per_second, TimePoint now) const {
  std::vector<ProjectedRun> runs;
  runs.reserve(RunCount());
  for (const auto& [attempt, run] : m_runs) {
    // A run that was granted generates nothing before its KV cache has arrived.
    const double age =
        std::chrono::duration<double>(now - run.reserved_at).count();
    const double until_start =
        run.reported ? 0 : std::max(m_start_seconds - age, 0.0);
    runs.push_back(
        {run.prompt + run.produced, run.estimated_output, run.produced,
         Tokens(static_cast<int64_t>(until_start * output_tokens_per_second))});
  }
  AppendUnreservedRuns(&runs);
  return {runs, &m_output_lengths, m_memory, m_slots};
}

}  // namespace burdockhill

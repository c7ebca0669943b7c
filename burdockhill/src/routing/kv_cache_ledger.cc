#include "burdockhill/src/routing/kv_cache_ledger.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace burdockhill {

namespace {

// Longest time from the grant to the engine's first report of the run: wait for
// a prefill engine, prefill, KV transfer and report interval.
constexpr Duration kArrivalTime = std::chrono::seconds(3);
// Estimated output of a run without a reservation, as a share of the tokens
// that it holds.
constexpr double kUnreservedOutput = 0.3;
// Standard deviations of the projected memory use that are kept free, so that
// the engine preempts runs only rarely.
constexpr double kMargin = 2.0;
// Points of a projection, in further output tokens of each run.
constexpr int64_t kProjectionStep = 400;
constexpr int64_t kProjectionEnd = 6000;

}  // namespace

void EngineLedger::SetCapacity(Tokens memory, int slots) {
  m_memory = memory;
  m_slots = slots;
}

bool EngineLedger::Fits(Tokens prompt, Tokens estimate, double share) const {
  if (m_slots > 0 && Runs() >= static_cast<size_t>(m_slots)) return false;
  // An idle engine admits any prompt that fits, however long the output may
  // get.
  if (Runs() == 0) return prompt <= m_memory;
  std::vector<Growth> growths = Growths();
  growths.push_back({prompt, estimate, Tokens(0)});
  return PeakOf(growths) <= static_cast<double>(m_memory.Value()) * share;
}

void EngineLedger::Add(const AttemptId& attempt, Tokens prompt, Tokens estimate,
                       TimePoint now) {
  Run& run = m_runs.FindOrInsert(attempt);
  run = {prompt, estimate, Tokens(0), now, false};
}

void EngineLedger::Remove(const AttemptId& attempt) {
  const Run* run = m_runs.Find(attempt);
  if (run == nullptr) return;
  if (run->seen && run->produced.Value() > 0) {
    m_lengths.Learn(run->estimate, run->produced);
  }
  m_runs.Erase(attempt);
}

void EngineLedger::Observe(const std::vector<ReportedRun>& runs,
                           TimePoint now) {
  std::unordered_map<uint64_t, Tokens> held;
  for (const ReportedRun& run : runs) held[run.request.Value()] = run.held;
  std::vector<AttemptId> lapsed;
  for (auto& [attempt, run] : m_runs) {
    const auto found = held.find(attempt.request.Value());
    if (found != held.end()) {
      run.seen = true;
      run.produced = std::max(
          run.produced, Tokens(std::max<int64_t>(
                            found->second.Value() - run.prompt.Value(), 0)));
      held.erase(found);
    } else if (run.seen || now - run.reserved_at > kArrivalTime) {
      lapsed.push_back(attempt);
    }
  }
  for (const AttemptId& attempt : lapsed) Remove(attempt);
  m_unreserved.clear();
  for (const auto& [request, tokens] : held) {
    m_unreserved.push_back({RequestId(request), tokens});
  }
}

std::vector<EngineLedger::Growth> EngineLedger::Growths() const {
  std::vector<Growth> growths;
  growths.reserve(Runs() + 1);
  for (const auto& [attempt, run] : m_runs) {
    growths.push_back({run.prompt + run.produced, run.estimate, run.produced});
  }
  for (const ReportedRun& run : m_unreserved) {
    const auto output = static_cast<int64_t>(
        static_cast<double>(run.held.Value()) * kUnreservedOutput);
    growths.push_back({run.held, Tokens(output), Tokens(output / 2)});
  }
  return growths;
}

double EngineLedger::UseAfter(const std::vector<Growth>& growths,
                              Tokens more) const {
  double mean = 0;
  double variance = 0;
  for (const Growth& growth : growths) {
    const double chance =
        m_lengths.ChanceToGoOn(growth.estimate, growth.produced, more);
    const auto size = static_cast<double>((growth.held + more).Value());
    mean += chance * size;
    variance += chance * (1 - chance) * size * size;
  }
  return mean + kMargin * std::sqrt(variance);
}

double EngineLedger::PeakOf(const std::vector<Growth>& growths) const {
  double peak = 0;
  for (int64_t more = 0; more <= kProjectionEnd; more += kProjectionStep) {
    peak = std::max(peak, UseAfter(growths, Tokens(more)));
  }
  return peak;
}

Tokens EngineLedger::ExpectedPeak() const {
  return Tokens(static_cast<int64_t>(PeakOf(Growths())));
}

Tokens EngineLedger::OutputUntilFits(Tokens prompt, Tokens estimate) const {
  const std::vector<Growth> growths = Growths();
  const auto needed = static_cast<double>(prompt.Value()) +
                      static_cast<double>(estimate.Value()) / 2;
  const auto memory = static_cast<double>(m_memory.Value());
  for (int64_t more = 0; more < kProjectionEnd; more += kProjectionStep) {
    if (UseAfter(growths, Tokens(more)) + needed <= memory) return Tokens(more);
  }
  return Tokens(kProjectionEnd);
}

}  // namespace burdockhill

#include "burdockhill/src/routing/release_projection.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockhill {

namespace {

// Steps, and the multiple of the mean estimated output that a number of them
// covers. The admission looks as far ahead as kPeakSteps.
constexpr size_t kPeakSteps = 24;
constexpr double kPeakRatio = 1.5;
constexpr size_t kMaxSteps = 64;
// A slot is expected to be free when the expected number of runs is below the
// number of slots by this much: half a run, because the runs end one by one.
constexpr double kFreeSlotShare = 0.5;

}  // namespace

ReleaseProjection::ReleaseProjection(const std::vector<ProjectedRun>& runs,
                                     const OutputLengthModel* lengths,
                                     Tokens memory, int slots)
    : m_lengths(lengths),
      m_memory(static_cast<double>(memory.Value())),
      m_slots(slots) {
  Tokens sum(0);
  for (const ProjectedRun& run : runs) sum += run.estimated_output;
  const double mean = static_cast<double>(sum.Value()) /
                      static_cast<double>(std::max<size_t>(runs.size(), 1));
  m_step_tokens = static_cast<int64_t>(kPeakRatio * mean) /
                      static_cast<int64_t>(kPeakSteps) +
                  1;
  m_rows.reserve(runs.size() + 1);
  for (const ProjectedRun& run : runs) m_rows.push_back(MakeRow(run));
}

ReleaseProjection::Row ReleaseProjection::MakeRow(
    const ProjectedRun& run) const {
  Row row;
  row.probability.resize(kMaxSteps + 1);
  row.size.resize(kMaxSteps + 1);
  for (size_t i = 0; i <= kMaxSteps; ++i) {
    const Tokens more(std::max<int64_t>(
        static_cast<int64_t>(i) * m_step_tokens - run.starts_after.Value(), 0));
    row.probability[i] = m_lengths->SurvivalProbability(run.estimated_output,
                                                        run.produced, more);
    row.size[i] = static_cast<double>((run.kv_tokens + more).Value());
  }
  return row;
}

bool ReleaseProjection::FitsAfter(size_t step, const Row& added,
                                  double share) const {
  double runs = 0;
  for (const Row& row : m_rows) runs += row.probability[step];
  if (m_slots > 0 && runs > m_slots - kFreeSlotShare) return false;
  const size_t last = std::min(step + kPeakSteps, kMaxSteps);
  for (size_t i = step; i <= last; ++i) {
    double mean = 0;
    double variance = 0;
    double if_all_continue = 0;
    const auto add = [&](double now, double then, double size) {
      const double use = then * size;
      if_all_continue += now * size;
      mean += use;
      if (now > 0) variance += use * (1 - then / now) * size;
    };
    for (const Row& row : m_rows) {
      add(row.probability[step], row.probability[i], row.size[i]);
    }
    add(1, added.probability[i - step], added.size[i - step]);
    const double peak = std::min(mean + kMarginDeviations * std::sqrt(variance),
                                 if_all_continue);
    if (peak > share * m_memory) return false;
  }
  return true;
}

Tokens ReleaseProjection::OutputUntilFits(Tokens prompt,
                                          Tokens estimated_output,
                                          double share) const {
  const Row added = MakeRow({prompt, estimated_output, Tokens(0)});
  size_t step = 0;
  while (step < kMaxSteps && !FitsAfter(step, added, share)) ++step;
  return Tokens(static_cast<int64_t>(step) * m_step_tokens);
}

void ReleaseProjection::Add(Tokens prompt, Tokens estimated_output,
                            Tokens starts_after) {
  Row row = MakeRow({prompt, estimated_output, Tokens(0), starts_after});
  // It holds nothing before it is admitted.
  const auto start = static_cast<size_t>(starts_after.Value() / m_step_tokens);
  std::fill_n(row.probability.begin(), std::min(start, kMaxSteps), 0.0);
  m_rows.push_back(std::move(row));
}

}  // namespace burdockhill

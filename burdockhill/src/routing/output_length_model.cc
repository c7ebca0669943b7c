#include "burdockhill/src/routing/output_length_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace burdockhill {

namespace {

// Samples kept: enough for a stable mean, few enough to follow a change.
constexpr size_t kMaxSamples = 96;
// Samples to start with: quantiles of a log-normal distribution with a median
// of 1 and a standard deviation of 0.5 of the logarithm.
constexpr std::array<double, 9> kPriorRatios = {0.44, 0.6,  0.72, 0.86, 1.0,
                                                1.16, 1.39, 1.67, 2.27};
// For an output longer than all samples, the probability to continue halves
// with each further growth by this share of its length. The samples say little
// about lengths beyond the longest of them.
constexpr double kTailHalvingShare = 0.15;

}  // namespace

OutputLengthModel::OutputLengthModel()
    : m_ratios(kPriorRatios.begin(), kPriorRatios.end()),
      m_sorted(kPriorRatios.begin(), kPriorRatios.end()) {
  UpdateMeans();
}

void OutputLengthModel::AddSample(Tokens estimate, Tokens actual) {
  if (estimate.Value() <= 0) return;
  m_ratios.push_back(static_cast<double>(actual.Value()) /
                     static_cast<double>(estimate.Value()));
  if (m_ratios.size() > kMaxSamples) m_ratios.pop_front();
  m_sorted.assign(m_ratios.begin(), m_ratios.end());
  std::sort(m_sorted.begin(), m_sorted.end());
  UpdateMeans();
}

void OutputLengthModel::UpdateMeans() {
  const auto count = static_cast<double>(m_ratios.size());
  m_mean_ratio = std::accumulate(m_ratios.begin(), m_ratios.end(), 0.0) / count;
  m_mean_square_ratio = std::inner_product(m_ratios.begin(), m_ratios.end(),
                                           m_ratios.begin(), 0.0) /
                        count;
}

size_t OutputLengthModel::CountLonger(double ratio) const {
  const auto first = std::upper_bound(m_sorted.begin(), m_sorted.end(), ratio);
  return static_cast<size_t>(m_sorted.end() - first);
}

double OutputLengthModel::SurvivalProbability(Tokens estimate, Tokens produced,
                                              Tokens more) const {
  const auto expected =
      static_cast<double>(std::max<int64_t>(estimate.Value(), 1));
  const auto so_far = static_cast<double>(produced.Value());
  const size_t surviving = CountLonger(so_far / expected);
  if (surviving == 0) {
    const double halvings =
        static_cast<double>(more.Value()) / (kTailHalvingShare * so_far + 1);
    return std::exp2(-halvings);
  }
  const size_t longer =
      CountLonger((so_far + static_cast<double>(more.Value())) / expected);
  return static_cast<double>(longer) / static_cast<double>(surviving);
}

}  // namespace burdockhill

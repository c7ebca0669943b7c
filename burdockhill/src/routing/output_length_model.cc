#include "burdockhill/src/routing/output_length_model.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace burdockhill {

namespace {

// Samples kept: enough for a stable mean, few enough to follow a change.
constexpr size_t kMemory = 96;
// Samples to start with: quantiles of a log-normal distribution with a median
// of 1 and a standard deviation of 0.5 of the logarithm.
constexpr std::array<double, 9> kPrior = {0.44, 0.6,  0.72, 0.86, 1.0,
                                          1.16, 1.39, 1.67, 2.27};
// For an answer longer than all samples, the probability to continue halves
// with each further growth by this share of its length. The samples say little
// about lengths beyond the longest of them.
constexpr double kTailShare = 0.15;

}  // namespace

OutputLengthModel::OutputLengthModel()
    : m_ratios(kPrior.begin(), kPrior.end()),
      m_sorted(kPrior.begin(), kPrior.end()) {}

void OutputLengthModel::Learn(Tokens estimate, Tokens actual) {
  if (estimate.Value() <= 0) return;
  m_ratios.push_back(static_cast<double>(actual.Value()) /
                     static_cast<double>(estimate.Value()));
  if (m_ratios.size() > kMemory) m_ratios.pop_front();
  m_sorted.assign(m_ratios.begin(), m_ratios.end());
  std::sort(m_sorted.begin(), m_sorted.end());
}

size_t OutputLengthModel::CountLonger(double ratio) const {
  const auto first = std::upper_bound(m_sorted.begin(), m_sorted.end(), ratio);
  return static_cast<size_t>(m_sorted.end() - first);
}

double OutputLengthModel::ChanceToGoOn(Tokens estimate, Tokens produced,
                                       Tokens more) const {
  const auto whole =
      static_cast<double>(std::max<int64_t>(estimate.Value(), 1));
  const auto so_far = static_cast<double>(produced.Value());
  const size_t alive = CountLonger(so_far / whole);
  if (alive == 0) {
    const double halvings =
        static_cast<double>(more.Value()) / (kTailShare * so_far + 1);
    return std::exp2(-halvings);
  }
  const size_t longer =
      CountLonger((so_far + static_cast<double>(more.Value())) / whole);
  return static_cast<double>(longer) / static_cast<double>(alive);
}

}  // namespace burdockhill

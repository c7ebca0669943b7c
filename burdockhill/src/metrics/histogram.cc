#include "burdockhill/src/metrics/histogram.h"

#include <algorithm>
#include <limits>

namespace burdockhill {

namespace acc = boost::accumulators;

void Histogram::Add(double seconds) {
  const auto bound =
      std::lower_bound(kBucketBounds.begin(), kBucketBounds.end(), seconds);
  m_buckets[static_cast<size_t>(bound - kBucketBounds.begin())](seconds);
  m_all_samples(seconds);
}

uint64_t Histogram::Count() const { return acc::count(m_all_samples); }

double Histogram::Sum() const { return acc::sum(m_all_samples); }

double Histogram::Max() const {
  return Count() == 0 ? 0.0 : acc::max(m_all_samples);
}

uint64_t Histogram::BucketCount(size_t index) const {
  return acc::count(m_buckets.at(index));
}

double Histogram::Quantile(double fraction) const {
  const double target_count = fraction * static_cast<double>(Count());
  double cumulative_count = 0.0;
  for (size_t i = 0; i < kBucketBounds.size(); ++i) {
    cumulative_count += static_cast<double>(BucketCount(i));
    if (cumulative_count >= target_count) return kBucketBounds[i];
  }
  return Max();
}

}  // namespace burdockhill

#include "burdockhill/src/metrics/histogram.h"

#include <algorithm>
#include <limits>

namespace burdockhill {

namespace acc = boost::accumulators;

void Histogram::Add(double seconds) {
  const auto bound = std::lower_bound(kBounds.begin(), kBounds.end(), seconds);
  m_buckets[static_cast<size_t>(bound - kBounds.begin())](seconds);
  m_total(seconds);
}

uint64_t Histogram::Count() const { return acc::count(m_total); }

double Histogram::Sum() const { return acc::sum(m_total); }

double Histogram::Max() const { return Count() == 0 ? 0.0 : acc::max(m_total); }

uint64_t Histogram::BucketCount(size_t index) const {
  return acc::count(m_buckets.at(index));
}

double Histogram::Quantile(double share) const {
  const double wanted = share * static_cast<double>(Count());
  double seen = 0.0;
  for (size_t i = 0; i < kBounds.size(); ++i) {
    seen += static_cast<double>(BucketCount(i));
    if (seen >= wanted) return kBounds[i];
  }
  return Max();
}

}  // namespace burdockhill

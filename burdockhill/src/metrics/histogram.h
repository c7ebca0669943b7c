#ifndef BURDOCKHILL_SRC_METRICS_HISTOGRAM_H_
#define BURDOCKHILL_SRC_METRICS_HISTOGRAM_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>

namespace burdockhill {

// Distribution of a duration in seconds, with fixed bucket bounds.
class Histogram {
 public:
  // Upper bounds of the buckets, seconds; one more bucket takes the rest.
  static constexpr std::array kBounds = {0.001, 0.0025, 0.005, 0.01, 0.02,
                                         0.032, 0.05,   0.1,   0.2,  0.4,
                                         0.7,   1.0,    2.0,   5.0,  10.0};

  void Add(double seconds);

  uint64_t Count() const;
  double Sum() const;
  double Max() const;
  // Samples in bucket `index`, 0 to kBounds.size().
  uint64_t BucketCount(size_t index) const;
  // Upper bound of the bucket that holds the given share of the samples.
  double Quantile(double share) const;

 private:
  using Bucket = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count>>;
  using Total = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count,
                                         boost::accumulators::tag::sum,
                                         boost::accumulators::tag::max>>;

  std::array<Bucket, kBounds.size() + 1> m_buckets;
  Total m_total;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_METRICS_HISTOGRAM_H_

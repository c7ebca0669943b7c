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

// Distribution of a duration in seconds, with fixed bucket boundaries.
class Histogram {
 public:
  // Inclusive upper bounds of the buckets, seconds. One more bucket holds the
  // samples above the last bound.
  static constexpr std::array kBucketBounds = {
      0.001, 0.0025, 0.005, 0.01, 0.02, 0.032, 0.05, 0.1,
      0.2,   0.4,    0.7,   1.0,  2.0,  5.0,   10.0};

  void Add(double seconds);

  uint64_t Count() const;
  double Sum() const;  // Seconds.
  double Max() const;  // Seconds; 0 without samples.
  // Samples in bucket `index`, 0 to kBucketBounds.size().
  uint64_t BucketCount(size_t index) const;
  // Upper bound, in seconds, of the first bucket up to which at least the given
  // fraction of the samples lies; Max() if that is the last bucket, and the
  // first bound without samples.
  double Quantile(double fraction) const;

 private:
  using Bucket = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count>>;
  using SampleSummary = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count,
                                         boost::accumulators::tag::sum,
                                         boost::accumulators::tag::max>>;

  std::array<Bucket, kBucketBounds.size() + 1> m_buckets;
  SampleSummary m_all_samples;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_METRICS_HISTOGRAM_H_

#ifndef BURDOCKHILL_SRC_METRICS_METRICS_REGISTRY_H_
#define BURDOCKHILL_SRC_METRICS_METRICS_REGISTRY_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "burdockhill/src/metrics/histogram.h"

namespace burdockhill {

// Labels of a series. Empty labels are omitted from the exported text.
struct MetricLabels {
  std::string team;
  std::string request_class;
  std::string service;
  std::string kind;
  auto operator<=>(const MetricLabels&) const = default;
};

// Counters, gauges and histograms of one process, by metric name and labels.
class MetricsRegistry {
 public:
  void IncrementCounter(const std::string& name, const MetricLabels& labels,
                        uint64_t increment = 1);
  void SetGauge(const std::string& name, const MetricLabels& labels,
                int64_t value);
  // The histogram of a series, created empty if it does not exist. The pointer
  // stays valid as long as the registry.
  Histogram* HistogramFor(const std::string& name, const MetricLabels& labels);

  // 0 if the counter has never been incremented.
  uint64_t CounterValue(const std::string& name,
                        const MetricLabels& labels) const;

  // All series in the Prometheus text format, version 0.0.4.
  std::string PrometheusText() const;

 private:
  using SeriesKey = std::pair<std::string, MetricLabels>;
  std::map<SeriesKey, uint64_t> m_counters;
  std::map<SeriesKey, int64_t> m_gauges;
  std::map<SeriesKey, Histogram> m_histograms;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_METRICS_METRICS_REGISTRY_H_

#include "burdockhill/src/metrics/metrics_registry.h"

#include <sstream>

namespace burdockhill {

namespace {

// `extra` is an additional label, already formatted, or empty.
std::string LabelText(const MetricLabels& labels, const std::string& extra) {
  std::string text;
  const auto add = [&](const char* name, const std::string& value) {
    if (value.empty()) return;
    if (!text.empty()) text += ',';
    text += std::string(name) + "=\"" + value + "\"";
  };
  add("team", labels.team);
  add("class", labels.request_class);
  add("service", labels.service);
  add("kind", labels.kind);
  if (!extra.empty()) text += (text.empty() ? "" : ",") + extra;
  return text.empty() ? text : "{" + text + "}";
}

// Writes the TYPE line of a metric once, before its first series.
class TypeLine {
 public:
  TypeLine(std::ostringstream* out, const char* type)
      : m_out(out), m_type(type) {}
  void Before(const std::string& name) {
    if (name == m_last) return;
    m_last = name;
    *m_out << "# TYPE " << name << ' ' << m_type << '\n';
  }

 private:
  std::ostringstream* m_out;
  const char* m_type;
  std::string m_last;
};

void WriteHistogram(std::ostringstream* out, const std::string& name,
                    const MetricLabels& labels, const Histogram& histogram) {
  uint64_t cumulative = 0;
  for (size_t i = 0; i <= Histogram::kBounds.size(); ++i) {
    cumulative += histogram.BucketCount(i);
    std::ostringstream bound;
    if (i < Histogram::kBounds.size()) {
      bound << "le=\"" << Histogram::kBounds[i] << '"';
    } else {
      bound << "le=\"+Inf\"";
    }
    *out << name << "_bucket" << LabelText(labels, bound.str()) << ' '
         << cumulative << '\n';
  }
  *out << name << "_sum" << LabelText(labels, "") << ' ' << histogram.Sum()
       << '\n';
  *out << name << "_count" << LabelText(labels, "") << ' ' << histogram.Count()
       << '\n';
}

}  // namespace

void MetricsRegistry::IncrementCounter(const std::string& name,
                                       const MetricLabels& labels,
                                       uint64_t increment) {
  m_counters[{name, labels}] += increment;
}

void MetricsRegistry::SetGauge(const std::string& name,
                               const MetricLabels& labels, int64_t value) {
  m_gauges[{name, labels}] = value;
}

Histogram* MetricsRegistry::HistogramFor(const std::string& name,
                                         const MetricLabels& labels) {
  return &m_histograms[{name, labels}];
}

uint64_t MetricsRegistry::CounterValue(const std::string& name,
                                       const MetricLabels& labels) const {
  const auto found = m_counters.find({name, labels});
  return found == m_counters.end() ? 0 : found->second;
}

std::string MetricsRegistry::PrometheusText() const {
  std::ostringstream out;
  TypeLine counter_type(&out, "counter");
  for (const auto& [key, value] : m_counters) {
    counter_type.Before(key.first);
    out << key.first << LabelText(key.second, "") << ' ' << value << '\n';
  }
  TypeLine gauge_type(&out, "gauge");
  for (const auto& [key, value] : m_gauges) {
    gauge_type.Before(key.first);
    out << key.first << LabelText(key.second, "") << ' ' << value << '\n';
  }
  TypeLine histogram_type(&out, "histogram");
  for (const auto& [key, histogram] : m_histograms) {
    histogram_type.Before(key.first);
    WriteHistogram(&out, key.first, key.second, histogram);
  }
  return out.str();
}

}  // namespace burdockhill

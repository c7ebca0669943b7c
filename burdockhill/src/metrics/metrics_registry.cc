#include "burdockhill/src/metrics/metrics_registry.h"

#include <sstream>

namespace burdockhill {

namespace {

// Names of teams may have any visible characters.
std::string EscapeLabelValue(const std::string& value) {
  std::string text;
  for (const char c : value) {
    if (c == '\\' || c == '"') text.push_back('\\');
    if (c == '\n') {
      text.append("\\n");
    } else {
      text.push_back(c);
    }
  }
  return text;
}

// `extra_label` is an additional label, already formatted, or empty.
std::string FormatLabels(const MetricLabels& labels,
                         const std::string& extra_label) {
  std::string text;
  const auto add = [&](const char* name, const std::string& value) {
    if (value.empty()) return;
    if (!text.empty()) text += ',';
    text += std::string(name) + "=\"" + EscapeLabelValue(value) + "\"";
  };
  add("team", labels.team);
  add("class", labels.request_class);
  add("service", labels.service);
  add("kind", labels.kind);
  if (!extra_label.empty()) text += (text.empty() ? "" : ",") + extra_label;
  return text.empty() ? text : "{" + text + "}";
}

// Writes the TYPE line of a metric once, before its first series.
class TypeLineWriter {
 public:
  TypeLineWriter(std::ostringstream* out, const char* type)
      : m_out(out), m_type(type) {}
  void WriteOnceFor(const std::string& name) {
    if (name == m_last_name) return;
    m_last_name = name;
    *m_out << "# TYPE " << name << ' ' << m_type << '\n';
  }

 private:
  std::ostringstream* m_out;
  const char* m_type;
  std::string m_last_name;
};

void WriteHistogram(std::ostringstream* out, const std::string& name,
                    const MetricLabels& labels, const Histogram& histogram) {
  uint64_t cumulative = 0;
  for (size_t i = 0; i <= Histogram::kBucketBounds.size(); ++i) {
    cumulative += histogram.BucketCount(i);
    std::ostringstream bound;
    if (i < Histogram::kBucketBounds.size()) {
      bound << "le=\"" << Histogram::kBucketBounds[i] << '"';
    } else {
      bound << "le=\"+Inf\"";
    }
    *out << name << "_bucket" << FormatLabels(labels, bound.str()) << ' '
         << cumulative << '\n';
  }
  *out << name << "_sum" << FormatLabels(labels, "") << ' ' << histogram.Sum()
       << '\n';
  *out << name << "_count" << FormatLabels(labels, "") << ' '
       << histogram.Count() << '\n';
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
  TypeLineWriter counter_type(&out, "counter");
  for (const auto& [key, value] : m_counters) {
    counter_type.WriteOnceFor(key.first);
    out << key.first << FormatLabels(key.second, "") << ' ' << value << '\n';
  }
  TypeLineWriter gauge_type(&out, "gauge");
  for (const auto& [key, value] : m_gauges) {
    gauge_type.WriteOnceFor(key.first);
    out << key.first << FormatLabels(key.second, "") << ' ' << value << '\n';
  }
  TypeLineWriter histogram_type(&out, "histogram");
  for (const auto& [key, histogram] : m_histograms) {
    histogram_type.WriteOnceFor(key.first);
    WriteHistogram(&out, key.first, key.second, histogram);
  }
  return out.str();
}

}  // namespace burdockhill

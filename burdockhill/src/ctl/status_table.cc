#include "burdockhill/src/ctl/status_table.h"

#include <cstdio>
#include <iostream>
#include <map>
#include <sstream>

#include "burdockhill/src/ctl/verb_support.h"

namespace burdockhill {

namespace {

using nlohmann::json;
using Rows = std::vector<std::vector<std::string>>;

std::string YesNo(bool value) { return value ? "yes" : "no"; }

void PrintConfiguration(const json& status) {
  if (!status.contains("configuration")) {
    std::cout << "Configuration: the platform did not answer; this entry has "
              << "generation " << status.value("in_force", uint64_t{0})
              << " in force\n";
    return;
  }
  const json& state = status["configuration"];
  std::cout << "Configuration: generation "
            << state.value("accepted", uint64_t{0}) << " accepted";
  if (state.value("staged", uint64_t{0}) != 0) {
    std::cout << ", " << state["staged"] << " staged";
  }
  if (status.contains("rollout")) {
    const json& rollout = status["rollout"];
    std::cout << ", in force on " << rollout.value("in_force", int64_t{0})
              << " of " << rollout.value("known", int64_t{0}) << " VMs";
    for (const json& vm : rollout.value("behind", json::array())) {
      std::cout << "\n  behind: " << vm.get<std::string>();
    }
  }
  std::cout << "; coordinator " << state.value("coordinator", "") << "\n";
  for (const json& change : state.value("refused", json::array())) {
    std::cout << "  refused: " << change.value("kind", "") << "/"
              << change.value("name", "") << ": " << change.value("reason", "")
              << "\n";
  }
}

struct ServiceTotals {
  std::string kind;
  int64_t upstreams = 0;
  int64_t usable = 0;
  int64_t running = 0;
  int64_t slots = 0;
};

void PrintServices(const json& status) {
  std::map<std::string, ServiceTotals> services;
  for (const json& service : status.value("services", json::array())) {
    services[service.value("name", "")].kind = service.value("kind", "");
  }
  for (const json& upstream : status.value("upstreams", json::array())) {
    const auto found = services.find(upstream.value("service", ""));
    if (found == services.end()) continue;
    ServiceTotals& totals = found->second;
    ++totals.upstreams;
    const bool usable = upstream.value("state", "") == "up" &&
                        !upstream.value("leaving", false);
    if (!usable) continue;
    ++totals.usable;
    for (const json& engine : upstream["engines"]) {
      if (engine.value("role", "") != "decode") continue;
      totals.running += engine.value("running", int64_t{0});
      totals.slots += engine.value("slots", int64_t{0});
    }
  }
  Rows rows = {{"SERVICE", "KIND", "UPSTREAMS", "USABLE", "RUNNING", "SLOTS"}};
  for (const auto& [name, totals] : services) {
    rows.push_back({name, totals.kind, std::to_string(totals.upstreams),
                    std::to_string(totals.usable),
                    std::to_string(totals.running),
                    std::to_string(totals.slots)});
  }
  internal::PrintTable(rows);
}

void PrintUpstreams(const json& status) {
  Rows rows = {{"UPSTREAM", "SERVICE", "ZONE", "STATE", "LEAVING", "IN FORCE",
                "ENGINES"}};
  for (const json& upstream : status.value("upstreams", json::array())) {
    std::string engines;
    for (const json& engine : upstream["engines"]) {
      if (!engines.empty()) engines += ", ";
      engines += engine.value("role", "") + " " +
                 std::to_string(engine.value("running", 0)) + "/" +
                 std::to_string(engine.value("slots", 0)) +
                 (engine.value("healthy", false) ? "" : " down");
    }
    rows.push_back(
        {upstream.value("upstream", upstream.value("vm", "")),
         upstream.value("service", ""), upstream.value("zone", ""),
         upstream.value("state", ""), YesNo(upstream.value("leaving", false)),
         std::to_string(upstream.value("in_force", uint64_t{0})), engines});
  }
  internal::PrintTable(rows);
}

// A histogram of a Prometheus text.
struct Histogram {
  std::vector<std::pair<std::string, double>>
      cumulative;  // Upper bound, count.
  double sum = 0.0;
  double count = 0.0;
};

// Removes `le="..."` from `labels` and returns its value.
std::string ExtractBucketBound(std::string* labels) {
  const size_t start = labels->find("le=\"");
  if (start == std::string::npos) return {};
  const size_t end = labels->find('"', start + 4);
  std::string bound = labels->substr(start + 4, end - start - 4);
  size_t from = start;
  if (from > 0 && (*labels)[from - 1] == ',') --from;
  labels->erase(from, end + 1 - from);
  return bound;
}

void PrintHistogram(const std::string& name, const Histogram& histogram) {
  constexpr double kBarWidth = 40.0;
  const double mean =
      histogram.count > 0 ? histogram.sum / histogram.count : 0.0;
  std::printf("%s  count %.0f  mean %.4f s\n", name.c_str(), histogram.count,
              mean);
  double previous_cumulative = 0.0;
  for (const auto& [bound, cumulative] : histogram.cumulative) {
    const double bucket_count = cumulative - previous_cumulative;
    previous_cumulative = cumulative;
    if (bucket_count <= 0.0) continue;
    const auto width =
        static_cast<size_t>(kBarWidth * bucket_count / histogram.count);
    std::printf("  <= %6s s %8.0f %s\n", bound.c_str(), bucket_count,
                std::string(width, '#').c_str());
  }
}

}  // namespace

void PrintStatus(const json& status) {
  std::cout << "Entry " << status.value("vm", "") << " in zone "
            << status.value("zone", "") << ": "
            << (status.value("ready", false) ? "ready" : "not ready") << ", "
            << status.value("requests", 0) << " requests open, "
            << status.value("entries", 0) << " entries listed\n";
  PrintConfiguration(status);
  std::cout << "\n";
  PrintServices(status);
  std::cout << "\n";
  PrintUpstreams(status);
}

void PrintMetrics(const std::string& prometheus_text) {
  std::map<std::string, Histogram> histograms;
  std::map<std::string, std::string> counters;
  std::istringstream lines(prometheus_text);
  std::string line;
  while (std::getline(lines, line)) {
    const size_t space = line.rfind(' ');
    if (line.empty() || line[0] == '#' || space == std::string::npos) continue;
    std::string series = line.substr(0, space);
    const std::string value = line.substr(space + 1);
    const size_t brace = std::min(series.find('{'), series.size());
    const std::string name = series.substr(0, brace);
    std::string labels = series.substr(brace);
    const auto has_suffix = [&](const std::string& suffix) {
      return name.ends_with(suffix);
    };
    const auto strip_suffix = [&](const std::string& suffix) {
      return name.substr(0, name.size() - suffix.size()) + labels;
    };
    if (has_suffix("_bucket")) {
      const std::string bound = ExtractBucketBound(&labels);
      histograms[strip_suffix("_bucket")].cumulative.emplace_back(
          bound, std::stod(value));
    } else if (has_suffix("_sum")) {
      histograms[strip_suffix("_sum")].sum = std::stod(value);
    } else if (has_suffix("_count")) {
      histograms[strip_suffix("_count")].count = std::stod(value);
    } else {
      counters[series] = value;
    }
  }
  for (const auto& [name, value] : counters) {
    std::cout << name << " " << value << "\n";
  }
  for (const auto& [name, histogram] : histograms) {
    PrintHistogram(name, histogram);
  }
}

}  // namespace burdockhill

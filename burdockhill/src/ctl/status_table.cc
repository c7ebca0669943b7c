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

struct ServiceSum {
  std::string kind;
  int64_t upstreams = 0;
  int64_t usable = 0;
  int64_t running = 0;
  int64_t slots = 0;
};

void PrintServices(const json& status) {
  std::map<std::string, ServiceSum> services;
  for (const json& service : status.value("services", json::array())) {
    services[service.value("name", "")].kind = service.value("kind", "");
  }
  for (const json& upstream : status.value("upstreams", json::array())) {
    const auto found = services.find(upstream.value("service", ""));
    if (found == services.end()) continue;
    ServiceSum& sum = found->second;
    ++sum.upstreams;
    const bool usable = upstream.value("state", "") == "up" &&
                        !upstream.value("leaving", false);
    if (!usable) continue;
    ++sum.usable;
    for (const json& engine : upstream["engines"]) {
      if (engine.value("role", "") != "decode") continue;
      sum.running += engine.value("running", int64_t{0});
      sum.slots += engine.value("slots", int64_t{0});
    }
  }
  Rows rows = {{"SERVICE", "KIND", "UPSTREAMS", "USABLE", "RUNNING", "SLOTS"}};
  for (const auto& [name, sum] : services) {
    rows.push_back({name, sum.kind, std::to_string(sum.upstreams),
                    std::to_string(sum.usable), std::to_string(sum.running),
                    std::to_string(sum.slots)});
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

// One histogram of a Prometheus text.
struct Buckets {
  std::vector<std::pair<std::string, double>>
      cumulative;  // Upper bound, count.
  double sum = 0.0;
  double count = 0.0;
};

// Removes `le="..."` from `labels` and returns its value.
std::string TakeBound(std::string* labels) {
  const size_t start = labels->find("le=\"");
  if (start == std::string::npos) return {};
  const size_t end = labels->find('"', start + 4);
  std::string bound = labels->substr(start + 4, end - start - 4);
  size_t from = start;
  if (from > 0 && (*labels)[from - 1] == ',') --from;
  labels->erase(from, end + 1 - from);
  return bound;
}

void PrintHistogram(const std::string& name, const Buckets& buckets) {
  constexpr double kBarWidth = 40.0;
  const double mean = buckets.count > 0 ? buckets.sum / buckets.count : 0.0;
  std::printf("%s  count %.0f  mean %.4f s\n", name.c_str(), buckets.count,
              mean);
  double before = 0.0;
  for (const auto& [bound, cumulative] : buckets.cumulative) {
    const double here = cumulative - before;
    before = cumulative;
    if (here <= 0.0) continue;
    const auto width = static_cast<size_t>(kBarWidth * here / buckets.count);
    std::printf("  <= %6s s %8.0f %s\n", bound.c_str(), here,
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
  std::map<std::string, Buckets> histograms;
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
    const auto ends = [&](const std::string& suffix) {
      return name.ends_with(suffix);
    };
    const auto base = [&](const std::string& suffix) {
      return name.substr(0, name.size() - suffix.size()) + labels;
    };
    if (ends("_bucket")) {
      const std::string bound = TakeBound(&labels);
      histograms[base("_bucket")].cumulative.emplace_back(bound,
                                                          std::stod(value));
    } else if (ends("_sum")) {
      histograms[base("_sum")].sum = std::stod(value);
    } else if (ends("_count")) {
      histograms[base("_count")].count = std::stod(value);
    } else {
      counters[series] = value;
    }
  }
  for (const auto& [name, value] : counters) {
    std::cout << name << " " << value << "\n";
  }
  for (const auto& [name, buckets] : histograms) {
    PrintHistogram(name, buckets);
  }
}

}  // namespace burdockhill

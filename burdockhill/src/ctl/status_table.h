#ifndef BURDOCKHILL_SRC_CTL_STATUS_TABLE_H_
#define BURDOCKHILL_SRC_CTL_STATUS_TABLE_H_

#include <nlohmann/json.hpp>
#include <string>

namespace burdockhill {

// Prints an entry's status as tables. `status` is the entry's /status page; the
// optional fields "configuration" and "rollout" hold the platform's objects.
void PrintStatus(const nlohmann::json& status);

// Prints metrics in the Prometheus text format: counters and gauges as they
// are, histograms as a bar for each bucket.
void PrintMetrics(const std::string& prometheus_text);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_CTL_STATUS_TABLE_H_

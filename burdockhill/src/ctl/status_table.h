#ifndef BURDOCKHILL_SRC_CTL_STATUS_TABLE_H_
#define BURDOCKHILL_SRC_CTL_STATUS_TABLE_H_

#include <nlohmann/json.hpp>
#include <string>

namespace burdockhill {

// Prints an entry's status, with the platform's objects in it if there, as
// tables.
void PrintStatus(const nlohmann::json& status);

// Prints the histograms of a Prometheus text, a row a bucket with a bar.
void PrintMetrics(const std::string& prometheus_text);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_CTL_STATUS_TABLE_H_

#include "burdockhill/src/ctl/request_events.h"

#include <map>
#include <nlohmann/json.hpp>

namespace burdockhill {

namespace {

using nlohmann::ordered_json;

std::string FormatMilliseconds(int64_t microseconds) {
  constexpr int64_t kMicrosecondsPerMillisecond = 1000;
  return std::to_string(microseconds / kMicrosecondsPerMillisecond) + " ms";
}

std::string FormatOtherFields(const ordered_json& line) {
  std::string text;
  for (const auto& [name, value] : line.items()) {
    if (name == "event" || name == "process" || name == "at_us" ||
        name == "request") {
      continue;
    }
    if (!text.empty()) text += ' ';
    text += name;
    text += '=';
    text += value.is_string() ? value.get<std::string>() : value.dump();
  }
  return text;
}

}  // namespace

std::vector<std::vector<std::string>> FindRequestEvents(
    std::istream* log, const std::string& request) {
  std::vector<std::vector<std::string>> rows;
  std::map<std::string, int64_t> first_at;
  std::string text;
  while (std::getline(*log, text)) {
    const size_t start = text.find('{');
    // Most lines are about other requests: skip them without parsing.
    if (start == std::string::npos || text.find(request) == std::string::npos) {
      continue;
    }
    const auto line =
        ordered_json::parse(text.begin() + static_cast<std::ptrdiff_t>(start),
                            text.end(), nullptr, false);
    if (!line.is_object() || line.value("request", "") != request) continue;
    const std::string process = line.value("process", "");
    const int64_t at = line.value("at_us", int64_t{0});
    const int64_t first = first_at.try_emplace(process, at).first->second;
    rows.push_back({process, FormatMilliseconds(at - first),
                    line.value("event", ""), FormatOtherFields(line)});
  }
  return rows;
}

}  // namespace burdockhill

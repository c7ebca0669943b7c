#include "burdockhill/src/daemon/event_log_writer.h"

#include <nlohmann/json.hpp>

#include "burdockhill/src/daemon/logging.h"

namespace burdockhill {

namespace {

// Limit for each event name, which keeps a few frequent events under 10 KB/s.
constexpr int kLinesPerSecond = 25;

}  // namespace

EventLogWriter::EventLogWriter(std::string process, const Clock* clock)
    : m_process(std::move(process)), m_clock(clock) {}

void EventLogWriter::Write(std::string_view event, LogFields fields) {
  const TimePoint now = m_clock->Now();
  auto found = m_rates.find(event);
  if (found == m_rates.end()) {
    found = m_rates.emplace(std::string(event), Rate{now, 0, 0}).first;
  }
  Rate& rate = found->second;
  if (now - rate.since >= std::chrono::seconds(1)) {
    rate.since = now;
    rate.written = 0;
  }
  if (++rate.written > kLinesPerSecond) {
    ++rate.left_out;
    return;
  }
  nlohmann::ordered_json line;
  line["event"] = event;
  line["process"] = m_process;
  line["at_us"] = now.time_since_epoch().count();
  for (const auto& field : fields) {
    auto& target = line[std::string(field.first)];
    std::visit([&target](const auto& value) { target = value; }, field.second);
  }
  if (rate.left_out > 0) line["left_out_before"] = rate.left_out;
  rate.left_out = 0;
  LogLine(line.dump(-1, ' ', false,
                    nlohmann::ordered_json::error_handler_t::replace));
}

}  // namespace burdockhill

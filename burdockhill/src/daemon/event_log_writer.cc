#include "burdockhill/src/daemon/event_log_writer.h"

#include <nlohmann/json.hpp>

#include "burdockhill/src/daemon/logging.h"

namespace burdockhill {

namespace {

// Limit for each event name, which keeps a few frequent events under 10 KB/s.
constexpr int kMaxLinesPerSecond = 25;

}  // namespace

EventLogWriter::EventLogWriter(std::string process_name, const Clock* clock)
    : m_process_name(std::move(process_name)), m_clock(clock) {}

void EventLogWriter::Write(std::string_view event, LogFields fields) {
  const TimePoint now = m_clock->Now();
  auto found = m_line_counters.find(event);
  if (found == m_line_counters.end()) {
    found = m_line_counters.emplace(std::string(event), LineCounter{now, 0, 0})
                .first;
  }
  LineCounter& counter = found->second;
  if (now - counter.window_start >= std::chrono::seconds(1)) {
    counter.window_start = now;
    counter.lines = 0;
  }
  if (++counter.lines > kMaxLinesPerSecond) {
    ++counter.dropped;
    return;
  }
  nlohmann::ordered_json line;
  line["event"] = event;
  line["process"] = m_process_name;
  line["at_us"] = now.time_since_epoch().count();
  for (const auto& field : fields) {
    auto& target = line[std::string(field.first)];
    std::visit([&target](const auto& value) { target = value; }, field.second);
  }
  if (counter.dropped > 0) line["left_out_before"] = counter.dropped;
  counter.dropped = 0;
  LogLine(line.dump(-1, ' ', false,
                    nlohmann::ordered_json::error_handler_t::replace));
}

}  // namespace burdockhill

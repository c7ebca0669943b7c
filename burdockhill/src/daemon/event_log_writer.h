#ifndef BURDOCKHILL_SRC_DAEMON_EVENT_LOG_WRITER_H_
#define BURDOCKHILL_SRC_DAEMON_EVENT_LOG_WRITER_H_

#include <map>
#include <string>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/event_log.h"

namespace burdockhill {

// Writes events as JSON lines to standard output. Limits the lines a second of
// each event; the next line written tells how many were dropped.
class EventLogWriter : public EventLog {
 public:
  EventLogWriter(std::string process_name, const Clock* clock);
  void Write(std::string_view event, LogFields fields) override;

 private:
  // Lines of one event in the current window of a second, and those dropped
  // since a line was last written.
  struct LineCounter {
    TimePoint window_start{};
    int lines = 0;
    int64_t dropped = 0;
  };

  std::string m_process_name;
  const Clock* m_clock;
  std::map<std::string, LineCounter, std::less<>> m_line_counters;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_DAEMON_EVENT_LOG_WRITER_H_

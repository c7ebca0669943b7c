#ifndef BURDOCKHILL_SRC_BASE_EVENT_LOG_H_
#define BURDOCKHILL_SRC_BASE_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace burdockhill {

using LogValue = std::variant<int64_t, double, bool, std::string>;
using LogFields = std::initializer_list<std::pair<std::string_view, LogValue>>;

// Structured log with one line per decision: what was decided, for which
// request, from which inputs (with their age or version), and the outcome.
class EventLog {
 public:
  virtual ~EventLog() = default;
  // Writes one line. Does not block. Lines of the same `event` above a rate
  // limit are counted instead of written.
  virtual void Write(std::string_view event, LogFields fields) = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_BASE_EVENT_LOG_H_

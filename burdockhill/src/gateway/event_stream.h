#ifndef BURDOCKHILL_SRC_GATEWAY_EVENT_STREAM_H_
#define BURDOCKHILL_SRC_GATEWAY_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhill {

// Splits a text/event-stream body at event boundaries. Only complete events are
// forwarded, so that an interrupted stream can be resumed after the last one.
class EventStream {
 public:
  // Appends bytes and returns all events that are complete now.
  std::string Take(std::string_view bytes);

  // Returns and clears the incomplete rest. Call once the stream has ended
  // normally.
  std::string TakeRest();

  // Discards an incomplete event. A resumed stream sends it again.
  void BreakOff() { m_partial.clear(); }

  // The id of the last complete event that had one.
  std::optional<int64_t> LastId() const { return m_last_id; }
  int64_t Events() const { return m_events; }

 private:
  void ReadId(std::string_view event);

  std::string m_partial;
  std::optional<int64_t> m_last_id;
  int64_t m_events = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_EVENT_STREAM_H_

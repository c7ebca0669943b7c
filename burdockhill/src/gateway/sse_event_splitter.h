#ifndef BURDOCKHILL_SRC_GATEWAY_SSE_EVENT_SPLITTER_H_
#define BURDOCKHILL_SRC_GATEWAY_SSE_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhill {

// Splits a text/event-stream body at event boundaries. Only complete events are
// forwarded, so that an interrupted stream can be resumed after the last one.
class SseEventSplitter {
 public:
  // Appends bytes and returns all events that are complete now.
  std::string Append(std::string_view bytes);

  // Returns and clears the incomplete rest. Call once the stream has ended
  // normally.
  std::string DrainPartial();

  // Discards an incomplete event. A resumed stream sends it again.
  void DiscardPartial() { m_partial.clear(); }

  // Bytes of the incomplete event.
  size_t PartialSize() const { return m_partial.size(); }

  // The id of the last complete event that had one.
  std::optional<int64_t> LastEventId() const { return m_last_event_id; }
  int64_t Count() const { return m_event_count; }

 private:
  void ParseEventId(std::string_view event);

  std::string m_partial;
  std::optional<int64_t> m_last_event_id;
  int64_t m_event_count = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_SSE_EVENT_SPLITTER_H_

#ifndef BURDOCKHILL_SRC_HTTP_SSE_EVENT_SPLITTER_H_
#define BURDOCKHILL_SRC_HTTP_SSE_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "burdockhill/src/http/message.h"

namespace burdockhill::http {

// Whether the body of a response is a text/event-stream. One without a
// Content-Type is taken for one, so ask only about responses of streams.
bool IsEventStream(const Head& head);

// Splits a text/event-stream body at event boundaries. Only complete events are
// forwarded, so that an interrupted stream can be resumed after the last one. A
// line ends with LF, CR or both; a blank line ends an event.
class SseEventSplitter {
 public:
  // Continues with the body of a further response, which resumes the stream.
  // Discards an unfinished event: a resumed stream sends it again.
  void BeginResponse();

  // Appends bytes and returns all events that are complete now.
  std::string Append(std::string_view bytes);

  // Returns and clears the rest, which belongs to no event. Call once the
  // stream has ended normally.
  std::string DrainPartial();

  // Whether a response that ends here, as its framing says, has ended its
  // stream too. An event without its blank line was broken off. The end of the
  // connection alone does not prove that the stream has ended, so at least one
  // event must precede it.
  bool EndsStream(BodyFraming framing) const;

  // Bytes of the incomplete event, which are kept.
  size_t PartialSize() const { return m_partial.size(); }

  // The id of the last complete event that had one.
  std::optional<int64_t> LastEventId() const { return m_last_event_id; }
  // Complete events of all responses.
  int64_t Count() const { return m_event_count; }

 private:
  void ParseLine(std::string_view line);
  void EndEvent();

  std::string m_partial;
  size_t m_line_start = 0;    // Of the last line in m_partial.
  size_t m_scanned = 0;       // Bytes of m_partial that were searched.
  bool m_after_cr = false;    // A LF that follows belongs to that line's end.
  bool m_has_fields = false;  // The current event is more than comments.
  std::optional<int64_t> m_event_id;  // Of the current event.
  std::optional<int64_t> m_last_event_id;
  int64_t m_event_count = 0;
  int64_t m_earlier_responses_count = 0;  // Their part of m_event_count.
};

}  // namespace burdockhill::http

#endif  // BURDOCKHILL_SRC_HTTP_SSE_EVENT_SPLITTER_H_

#include "burdockhill/src/http/sse_event_splitter.h"

#include <algorithm>
#include <utility>

namespace burdockhill::http {

namespace {

constexpr std::string_view kEventStreamType = "text/event-stream";
constexpr std::string_view kLineEnds = "\r\n";
constexpr std::string_view kIdField = "id:";

}  // namespace

bool IsEventStream(const Head& head) {
  const std::string* type = head.headers.Find("Content-Type");
  if (type == nullptr) return true;
  const std::string_view media_type =
      std::string_view{*type}.substr(0, kEventStreamType.size());
  return EqualsIgnoringCase(media_type, kEventStreamType);
}

void SseEventSplitter::BeginResponse() {
  m_partial.clear();
  m_line_start = m_scanned = 0;
  m_after_cr = m_has_fields = false;
  m_event_id.reset();
  m_earlier_responses_count = m_event_count;
}

std::string SseEventSplitter::Append(std::string_view bytes) {
  m_partial.append(bytes);
  size_t complete = 0;  // End of the last complete event.
  while (m_line_start < m_partial.size()) {
    if (std::exchange(m_after_cr, false) && m_partial[m_line_start] == '\n') {
      if (complete == m_line_start) ++complete;
      ++m_line_start;
      continue;
    }
    const size_t end =
        m_partial.find_first_of(kLineEnds, std::max(m_line_start, m_scanned));
    if (end == std::string::npos) break;
    const std::string_view line =
        std::string_view{m_partial}.substr(m_line_start, end - m_line_start);
    m_after_cr = m_partial[end] == '\r';
    m_line_start = end + 1;
    if (line.empty()) {
      EndEvent();
      complete = m_line_start;
    } else {
      ParseLine(line);
    }
  }
  std::string complete_events = m_partial.substr(0, complete);
  m_partial.erase(0, complete);
  m_line_start -= complete;
  m_scanned = m_partial.size();
  return complete_events;
}

std::string SseEventSplitter::DrainPartial() {
  m_line_start = m_scanned = 0;
  return std::exchange(m_partial, {});
}

bool SseEventSplitter::EndsStream(BodyFraming framing) const {
  const bool inside_line = m_line_start < m_partial.size();
  if (m_has_fields || inside_line) return false;
  return framing != BodyFraming::kConnection ||
         m_event_count > m_earlier_responses_count;
}

void SseEventSplitter::ParseLine(std::string_view line) {
  if (line.front() == ':') return;  // A comment.
  m_has_fields = true;
  if (!line.starts_with(kIdField)) return;
  line.remove_prefix(kIdField.size());
  while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  if (const auto id = ParseNumber(line)) m_event_id = *id;
}

void SseEventSplitter::EndEvent() {
  const std::optional<int64_t> id = std::exchange(m_event_id, std::nullopt);
  if (!std::exchange(m_has_fields, false)) return;
  ++m_event_count;
  if (id.has_value()) m_last_event_id = id;
}

}  // namespace burdockhill::http

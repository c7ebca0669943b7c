#include "burdockhill/src/gateway/sse_event_splitter.h"

#include <utility>

#include "burdockhill/src/http/message.h"

namespace burdockhill {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

}  // namespace

std::string SseEventSplitter::Append(std::string_view bytes) {
  // The separator may be split over two reads, so search from the byte before.
  const size_t overlap = m_partial.empty() ? 0 : m_partial.size() - 1;
  m_partial.append(bytes);
  size_t start = 0;
  size_t end = m_partial.find(kEventEnd, overlap);
  while (end != std::string::npos) {
    const size_t next = end + kEventEnd.size();
    const std::string_view all = m_partial;
    ParseEventId(all.substr(start, next - start));
    ++m_event_count;
    start = next;
    end = m_partial.find(kEventEnd, start);
  }
  std::string complete_events = m_partial.substr(0, start);
  m_partial.erase(0, start);
  return complete_events;
}

std::string SseEventSplitter::DrainPartial() {
  return std::exchange(m_partial, {});
}

void SseEventSplitter::ParseEventId(std::string_view event) {
  size_t at = 0;
  while (at < event.size()) {
    size_t end = event.find('\n', at);
    if (end == std::string_view::npos) end = event.size();
    std::string_view line = event.substr(at, end - at);
    at = end + 1;
    if (!line.starts_with(kIdField)) continue;
    line.remove_prefix(kIdField.size());
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    while (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (const auto id = http::ParseNumber(line)) m_last_event_id = *id;
  }
}

}  // namespace burdockhill

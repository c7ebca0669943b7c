#include "burdockhill/src/routing/upstream_pauses.h"

#include <algorithm>

namespace burdockhill {

bool UpstreamPauses::Record(const UpstreamName& upstream, int64_t started_at_ms,
                            Duration time, TimePoint now) {
  if (time <= Duration(0)) return false;
  Pause& pause = m_pauses[upstream];
  const TimePoint until = now + time;
  const bool is_same_process = pause.started_at_ms == started_at_ms;
  if (is_same_process && pause.until >= until) return false;
  pause = {started_at_ms, until};
  return true;
}

bool UpstreamPauses::IsPaused(const RegisteredUpstream& upstream,
                              TimePoint now) const {
  const auto found = m_pauses.find(upstream.name);
  return found != m_pauses.end() && now < found->second.until &&
         found->second.started_at_ms == upstream.started_at_ms;
}

Duration UpstreamPauses::TimeUntilAvailable(
    const std::vector<const RegisteredUpstream*>& upstreams,
    TimePoint now) const {
  Duration shortest = Duration::max();
  for (const RegisteredUpstream* upstream : upstreams) {
    if (upstream->leaving) continue;
    if (!IsPaused(*upstream, now)) return Duration(0);
    shortest = std::min(shortest, m_pauses.at(upstream->name).until - now);
  }
  return shortest == Duration::max() ? Duration(0) : shortest;
}

void UpstreamPauses::DropEnded(const UpstreamDirectory& directory,
                               TimePoint now) {
  std::erase_if(m_pauses, [&](const auto& item) {
    const RegisteredUpstream* upstream = directory.Find(item.first);
    return now >= item.second.until || upstream == nullptr ||
           upstream->started_at_ms != item.second.started_at_ms;
  });
}

}  // namespace burdockhill

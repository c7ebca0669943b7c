#include "burdockhill/src/routing/stream_origin_memory.h"

#include <xxhash.h>

#include <algorithm>

namespace burdockhill {

uint64_t HashStream(const StreamKey& stream) {
  const std::string& service = stream.service.Value();
  return XXH64(service.data(), service.size(), stream.attempt.Value());
}

StreamOriginMemory::Id StreamOriginMemory::IdOf(const StreamKey& stream) {
  return {HashStream(stream), stream.attempt};
}

bool StreamOriginMemory::Record(const StreamKey& stream,
                                const SoftwareVersion& version, Duration keep,
                                TimePoint now) {
  if (!stream.IsValid() || !version.IsValid() || keep <= Duration(0) ||
      stream.service.Value().size() > kMaxOriginNameBytes ||
      version.Value().size() > kMaxOriginNameBytes) {
    return false;
  }
  Expire(now);
  const Id id = IdOf(stream);
  const TimePoint until = now + std::min(keep, kMaxOriginKeep);
  const auto [found, is_new] =
      m_origins.try_emplace(id, Origin{version, until});
  Origin& origin = found->second;
  if (!is_new) {
    if (origin.version != version) origin.version = SoftwareVersion();
    if (until <= origin.until) return true;
    m_by_end.erase({origin.until, id});
    origin.until = until;
  }
  m_by_end.emplace(until, id);
  while (m_origins.size() > m_max_streams) {
    m_origins.erase(m_by_end.begin()->second);
    m_by_end.erase(m_by_end.begin());
    ++m_evicted_count;
  }
  return true;
}

std::optional<StreamOriginMemory::Origin> StreamOriginMemory::Find(
    const StreamKey& stream, TimePoint now) const {
  const auto found = m_origins.find(IdOf(stream));
  if (found == m_origins.end() || now >= found->second.until ||
      !found->second.version.IsValid()) {
    return std::nullopt;
  }
  return found->second;
}

bool StreamOriginMemory::Contains(const StreamKey& stream) const {
  return m_origins.contains(IdOf(stream));
}

void StreamOriginMemory::Expire(TimePoint now) {
  while (!m_by_end.empty() && m_by_end.begin()->first <= now) {
    m_origins.erase(m_by_end.begin()->second);
    m_by_end.erase(m_by_end.begin());
  }
}

}  // namespace burdockhill

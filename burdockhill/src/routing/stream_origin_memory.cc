#include "burdockhill/src/routing/stream_origin_memory.h"

#include <xxhash.h>

#include <algorithm>

namespace burdockhill {

namespace {

// The times of two holders differ by the transit of their messages. Only longer
// extensions are told on.
constexpr Duration kMinExtension = std::chrono::seconds(1);

StreamOriginMemory::RecordResult ResultOf(bool changed) {
  return changed ? StreamOriginMemory::RecordResult::kChanged
                 : StreamOriginMemory::RecordResult::kKnown;
}

}  // namespace

uint64_t HashStream(const StreamKey& stream) {
  const std::string& service = stream.service.Value();
  return XXH64(service.data(), service.size(), stream.attempt.Value());
}

StreamOriginMemory::Id StreamOriginMemory::IdOf(const StreamKey& stream) {
  return {HashStream(stream), stream.attempt, stream.owner};
}

StreamOriginMemory::RecordResult StreamOriginMemory::Record(
    const StreamKey& stream, const SoftwareVersion& version, Duration keep,
    TimePoint now) {
  if (!stream.IsValid() || !version.IsValid() || keep <= Duration(0) ||
      stream.service.Value().size() > kMaxOriginNameBytes ||
      version.Value().size() > kMaxOriginNameBytes) {
    return RecordResult::kInvalid;
  }
  Expire(now);
  const Id id = IdOf(stream);
  const TimePoint until = now + std::min(keep, kMaxOriginKeep);
  const auto [found, is_new] =
      m_origins.try_emplace(id, Origin{version, until});
  Origin& origin = found->second;
  bool changed = is_new;
  if (!is_new) {
    if (origin.version.IsValid() && origin.version != version) {
      origin.version = SoftwareVersion();
      changed = true;
    }
    if (until <= origin.until) return ResultOf(changed);
    changed = changed || until - origin.until > kMinExtension;
    m_by_end.erase({origin.until, id});
    origin.until = until;
  }
  m_by_end.emplace(until, id);
  while (m_origins.size() > m_max_streams) {
    m_origins.erase(m_by_end.begin()->second);
    m_by_end.erase(m_by_end.begin());
    ++m_evicted_count;
  }
  return ResultOf(changed);
}

std::vector<StreamOriginMemory::Origin> StreamOriginMemory::Candidates(
    const StreamKey& stream, TimePoint now) const {
  std::vector<Origin> candidates;
  const Id first{HashStream(stream), stream.attempt};
  for (auto it = m_origins.lower_bound(first); it != m_origins.end(); ++it) {
    const auto& [id, origin] = *it;
    if (id.hash != first.hash || id.attempt != first.attempt) break;
    const bool is_of_other = stream.owner.IsValid() && id.owner.IsValid() &&
                             id.owner != stream.owner;
    if (!is_of_other && now < origin.until) candidates.push_back(origin);
  }
  return candidates;
}

std::optional<StreamOriginMemory::Origin> StreamOriginMemory::Find(
    const StreamKey& stream, TimePoint now) const {
  const std::vector<Origin> candidates = Candidates(stream, now);
  if (candidates.empty()) return std::nullopt;
  const bool agree = std::all_of(
      candidates.begin(), candidates.end(), [&](const Origin& origin) {
        return AreSameVersion(origin.version, candidates.front().version);
      });
  return agree ? std::optional(candidates.front()) : std::nullopt;
}

bool StreamOriginMemory::IsAmbiguous(const StreamKey& stream,
                                     TimePoint now) const {
  return !Candidates(stream, now).empty() && !Find(stream, now).has_value();
}

bool StreamOriginMemory::Contains(const StreamKey& stream) const {
  return m_origins.contains(IdOf(stream));
}

std::optional<TimePoint> StreamOriginMemory::Until(
    const StreamKey& stream) const {
  const auto found = m_origins.find(IdOf(stream));
  if (found == m_origins.end()) return std::nullopt;
  return found->second.until;
}

void StreamOriginMemory::Expire(TimePoint now) {
  while (!m_by_end.empty() && m_by_end.begin()->first <= now) {
    m_origins.erase(m_by_end.begin()->second);
    m_by_end.erase(m_by_end.begin());
  }
}

}  // namespace burdockhill

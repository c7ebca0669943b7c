#include "burdockhill/src/routing/upstream_directory.h"

#include <set>
#include <utility>

namespace burdockhill {

namespace {

// Grace period after the last failed call to the registry. Upstreams register
// again within 2 s of its recovery.
constexpr Duration kGracePeriod = std::chrono::milliseconds(2500);

// Time in which a restored registry drops the registration of an upstream that
// does not renew it, and entries are told.
constexpr Duration kRestoredTime = std::chrono::seconds(6);
// The copy that a registry is restored from is not older.
constexpr Duration kEndedTime = std::chrono::seconds(120);

// Whether the process has written the known registration after this one.
bool IsOvertaken(const RegisteredUpstream& upstream,
                 const RegisteredUpstream& known) {
  return upstream.started_at_ms != 0 &&
         upstream.started_at_ms == known.started_at_ms &&
         upstream.write_count < known.write_count;
}

// Whether `one` is of an older process than `other`. Revisions of different
// eras do not tell, but the times at which the processes started do.
bool IsOlderProcess(const RegisteredUpstream& one,
                    const RegisteredUpstream& other) {
  const bool times_known = one.started_at_ms != 0 && other.started_at_ms != 0;
  if (one.revision.era != other.revision.era && times_known) {
    return one.started_at_ms < other.started_at_ms;
  }
  return one.revision < other.revision;
}

}  // namespace

void UpstreamDirectory::ApplyList(std::vector<RegisteredUpstream> upstreams,
                                  StoreRevision revision, TimePoint now) {
  // Upstreams that registered after the copy was made register again.
  const bool restored = m_has_list && revision.era > m_list_era;
  if (restored) RecordOutage(now);
  m_list_era = revision.era;
  std::set<UpstreamName> listed;
  for (RegisteredUpstream& upstream : upstreams) {
    listed.insert(upstream.name);
    if (MayHaveEnded(upstream)) {
      const UpstreamName name = upstream.name;
      m_restored.try_emplace(
          name, Restored{std::move(upstream), now + kRestoredTime});
    } else {
      ApplyUpdate(std::move(upstream));
    }
  }
  std::erase_if(m_restored,
                [&](const auto& item) { return !listed.contains(item.first); });
  std::vector<UpstreamName> missing;
  for (const auto& [name, upstream] : m_upstreams) {
    if (!listed.contains(name) && upstream.revision <= revision) {
      missing.push_back(name);
    }
  }
  for (const UpstreamName& name : missing) EndRegistration(name, now);
  m_has_list = true;
}

void UpstreamDirectory::ApplyUpdate(RegisteredUpstream upstream) {
  const auto found = m_upstreams.find(upstream.name);
  if (found != m_upstreams.end() &&
      found->second.revision > upstream.revision) {
    return;
  }
  m_restored.erase(upstream.name);
  if (found != m_upstreams.end() && IsOvertaken(upstream, found->second)) {
    found->second.revision = upstream.revision;
    m_drop_at.erase(upstream.name);
    return;
  }
  m_drop_at.erase(upstream.name);
  m_doubted.erase(upstream.name);
  ++m_version;
  const UpstreamName name = upstream.name;
  if (const auto stated = m_stated_leaving.find(name);
      stated != m_stated_leaving.end()) {
    if (stated->second == upstream.started_at_ms) {
      upstream.leaving = true;
    } else {
      m_stated_leaving.erase(stated);  // A new process under that name.
    }
  }
  const bool has_moved = found != m_upstreams.end() &&
                         (found->second.address != upstream.address ||
                          found->second.service != upstream.service);
  const auto stored =
      m_upstreams.insert_or_assign(name, std::move(upstream)).first;
  if (has_moved) return RebuildLatest();
  UpdateLatest(stored->second);
}

bool UpstreamDirectory::RecordLeaving(const UpstreamName& name,
                                      int64_t started_at_ms) {
  const auto found = m_upstreams.find(name);
  const bool is_registered = found != m_upstreams.end() &&
                             found->second.started_at_ms == started_at_ms;
  if (!is_registered || m_stated_leaving.contains(name)) return false;
  m_stated_leaving[name] = started_at_ms;
  if (found->second.leaving) return false;
  found->second.leaving = true;
  ++m_version;
  return true;
}

void UpstreamDirectory::Doubt(const UpstreamName& name) {
  const auto found = m_upstreams.find(name);
  if (found == m_upstreams.end() || m_doubted.contains(name)) return;
  m_doubted[name] = std::exchange(found->second.version, SoftwareVersion());
  ++m_version;
}

void UpstreamDirectory::Confirm(const UpstreamName& name) {
  const auto doubted = m_doubted.find(name);
  if (doubted == m_doubted.end()) return;
  m_upstreams.at(name).version = doubted->second;
  m_doubted.erase(doubted);
  ++m_version;
}

bool UpstreamDirectory::MayHaveEnded(const RegisteredUpstream& upstream) const {
  const auto ended = m_ended.find(upstream.name);
  return ended != m_ended.end() && !m_upstreams.contains(upstream.name) &&
         upstream.started_at_ms == ended->second.started_at_ms &&
         upstream.revision.era > ended->second.era;
}

void UpstreamDirectory::UpdateLatest(const RegisteredUpstream& upstream) {
  UpstreamName& latest = m_latest[{upstream.service, upstream.address}];
  const RegisteredUpstream* other = Find(latest);
  if (other == nullptr || !IsOlderProcess(upstream, *other)) {
    latest = upstream.name;
  }
}

void UpstreamDirectory::RebuildLatest() {
  m_latest.clear();
  for (const auto& [name, upstream] : m_upstreams) UpdateLatest(upstream);
}

bool UpstreamDirectory::IsSuperseded(const RegisteredUpstream& upstream) const {
  const auto latest = m_latest.find({upstream.service, upstream.address});
  return latest != m_latest.end() && latest->second != upstream.name;
}

void UpstreamDirectory::Drop(const UpstreamName& name, TimePoint now) {
  const auto found = m_upstreams.find(name);
  if (found == m_upstreams.end()) return;
  m_ended[name] = {found->second.started_at_ms, m_list_era, now};
  // Without a start time, one that comes back is taken for a new process.
  if (found->second.started_at_ms == 0) m_stated_leaving.erase(name);
  m_upstreams.erase(found);
  m_doubted.erase(name);
  ++m_version;
  RebuildLatest();
}

void UpstreamDirectory::ApplyRemoval(const UpstreamName& name,
                                     StoreRevision revision, TimePoint now) {
  m_restored.erase(name);
  const auto found = m_upstreams.find(name);
  if (found == m_upstreams.end() || found->second.revision > revision) return;
  EndRegistration(name, now);
}

void UpstreamDirectory::EndRegistration(const UpstreamName& name,
                                        TimePoint now) {
  const bool outage_is_recent =
      m_last_outage != TimePoint() && now - m_last_outage < kGracePeriod;
  if (outage_is_recent) {
    m_drop_at.try_emplace(name, m_last_outage + kGracePeriod);
    return;
  }
  m_drop_at.erase(name);
  Drop(name, now);
}

void UpstreamDirectory::Expire(TimePoint now) {
  for (auto it = m_drop_at.begin(); it != m_drop_at.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    Drop(it->first, now);
    it = m_drop_at.erase(it);
  }
  std::vector<RegisteredUpstream> used;
  for (const auto& [name, restored] : m_restored) {
    if (now >= restored.use_at) used.push_back(restored.upstream);
  }
  for (RegisteredUpstream& upstream : used) ApplyUpdate(std::move(upstream));
  std::erase_if(m_ended, [&](const auto& item) {
    return now - item.second.at > kEndedTime;
  });
  // A registration that comes back may be of the same process.
  std::erase_if(m_stated_leaving, [&](const auto& item) {
    return !m_upstreams.contains(item.first) && !m_ended.contains(item.first);
  });
}

const RegisteredUpstream* UpstreamDirectory::Find(
    const UpstreamName& name) const {
  const auto found = m_upstreams.find(name);
  return found == m_upstreams.end() ? nullptr : &found->second;
}

std::vector<const RegisteredUpstream*> UpstreamDirectory::FindByService(
    const ServiceName& service) const {
  std::vector<const RegisteredUpstream*> result;
  for (const auto& [name, upstream] : m_upstreams) {
    if (upstream.service == service && !IsSuperseded(upstream)) {
      result.push_back(&upstream);
    }
  }
  return result;
}

}  // namespace burdockhill

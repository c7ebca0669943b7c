#include "burdockhill/src/routing/upstream_directory.h"

#include <set>
#include <utility>

namespace burdockhill {

namespace {

// Grace period after the last failed call to the registry. Upstreams register
// again within 2 s of its recovery.
constexpr Duration kGracePeriod = std::chrono::milliseconds(2500);

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
    ApplyUpdate(std::move(upstream));
  }
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
  m_drop_at.erase(upstream.name);
  ++m_version;
  const UpstreamName name = upstream.name;
  const bool has_moved = found != m_upstreams.end() &&
                         (found->second.address != upstream.address ||
                          found->second.service != upstream.service);
  const auto stored =
      m_upstreams.insert_or_assign(name, std::move(upstream)).first;
  if (has_moved) return RebuildLatest();
  UpdateLatest(stored->second);
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

void UpstreamDirectory::Drop(const UpstreamName& name) {
  m_upstreams.erase(name);
  ++m_version;
  RebuildLatest();
}

void UpstreamDirectory::ApplyRemoval(const UpstreamName& name,
                                     StoreRevision revision, TimePoint now) {
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
  Drop(name);
}

void UpstreamDirectory::Expire(TimePoint now) {
  for (auto it = m_drop_at.begin(); it != m_drop_at.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    Drop(it->first);
    it = m_drop_at.erase(it);
  }
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

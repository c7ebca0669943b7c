#include "burdockhill/src/routing/stated_rate_limits.h"

namespace burdockhill {

namespace {

// A statement may arrive from another entry before the registration of its
// upstream does.
constexpr Duration kUnregisteredTime = std::chrono::seconds(10);

}  // namespace

bool StatedRateLimits::Record(const UpstreamName& upstream,
                              const RateLimitStatement& statement) {
  const auto found = m_statements.find(upstream);
  if (found == m_statements.end()) {
    if (!statement.requests_per_second.has_value()) return false;
    m_statements.emplace(upstream, statement);
    m_changed.insert(upstream);
    return true;
  }
  RateLimitStatement& latest = found->second;
  if (statement.at < latest.at) return false;
  const bool changed =
      latest.requests_per_second != statement.requests_per_second;
  latest = statement;
  if (changed) m_changed.insert(upstream);
  return changed;
}

bool StatedRateLimits::RecordResponse(const UpstreamName& upstream,
                                      RateLimitValue limit, TimePoint called_at,
                                      TimePoint now) {
  if (!limit.has_value()) {
    const auto found = m_statements.find(upstream);
    if (found == m_statements.end() || called_at <= found->second.at) {
      return false;
    }
  }
  return Record(upstream, {limit, now});
}

RateLimitValue StatedRateLimits::Find(const UpstreamName& upstream) const {
  const auto found = m_statements.find(upstream);
  return found == m_statements.end() ? std::nullopt
                                     : found->second.requests_per_second;
}

void StatedRateLimits::DropUnregistered(const UpstreamDirectory& directory,
                                        TimePoint now) {
  std::erase_if(m_statements, [&](const auto& entry) {
    return directory.Find(entry.first) == nullptr &&
           now - entry.second.at > kUnregisteredTime;
  });
}

}  // namespace burdockhill

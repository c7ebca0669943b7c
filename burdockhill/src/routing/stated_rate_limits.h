#ifndef BURDOCKHILL_SRC_ROUTING_STATED_RATE_LIMITS_H_
#define BURDOCKHILL_SRC_ROUTING_STATED_RATE_LIMITS_H_

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// Requests a second that an upstream takes from all entries together; nullopt
// if there is no limit.
using RateLimitValue = std::optional<double>;

// What an upstream stated last about its rate limit.
struct RateLimitStatement {
  RateLimitValue requests_per_second;
  TimePoint at{};  // When it was received from the upstream, here or elsewhere.
};

// The rate limits that upstreams state in their responses, by the latest
// statement of each. A limit holds until the upstream states another one or
// none.
class StatedRateLimits {
 public:
  // Records a statement that another entry received. Returns whether the limit
  // has changed.
  bool Record(const UpstreamName& upstream,
              const RateLimitStatement& statement);
  // Records what the response to a call says that began at `called_at`. The
  // response may have been overtaken by others, so that it lifts a limit only
  // if the call began after the latest statement of it. Returns whether the
  // limit has changed.
  bool RecordResponse(const UpstreamName& upstream, RateLimitValue limit,
                      TimePoint called_at, TimePoint now);

  RateLimitValue Find(const UpstreamName& upstream) const;
  // Includes statements that lifted a limit.
  const std::map<UpstreamName, RateLimitStatement>& All() const {
    return m_statements;
  }
  // Upstreams whose limit has changed since the last call.
  std::set<UpstreamName> DrainChanged() { return std::exchange(m_changed, {}); }
  // Drops what upstreams stated that are not registered any more.
  void DropUnregistered(const UpstreamDirectory& directory, TimePoint now);

 private:
  // Of upstreams that have ever stated a limit.
  std::map<UpstreamName, RateLimitStatement> m_statements;
  std::set<UpstreamName> m_changed;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_STATED_RATE_LIMITS_H_

#ifndef BURDOCKHILL_SRC_ROUTING_UPSTREAM_PAUSES_H_
#define BURDOCKHILL_SRC_ROUTING_UPSTREAM_PAUSES_H_

#include <map>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// Until when upstreams have asked for no requests, as they do when they refuse
// one. A pause holds for the process that asked for it, not for a later one of
// the same name. Of several pauses that overlap, the one that ends last holds:
// a success or a shorter pause in between does not end it, since responses may
// overtake each other.
class UpstreamPauses {
 public:
  // The process of the upstream that started at `started_at_ms` wants no
  // requests for `time` from now on. Returns whether its pause now ends later.
  bool Record(const UpstreamName& upstream, int64_t started_at_ms,
              Duration time, TimePoint now);

  bool IsPaused(const RegisteredUpstream& upstream, TimePoint now) const;

  // Time until the first of the upstreams may be called. Zero if one may be
  // called now, or if there is none at all. Those that leave do not count.
  Duration TimeUntilAvailable(
      const std::vector<const RegisteredUpstream*>& upstreams,
      TimePoint now) const;

  // Drops pauses that have ended and those of processes that have.
  void DropEnded(const UpstreamDirectory& directory, TimePoint now);

 private:
  struct Pause {
    int64_t started_at_ms = 0;  // Of the process.
    TimePoint until{};
  };
  std::map<UpstreamName, Pause> m_pauses;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_UPSTREAM_PAUSES_H_

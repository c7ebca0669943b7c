#ifndef BURDOCKHILL_SRC_ROUTING_PLAIN_PLACEMENT_H_
#define BURDOCKHILL_SRC_ROUTING_PLAIN_PLACEMENT_H_

#include <set>
#include <unordered_map>
#include <vector>

#include "burdockhill/src/base/random.h"
#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// How a call to an upstream ended, as far as it speaks about the upstream.
enum class CallResult {
  kAnswered,     // With any answer of its own making.
  kErrorAnswer,  // With a server error.
  kRejected,     // Refused before it ran.
  kFailed,       // Broken, malformed or silent.
  kUnreachable,  // No connection.
};

// Chooses upstreams by first-hand evidence: fewest own calls in flight, least
// trouble, quickest answers, nearest zone. An upstream that keeps failing is
// set aside for a growing time and tried again with a real call; when all are
// set aside, the one that comes back first is used. Slowness is forgotten after
// a while, so that a slow upstream is tried again too.
class PlainPlacement {
 public:
  explicit PlainPlacement(ZoneName own_zone) : m_zone(std::move(own_zone)) {}

  // The best of `candidates` that is not in `excluded`, or nullptr.
  const RegisteredUpstream* Choose(
      const std::vector<const RegisteredUpstream*>& candidates,
      const std::set<UpstreamName>& excluded, TimePoint now,
      Random* random) const;

  // Most calls in flight to each upstream of the service; zero for no limit.
  void SetMostCalls(const ServiceName& service, int calls) {
    m_most_calls[service] = calls;
  }

  void NoteStart(const UpstreamName& name);
  void NoteEnd(const UpstreamName& name, CallResult result, Duration took,
               TimePoint now);
  // Whether the upstream is set aside at `now`.
  bool IsAside(const UpstreamName& name, TimePoint now) const;
  // Forgets upstreams that are not registered any more.
  void Retain(const UpstreamDirectory& directory);

 private:
  struct Evidence {
    int in_flight = 0;
    int failures_in_row = 0;
    double trouble = 0;  // Weighted share of calls that went wrong.
    double seconds = 0;  // Weighted mean time of answered calls.
    TimePoint answered_at{};
    Duration aside_time{0};
    TimePoint aside_until{};
  };

  // `quickest` is the least mean time of the candidates, in seconds, or zero.
  double Cost(const RegisteredUpstream& upstream, double quickest,
              TimePoint now) const;
  double QuickestOf(const std::vector<const RegisteredUpstream*>& candidates,
                    TimePoint now) const;
  bool IsFull(const RegisteredUpstream& upstream) const;

  ZoneName m_zone;
  std::unordered_map<ServiceName, int> m_most_calls;
  std::unordered_map<UpstreamName, Evidence> m_evidence;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_PLAIN_PLACEMENT_H_

#ifndef BURDOCKHILL_SRC_ROUTING_PLAIN_PLACEMENT_H_
#define BURDOCKHILL_SRC_ROUTING_PLAIN_PLACEMENT_H_

#include <set>
#include <unordered_map>
#include <vector>

#include "burdockhill/src/base/random.h"
#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// Outcome of a call, as evidence of the health of the upstream.
enum class CallResult {
  kCompleted,    // Complete response without a server error.
  kServerError,  // Complete response with a server error.
  // The upstream states that it did not run the request, or the call was
  // cancelled because its caller disconnected. Not counted as an error.
  kRejected,
  // Connection broke, or the response was malformed, too large, late or
  // missing.
  kFailed,
  kUnreachable,  // No connection was made.
};

// Chooses upstreams of plain services by this node's own calls to them: fewest
// in flight, lowest error rate, lowest latency, own availability zone.
//
// Detects outliers passively: an upstream that fails several calls in a row or
// refuses a connection is ejected, each time for longer until it completes a
// call. After that time it gets calls again. If all are ejected, the one whose
// time ends first is chosen. An old latency no longer counts, so that an
// upstream that was slow gets calls again as well.
class PlainPlacement {
 public:
  explicit PlainPlacement(ZoneName own_zone)
      : m_own_zone(std::move(own_zone)) {}

  // The candidate of least cost, or nullptr. Leaving and `excluded` upstreams
  // and those at their limit of calls in flight are not chosen.
  const RegisteredUpstream* Choose(
      const std::vector<const RegisteredUpstream*>& candidates,
      const std::set<UpstreamName>& excluded, TimePoint now,
      Random* random) const;

  // Limits the calls in flight from this node to each upstream of the service;
  // zero for no limit.
  void SetMaxInFlight(const ServiceName& service, int calls) {
    m_max_in_flight[service] = calls;
  }
  // Lifts the limits of all services.
  void ClearMaxInFlight() { m_max_in_flight.clear(); }

  // Records the start of a call to the upstream, and its end `latency` later.
  void RecordCallStart(const UpstreamName& name);
  void RecordCallEnd(const UpstreamName& name, CallResult result,
                     Duration latency, TimePoint now);
  // Whether the upstream is ejected at `now`.
  bool IsEjected(const UpstreamName& name, TimePoint now) const;
  // Drops the statistics of upstreams that are no longer registered, once their
  // calls have ended.
  void DropUnregistered(const UpstreamDirectory& directory);

 private:
  struct UpstreamStats {
    int in_flight = 0;
    int failures_in_row = 0;
    double error_rate = 0;      // Running mean, from 0 to 1.
    double mean_latency_s = 0;  // Running mean of completed calls; 0 if none.
    TimePoint last_response_at{};
    Duration ejection_time{0};
    TimePoint ejected_until{};
  };

  // Cost of a call to the upstream, in equivalents of calls in flight.
  // `lowest_latency_s` is that of the candidates.
  double Cost(const RegisteredUpstream& upstream, double lowest_latency_s,
              TimePoint now) const;
  // Lowest mean latency in seconds, or zero if no candidate completed a call
  // recently.
  double LowestLatency(const std::vector<const RegisteredUpstream*>& candidates,
                       TimePoint now) const;
  bool IsFull(const RegisteredUpstream& upstream) const;

  ZoneName m_own_zone;
  std::unordered_map<ServiceName, int> m_max_in_flight;
  std::unordered_map<UpstreamName, UpstreamStats> m_stats;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_PLAIN_PLACEMENT_H_

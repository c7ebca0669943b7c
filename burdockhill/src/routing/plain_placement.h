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
  // The upstream states that it did not run the request, as it does when it is
  // full. Not counted as an error.
  kRejected,
  kCancelled,  // Its caller disconnected. Not counted as an error.
  // Connection broke, or the response was malformed, too large, late or
  // missing.
  kFailed,
  kUnreachable,  // No connection was made.
};

// Chooses upstreams of plain services by this node's own calls to them: fewest
// in flight, lowest error rate, lowest latency, own availability zone.
//
// A node uses two random upstreams at a time. It notices soon that one of these
// is slow and replaces it, and a slow upstream delays calls of few nodes. With
// the best of all, nodes of the same experience would send their calls to one
// upstream; with a random one for each call, every node would have to notice
// each slow upstream by itself.
//
// The load of an upstream shows in its latency, since other nodes call it too.
// A node has few samples, so each counts: one above the estimate replaces it,
// and a call that takes longer than that counts before its response. The
// estimate falls back to the usual latency in a time in which an upstream may
// have recovered, so that it gets calls again.
//
// Detects outliers passively: an upstream that fails several calls in a row or
// refuses a connection is ejected, each time for longer until it completes a
// call. After that time it gets calls again. If all are ejected, the one whose
// time ends first is chosen.
class PlainPlacement {
 public:
  explicit PlainPlacement(ZoneName own_zone)
      : m_own_zone(std::move(own_zone)) {}

  // The candidate of least cost, or nullptr. Leaving and `excluded` upstreams
  // and those at their limit of calls in flight are not chosen.
  const RegisteredUpstream* Choose(
      const std::vector<const RegisteredUpstream*>& candidates,
      const std::set<UpstreamName>& excluded, TimePoint now, Random* random);

  // Limits the calls in flight from this node to each upstream of the service;
  // zero for no limit.
  void SetMaxInFlight(const ServiceName& service, int calls) {
    m_max_in_flight[service] = calls;
  }
  // Lifts the limits of all services.
  void ClearMaxInFlight() { m_max_in_flight.clear(); }

  // Records the start of a call to the upstream, and its end `latency` later.
  void RecordCallStart(const UpstreamName& name, TimePoint now);
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
    double error_rate = 0;  // Running mean, from 0 to 1.
    // Latency that the next call is expected to have, as of `latency_at`; zero
    // before the first response.
    double latency_s = 0;
    TimePoint latency_at{};
    // When the calls in flight began, the oldest first.
    std::multiset<TimePoint> started;
    TimePoint full_until{};  // After a rejection because of load.
    Duration ejection_time{0};
    TimePoint ejected_until{};
  };

  // The upstreams of a service that get this node's calls at present.
  struct ActivePair {
    UpstreamName first;
    UpstreamName second;
    TimePoint rotate_at{};
  };
  // Replaces upstreams of the pair that cannot be used or are slow, and one of
  // them from time to time.
  void UpdatePair(ActivePair* pair,
                  const std::vector<const RegisteredUpstream*>& usable,
                  double usual_latency_s, TimePoint now, Random* random) const;
  bool IsSlow(const UpstreamName& name, double usual_latency_s,
              TimePoint now) const;

  // Cost of a call to the upstream, in equivalents of calls in flight.
  // `usual_latency_s` is that of the candidates.
  double Cost(const RegisteredUpstream& upstream, double usual_latency_s,
              TimePoint now) const;
  // The median latency of the candidates in seconds, or zero if none has
  // completed a call.
  double UsualLatency(
      const std::vector<const RegisteredUpstream*>& candidates) const;
  static void RecordLatency(UpstreamStats* stats, double seconds,
                            TimePoint now);
  // Latency that a call is expected to have.
  static double ExpectedLatency(const UpstreamStats& stats,
                                double usual_latency_s, TimePoint now);
  bool IsFull(const RegisteredUpstream& upstream) const;

  ZoneName m_own_zone;
  std::unordered_map<ServiceName, int> m_max_in_flight;
  std::unordered_map<UpstreamName, UpstreamStats> m_stats;
  std::unordered_map<ServiceName, ActivePair> m_pairs;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_PLAIN_PLACEMENT_H_

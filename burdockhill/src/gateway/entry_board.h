#ifndef BURDOCKHILL_SRC_GATEWAY_ENTRY_BOARD_H_
#define BURDOCKHILL_SRC_GATEWAY_ENTRY_BOARD_H_

#include <optional>

#include "burdockhill/src/base/event_log.h"
#include "burdockhill/src/base/random.h"
#include "burdockhill/src/gateway/codecs.h"
#include "burdockhill/src/http/connection_pool.h"
#include "burdockhill/src/http/server.h"
#include "burdockhill/src/metrics/metrics_registry.h"
#include "burdockhill/src/routing/plain_placement.h"
#include "burdockhill/src/routing/poison_request_detector.h"
#include "burdockhill/src/routing/retry_budget.h"
#include "burdockhill/src/routing/route_table.h"
#include "burdockhill/src/routing/stated_rate_limits.h"
#include "burdockhill/src/routing/upstream_directory.h"
#include "burdockhill/src/routing/upstream_pauses.h"
#include "burdockhill/src/teams/team.h"

namespace burdockhill {

// Tells whether the configuration in force may be older than the store's.
class ConfigurationFreshness {
 public:
  virtual ~ConfigurationFreshness() = default;
  virtual bool MayBeStale() const = 0;
};

struct RoutedRequest;

// Learns what requests use of the limits of their teams.
class TeamUsageRecorder {
 public:
  virtual ~TeamUsageRecorder() = default;
  // A request that was admitted may run once more.
  virtual void OnFurtherRun(const RoutedRequest& routed) = 0;
  // One run that was taken from the limit has not happened.
  virtual void OnNotRun(const RoutedRequest& routed) = 0;
};

// Blackboard of an entry: state that its controllers share, and the interfaces
// through which they reach callers, upstreams and the log.
struct EntryBoard {
  explicit EntryBoard(ZoneName own_zone)
      : zone(own_zone), placement(std::move(own_zone)) {}

  ZoneName zone;
  RouteTable routes;
  UpstreamDirectory upstreams;
  RetryBudget retry_budget;
  PoisonRequestDetector poison_detector;
  PromptPartQuarantine prompt_parts;
  PlainPlacement placement;
  StatedRateLimits rate_limits;
  UpstreamPauses pauses;
  MetricsRegistry metrics;
  bool leaving = false;  // A graceful shutdown has begun.
  // Every request in progress is answered by then. Zero unless leaving.
  TimePoint shutdown_deadline{};
  // Other entries that this entry is connected to.
  size_t connected_entries = 0;

  const Clock* clock = nullptr;
  Random* random = nullptr;
  http::Server* server = nullptr;
  http::ConnectionPool* connections = nullptr;
  const RequestCodec* codec = nullptr;
  // Null if the configuration is never stale.
  const ConfigurationFreshness* freshness = nullptr;
  EventLog* log = nullptr;
  TeamUsageRecorder* team_usage = nullptr;  // Null if no team has a limit.

  // The role of the engines that write streams of the service; nullopt if it is
  // a plain service.
  std::optional<EngineRole> StreamRole(const ServiceName& service) const {
    const Service* found = routes.FindService(service);
    const bool on_engines = found != nullptr && found->engine.has_value();
    return on_engines ? std::optional(EngineRole::kDecode) : std::nullopt;
  }
};

// A request in progress: the state that all kinds of requests have in common.
struct RoutedRequest {
  http::ExchangeId exchange;
  InboundRequest request;
  Route route;
  ServiceName service;
  Generation generation;  // Of the configuration that the route is from.
  TeamName team;          // Invalid if the caller belongs to none.
  // Of the upstream that began the stream which the caller takes up; nullopt
  // for other requests, and before it is known.
  std::optional<SoftwareVersion> stream_version;
  // Taken from the team's limit for one run; zero without a limit.
  QuotaUnits cost;
  bool is_charged = false;      // The cost was taken from the limit.
  bool is_run_charged = false;  // And once more for the latest call.
  TimePoint arrived_at{};
  TimePoint deadline{};  // Earlier of the route's and the caller's timeout.
  // Upstream of the latest call; invalid before the first one.
  UpstreamName last_upstream;
  int64_t last_upstream_started_at_ms = 0;  // See RegisteredUpstream.

  Duration TimeLeft(TimePoint now) const { return deadline - now; }
  RequestFingerprint Fingerprint() const {
    return FingerprintOf(request.head.method, request.host, request.head.target,
                         request.body);
  }
};

// Labels of a metric of one service.
inline MetricLabels LabelsFor(const ServiceName& service,
                              std::string_view kind = "") {
  MetricLabels labels;
  labels.service = service.Value();
  labels.kind = kind;
  return labels;
}

// Whether upstreams that ran this request, or others with a part of its prompt,
// have crashed, so that it must not reach another one.
bool IsBarred(EntryBoard* board, const RoutedRequest& routed);

// Records what the upstream of a call that began at `called_at` states about
// itself in its response: a rate limit, that it leaves, and that it wants no
// requests for a time.
void RecordStatements(EntryBoard* board, const RoutedRequest& routed,
                      const http::Head& response,
                      const ResponseMetadata& metadata, TimePoint called_at);

// Counts a call to an upstream if that has stated a rate limit.
void CountLimitedCall(EntryBoard* board, const RoutedRequest& routed,
                      const UpstreamName& upstream, bool is_retry);

// Takes this many retries of the request from the budget of its service; false
// if that has fewer. Counts them, and logs a refusal with what the budget's
// window holds.
bool PayForRetries(EntryBoard* board, const RoutedRequest& routed, int retries);

// Takes the cost of a further call from the team's limit, as an earlier call
// may have run the request.
void ChargeFurtherRun(EntryBoard* board, RoutedRequest* routed);

// The latest call has not run the request: undoes ChargeFurtherRun.
void RefundFurtherRun(EntryBoard* board, RoutedRequest* routed);

// Resets the connection of a caller whose response has not ended, and counts it
// by reason.
void CutResponse(EntryBoard* board, const RoutedRequest& routed,
                 std::string_view reason);

// Sends the caller an error response, logs it and counts it. If it says that
// the request has not run, its team's limit gets the cost back. If
// `retry_after` is zero, a 503 response carries the default of `kind`.
void FailRequest(EntryBoard* board, const RoutedRequest& routed, ErrorKind kind,
                 Duration retry_after, std::string_view reason);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_ENTRY_BOARD_H_

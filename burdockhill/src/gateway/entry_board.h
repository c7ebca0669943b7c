#ifndef BURDOCKHILL_SRC_GATEWAY_ENTRY_BOARD_H_
#define BURDOCKHILL_SRC_GATEWAY_ENTRY_BOARD_H_

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
#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// What the controllers of an entry share: facts that they read and write, and
// the ways out of the process.
struct EntryBoard {
  explicit EntryBoard(ZoneName own_zone)
      : zone(own_zone), placement(std::move(own_zone)) {}

  ZoneName zone;
  RouteTable routes;
  UpstreamDirectory upstreams;
  RetryBudget retries;
  PoisonRequestDetector crashes;
  PlainPlacement placement;
  MetricsRegistry metrics;
  bool leaving = false;
  // While leaving: requests that may last longer than that are refused, once
  // the balancer has had time to send callers elsewhere. Zero before.
  TimePoint finish_by{};
  size_t other_entries = 0;  // That this entry is connected to.

  const Clock* clock = nullptr;
  Random* random = nullptr;
  http::Server* server = nullptr;
  http::ConnectionPool* pool = nullptr;
  const RequestCodec* codec = nullptr;
  EventLog* log = nullptr;
};

// A request on its way, as far as all kinds of requests have it in common.
struct RoutedRequest {
  http::ExchangeId exchange;
  InboundRequest request;
  Route route;
  ServiceName service;
  Generation generation;  // Of the configuration that routed it.
  TimePoint arrived{};
  TimePoint answer_by{};
  UpstreamName upstream;  // Of the latest call, if there was one.

  Duration TimeLeft(TimePoint now) const { return answer_by - now; }
  RequestFingerprint Fingerprint() const {
    return FingerprintOf(request.head.method, request.host, request.head.target,
                         request.body);
  }
};

// Labels of a series about one service.
inline MetricLabels LabelsFor(const ServiceName& service,
                              std::string_view kind = "") {
  MetricLabels labels;
  labels.service = service.Value();
  labels.kind = kind;
  return labels;
}

// Answers with an error of the router's own and logs the decision.
void Refuse(EntryBoard* board, const RoutedRequest& routed, ErrorKind kind,
            Duration retry_after, std::string_view reason);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_ENTRY_BOARD_H_

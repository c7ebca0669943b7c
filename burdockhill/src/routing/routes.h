#ifndef BURDOCKHILL_SRC_ROUTING_ROUTES_H_
#define BURDOCKHILL_SRC_ROUTING_ROUTES_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/units.h"
#include "burdockhill/src/teams/team_directory.h"

namespace burdockhill {

using RouteName = NameId<struct RouteNameTag>;

// Whether a request may run more than once, and whether its response is a
// stream.
enum class RequestKind {
  kIdempotent,
  kNonIdempotent,    // Runs at most once.
  kStream,           // Events; runs at most once.
  kResumableStream,  // Events; a broken one continues on another upstream.
};

constexpr bool IsStream(RequestKind kind) {
  return kind == RequestKind::kStream || kind == RequestKind::kResumableStream;
}

struct WeightedService {
  ServiceName service;
  int weight = 1;
};

// How requests of one host whose path begins with a prefix are served.
struct Route {
  RouteName name;
  std::string host;
  std::string path_prefix;
  RequestKind kind = RequestKind::kIdempotent;
  std::vector<WeightedService> services;
  Duration timeout{0};  // Longest time until the complete response.
  // To the complete response; of streams, to the first event.
  Duration latency_target{0};
  Duration gap_target{0};  // Streams: longest time between two events.
  int priority = 0;        // 0 is the most urgent.
  int max_attempts = 1;    // Upstreams that may run one request.
  bool is_public = false;  // Callers need no API key.
};

// Capacity of each engine of a service.
struct EngineLimits {
  int slots = 0;
  Tokens memory;
  // KV caches pass from one engine to another over a link of this rate; zero if
  // not stated.
  BitsPerSecond kv_link_rate{};
  ByteCount kv_bytes_per_token{};
};

struct Service {
  ServiceName name;
  int max_connections = 0;             // Per upstream, over all entries.
  std::optional<EngineLimits> engine;  // Model services only.
};

// Limits on the size of callers' requests and on the time to send them.
struct CallerLimits {
  size_t max_header_bytes = size_t{16} << 10;
  size_t max_body_bytes = size_t{4} << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

// One accepted routing configuration, as operators wrote it.
struct RoutingConfiguration {
  Generation generation;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  int skipped_entries = 0;  // Routes and services that could not be read.
  // Whether callers need an API key, except on public routes.
  bool requires_keys = false;
  // Moved to the directory of the route table once the configuration is in
  // force.
  std::vector<Team> teams;
  std::vector<TeamFault> team_faults;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_ROUTES_H_

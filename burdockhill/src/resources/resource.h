#ifndef BURDOCKHILL_SRC_RESOURCES_RESOURCE_H_
#define BURDOCKHILL_SRC_RESOURCES_RESOURCE_H_

#include <string>
#include <string_view>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/units.h"

namespace burdockhill {

using PolicyName = NameId<struct PolicyNameTag>;

// A language model, run by engines. Callers select it by name.
struct ModelService {
  ServiceName name;
  PolicyName policy{"default"};
  Tokens max_prompt{32768};
  Tokens max_output{4096};
  Tokens default_output{256};  // If the caller sets no limit.
};

// A set of calls of a plain service, by path prefix and method.
struct PlainRoute {
  std::string path_prefix{"/"};
  std::vector<std::string> methods;  // Empty for any.
  bool repeatable = false;
};

// An HTTP service that is not a language model, run by the operators.
struct PlainService {
  ServiceName name;
  PolicyName policy{"default"};
  std::vector<PlainRoute> routes;  // The longest matching prefix wins.
  // Request header or body field that holds the idempotency key of a call. Both
  // are empty if calls have no such key.
  std::string idempotency_key_header;
  std::string idempotency_key_body_field;
  Duration timeout = std::chrono::seconds(30);
};

// The role that most engines of an upstream have. An entry that connects to
// only a subset of a service's upstreams selects a subset of each pool.
enum class Pool { kMixed, kPrefill, kDecode };

// A VM that serves a service. While `drain` is set it gets no new requests and
// finishes those that it has.
struct Upstream {
  UpstreamName name;
  ServiceName service;
  VmName vm;
  Pool pool = Pool::kMixed;
  bool drain = false;
};

// Whether requests may run in other regions.
enum class RegionRule { kLocalOnly, kPreferLocal };

// Latency targets and limits for the placement and the retries of requests.
struct RoutingPolicy {
  PolicyName name;
  Duration first_token_target = std::chrono::milliseconds(700);
  Duration per_token_target = std::chrono::milliseconds(32);
  // Longest time from arrival to the first token. A request that exceeds it, or
  // has no time left for placement, is ended with an error.
  Duration first_token_limit = std::chrono::seconds(5);
  int64_t retry_budget_percent = 10;
  int64_t max_attempts = 3;
  RegionRule region_rule = RegionRule::kLocalOnly;
};

// Kind and name of an object in the object store.
struct ResourceKey {
  std::string kind;
  std::string name;
  auto operator<=>(const ResourceKey&) const = default;
};

// The kinds of resources that operators write, in the order in which they are
// applied.
inline constexpr std::string_view kResourceKinds[] = {
    "RoutingPolicy", "ModelService", "PlainService", "Upstream", "Team"};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_RESOURCES_RESOURCE_H_

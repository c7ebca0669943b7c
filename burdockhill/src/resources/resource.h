#ifndef BURDOCKHILL_SRC_RESOURCES_RESOURCE_H_
#define BURDOCKHILL_SRC_RESOURCES_RESOURCE_H_

#include <string>
#include <string_view>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/units.h"
#include "burdockhill/src/peer/message.h"

namespace burdockhill {

using PolicyName = NameId<struct PolicyNameTag>;

// A language model that callers may name, run by engines.
struct ModelService {
  ServiceName name;
  PolicyName policy{"default"};
  Tokens max_prompt{32768};
  Tokens max_output{4096};
  Tokens default_output{256};  // When the caller names no limit.
};

// One set of calls of a plain service.
struct PlainRoute {
  std::string path_prefix{"/"};
  std::vector<std::string> methods;  // Empty for any.
  bool repeatable = false;
};

// A service of the operators' own that is called over HTTP.
struct PlainService {
  ServiceName name;
  PolicyName policy{"default"};
  std::vector<PlainRoute> routes;  // The longest matching prefix decides.
  // Where the duplicate key of a call stands; both empty for none.
  std::string key_header;
  std::string key_body_field;
  Duration timeout = std::chrono::seconds(30);
};

// Which engines an upstream mostly has. Entries that connect to a part of a
// service's upstreams take their part from each pool.
enum class Pool { kMixed, kPrefill, kDecode };

// Which VM serves a service, and whether it is to be emptied.
struct Upstream {
  UpstreamName name;
  ServiceName service;
  VmName vm;
  Pool pool = Pool::kMixed;
  bool drain = false;
};

// A customer: who may call what, and how much.
struct Team {
  TeamName name;
  std::string key_sha256;             // Hex digest of the API key.
  std::vector<std::string> services;  // "*" for all.
  RequestClass request_class = RequestClass::kStandard;
  int64_t weight = 1;
  int64_t requests_per_second = 100;  // Over all entries.
  int64_t burst = 200;
  int64_t max_concurrent = 1000;
};

// When requests may leave their region.
enum class RegionRule { kLocalOnly, kPreferLocal };

// Targets and limits that decide how requests are placed and retried.
struct RoutingPolicy {
  PolicyName name;
  Duration first_token_target = std::chrono::milliseconds(700);
  Duration per_token_target = std::chrono::milliseconds(32);
  // A request that cannot have its first token by then is refused.
  Duration first_token_limit = std::chrono::seconds(5);
  int64_t retry_budget_percent = 10;
  int64_t max_attempts = 3;
  RegionRule region_rule = RegionRule::kLocalOnly;
};

// Name and kind of a stored object.
struct ResourceKey {
  std::string kind;
  std::string name;
  auto operator<=>(const ResourceKey&) const = default;
};

// The kinds that operators write, in the order in which they are applied.
inline constexpr std::string_view kResourceKinds[] = {
    "RoutingPolicy", "ModelService", "PlainService", "Upstream", "Team"};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_RESOURCES_RESOURCE_H_

#ifndef BURDOCKHILL_SRC_RESOURCES_CONFIGURATION_H_
#define BURDOCKHILL_SRC_RESOURCES_CONFIGURATION_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "burdockhill/src/resources/field_error.h"
#include "burdockhill/src/resources/resource.h"

namespace burdockhill {

// All resources that are in force at one generation. Immutable once parsed.
class Configuration {
 public:
  std::map<PolicyName, RoutingPolicy> policies;
  std::map<ServiceName, ModelService> models;
  std::map<ServiceName, PlainService> plain_services;
  std::map<UpstreamName, Upstream> upstreams;
  std::map<TeamName, Team> teams;
  std::map<std::string, TeamName> teams_by_key;  // By key_sha256.

  // The policy with `name`, or the defaults where it does not exist.
  const RoutingPolicy& PolicyFor(const PolicyName& name) const;

  // Whether a plain call may be sent twice. False where no route matches.
  static bool IsRepeatable(const PlainService& service,
                           const std::string& method, const std::string& path);

  // The upstream that runs on `vm`, or nullptr.
  const Upstream* UpstreamOnVm(const VmName& vm) const;
};

// Reads a document {"resources": [{"kind", "name", "spec"}, ...]}. Every
// resource is checked by itself and against those that it names. Adds errors
// and returns nullopt when anything is wrong.
std::optional<Configuration> ParseConfiguration(const std::string& text,
                                                FieldErrors* errors);

// One resource as text, with its key, from a file of operators.
struct ResourceText {
  ResourceKey key;
  std::string spec;  // JSON object.
};

// Reads one resource or {"resources": [...]}; checks each by itself.
std::vector<ResourceText> ParseResourceFile(const std::string& text,
                                            FieldErrors* errors);

// Checks one spec by itself.
void CheckResource(const ResourceText& resource, FieldErrors* errors);

// The document that ParseConfiguration reads, in the order given.
std::string ComposeConfiguration(const std::vector<ResourceText>& resources);

// Whether operators may write objects of `kind`.
bool IsResourceKind(const std::string& kind);

// "interactive", "standard" or "batch".
std::string_view RequestClassName(RequestClass request_class);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_RESOURCES_CONFIGURATION_H_

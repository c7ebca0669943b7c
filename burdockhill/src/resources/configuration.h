#ifndef BURDOCKHILL_SRC_RESOURCES_CONFIGURATION_H_
#define BURDOCKHILL_SRC_RESOURCES_CONFIGURATION_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "burdockhill/src/resources/field_error.h"
#include "burdockhill/src/resources/resource.h"
#include "burdockhill/src/teams/team_directory.h"

namespace burdockhill {

// All resources of one generation. Immutable once parsed.
class Configuration {
 public:
  std::map<PolicyName, RoutingPolicy> policies;
  std::map<ServiceName, ModelService> models;
  std::map<ServiceName, PlainService> plain_services;
  std::map<UpstreamName, Upstream> upstreams;
  TeamDirectory teams;

  // The policy `name`, or the default policy if there is none.
  const RoutingPolicy& PolicyFor(const PolicyName& name) const;

  // Whether a call of a plain service may be retried. Of the routes that match
  // the method and the path, the one with the longest prefix decides; false if
  // none matches.
  static bool IsRepeatable(const PlainService& service,
                           const std::string& method, const std::string& path);

  // The upstream that runs on `vm`, or nullptr.
  const Upstream* UpstreamOnVm(const VmName& vm) const;
};

// Parses a document {"resources": [{"kind", "name", "spec"}, ...]}. Validates
// each resource and its references to others. Adds errors and returns nullopt
// if anything is invalid.
std::optional<Configuration> ParseConfiguration(const std::string& text,
                                                FieldErrors* errors);

// One unparsed resource.
struct ResourceText {
  ResourceKey key;
  std::string spec;  // JSON object.
};

// Parses one resource or {"resources": [...]}. Validates each resource, but not
// its references to others. Adds errors with their lines.
std::vector<ResourceText> ParseResourceFile(const std::string& text,
                                            FieldErrors* errors);

// Validates one resource, but not its references to others.
void CheckResource(const ResourceText& resource, FieldErrors* errors);

// Formats the document that ParseConfiguration() parses, in the order given.
std::string ComposeConfiguration(const std::vector<ResourceText>& resources);

// Whether operators may write objects of `kind`.
bool IsResourceKind(const std::string& kind);

// "interactive", "standard" or "batch".
std::string_view RequestClassName(RequestClass request_class);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_RESOURCES_CONFIGURATION_H_

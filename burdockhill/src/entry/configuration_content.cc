#include "burdockhill/src/entry/configuration_content.h"

#include <utility>
#include <vector>

namespace burdockhill {

std::shared_ptr<const ConfigurationContent> ConfigurationContent::Parse(
    const std::string& text) {
  FieldErrors errors;
  std::optional<Configuration> parsed = ParseConfiguration(text, &errors);
  if (!parsed.has_value()) return nullptr;
  auto content = std::make_shared<ConfigurationContent>();
  content->m_text = text;

  std::vector<ResourceText> policies;
  std::map<ResourceKey, ResourceText> others;
  for (ResourceText& resource : ParseResourceFile(text, &errors)) {
    if (resource.key.kind == "RoutingPolicy") {
      policies.push_back(std::move(resource));
    } else if (resource.key.kind != "Team") {
      others[resource.key] = std::move(resource);
    }
  }
  content->m_part_of_others = ComposeConfiguration(policies);
  for (const auto& [name, upstream] : parsed->upstreams) {
    std::vector<ResourceText> part = policies;
    const bool plain = parsed->plain_services.contains(upstream.service);
    part.push_back(others.at(
        {plain ? "PlainService" : "ModelService", upstream.service.Value()}));
    part.push_back(others.at({"Upstream", name.Value()}));
    content->m_parts[upstream.vm] = ComposeConfiguration(part);
  }
  content->m_parsed = std::make_shared<const Configuration>(*std::move(parsed));
  return content;
}

const std::string& ConfigurationContent::PartFor(const VmName& vm) const {
  const auto found = m_parts.find(vm);
  return found == m_parts.end() ? m_part_of_others : found->second;
}

}  // namespace burdockhill

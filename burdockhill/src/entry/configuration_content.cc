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
  std::map<ResourceKey, ResourceText> services_and_upstreams;
  for (ResourceText& resource : ParseResourceFile(text, &errors)) {
    if (resource.key.kind == "RoutingPolicy") {
      policies.push_back(std::move(resource));
    } else if (resource.key.kind != "Team") {
      services_and_upstreams[resource.key] = std::move(resource);
    }
  }
  content->m_text_for_other_vms = ComposeConfiguration(policies);
  for (const auto& [name, upstream] : parsed->upstreams) {
    std::vector<ResourceText> resources = policies;
    const bool plain = parsed->plain_services.contains(upstream.service);
    resources.push_back(services_and_upstreams.at(
        {plain ? "PlainService" : "ModelService", upstream.service.Value()}));
    resources.push_back(services_and_upstreams.at({"Upstream", name.Value()}));
    content->m_text_by_vm[upstream.vm] = ComposeConfiguration(resources);
  }
  content->m_parsed = std::make_shared<const Configuration>(*std::move(parsed));
  return content;
}

const std::string& ConfigurationContent::TextForAgent(const VmName& vm) const {
  const auto found = m_text_by_vm.find(vm);
  return found == m_text_by_vm.end() ? m_text_for_other_vms : found->second;
}

}  // namespace burdockhill

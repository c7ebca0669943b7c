#ifndef BURDOCKHILL_SRC_ENTRY_CONFIGURATION_CONTENT_H_
#define BURDOCKHILL_SRC_ENTRY_CONFIGURATION_CONTENT_H_

#include <map>
#include <memory>
#include <string>

#include "burdockhill/src/resources/configuration.h"

namespace burdockhill {

// One generation of the configuration: its text, its parsed form, and the
// resources that each agent needs, prepared once.
class ConfigurationContent {
 public:
  // Null if the text fails validation.
  static std::shared_ptr<const ConfigurationContent> Parse(
      const std::string& text);

  const std::string& Text() const { return m_text; }
  std::shared_ptr<const Configuration> Parsed() const { return m_parsed; }

  // Configuration text for the agent on `vm`: its Upstream, the service of that
  // Upstream and all RoutingPolicies.
  const std::string& TextForAgent(const VmName& vm) const;

 private:
  std::string m_text;
  std::shared_ptr<const Configuration> m_parsed;
  std::map<VmName, std::string> m_text_by_vm;
  // All RoutingPolicies, for a VM that no Upstream names.
  std::string m_text_for_other_vms;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_CONFIGURATION_CONTENT_H_

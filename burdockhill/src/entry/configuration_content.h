#ifndef BURDOCKHILL_SRC_ENTRY_CONFIGURATION_CONTENT_H_
#define BURDOCKHILL_SRC_ENTRY_CONFIGURATION_CONTENT_H_

#include <map>
#include <memory>
#include <string>

#include "burdockhill/src/resources/configuration.h"

namespace burdockhill {

// One generation of the configuration, parsed once, with the part of it that
// each agent needs at hand.
class ConfigurationContent {
 public:
  // Null if the text does not pass the checks.
  static std::shared_ptr<const ConfigurationContent> Parse(
      const std::string& text);

  const std::string& Text() const { return m_text; }
  std::shared_ptr<const Configuration> Parsed() const { return m_parsed; }

  // The resources that concern the agent on `vm`, as text: its Upstream, the
  // service of that and all policies.
  const std::string& PartFor(const VmName& vm) const;

 private:
  std::string m_text;
  std::shared_ptr<const Configuration> m_parsed;
  std::map<VmName, std::string> m_parts;
  std::string m_part_of_others;  // For a VM that no Upstream names.
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_CONFIGURATION_CONTENT_H_

#ifndef BURDOCKHILL_SRC_AGENT_AGENT_CONFIGURATION_H_
#define BURDOCKHILL_SRC_AGENT_AGENT_CONFIGURATION_H_

#include <map>
#include <string>

#include "burdockhill/src/agent/agent_blackboard.h"

namespace burdockhill {

// Follows the configuration that entries offer. A generation is staged first
// and comes into force when an entry says that it was accepted; a lower one
// never replaces a higher one.
class AgentConfiguration {
 public:
  explicit AgentConfiguration(AgentBlackboard* board) : m_board(board) {}

  void OnOffer(const ConfigurationOffer& offer);

 private:
  void PutInForce(Generation generation);

  AgentBlackboard* m_board;
  std::map<Generation, std::string> m_staged;  // Content by generation.
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_AGENT_CONFIGURATION_H_

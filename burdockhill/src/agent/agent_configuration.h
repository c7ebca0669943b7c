#ifndef BURDOCKHILL_SRC_AGENT_AGENT_CONFIGURATION_H_
#define BURDOCKHILL_SRC_AGENT_AGENT_CONFIGURATION_H_

#include <map>
#include <string>

#include "burdockhill/src/agent/agent_blackboard.h"

namespace burdockhill {

// Applies the configurations that entries offer. A generation is staged first
// and put in force once an entry reports it as accepted. The generation in
// force never decreases.
class AgentConfiguration {
 public:
  explicit AgentConfiguration(AgentBlackboard* board) : m_board(board) {}

  void OnOffer(const ConfigurationOffer& offer);

 private:
  void PutInForce(Generation generation);

  AgentBlackboard* m_board;
  std::map<Generation, std::string> m_staged;  // JSON text by generation.
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_AGENT_CONFIGURATION_H_

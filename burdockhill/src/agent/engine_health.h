#ifndef BURDOCKHILL_SRC_AGENT_ENGINE_HEALTH_H_
#define BURDOCKHILL_SRC_AGENT_ENGINE_HEALTH_H_

#include <optional>

#include "burdockhill/src/agent/agent_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Watches the back ends: asks for their state, notices that one has restarted
// or cannot be reached, and cancels what an earlier agent left running.
class EngineHealth {
 public:
  EngineHealth(AgentBlackboard* board, PeerLink* peers, EngineLink* engines)
      : m_board(board), m_peers(peers), m_engines(engines) {}

  void OnState(const EngineName& name, const std::optional<EngineState>& state);
  void Step();

 private:
  void OnRestarted(Engine* engine);
  void FailAttempts(Engine* engine);
  void CancelStrays(Engine* engine);

  AgentBlackboard* m_board;
  PeerLink* m_peers;
  EngineLink* m_engines;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_ENGINE_HEALTH_H_

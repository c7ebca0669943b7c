#ifndef BURDOCKHILL_SRC_AGENT_ENGINE_HEALTH_H_
#define BURDOCKHILL_SRC_AGENT_ENGINE_HEALTH_H_

#include <optional>

#include "burdockhill/src/agent/agent_blackboard.h"

namespace burdockhill {

// Watches the back ends: asks for their state, notices that one has restarted
// or cannot be reached, and cancels what an earlier agent left running.
class EngineHealth {
 public:
  EngineHealth(AgentBlackboard* board, EngineLink* engines)
      : m_board(board), m_engines(engines) {}

  void OnState(const EngineName& name, const std::optional<EngineState>& state);
  void Step();

 private:
  // Gives up what runs on the engine.
  void FailAttempts(const Engine& engine, ErrorKind kind);
  void CancelStrays(const Engine& engine);

  AgentBlackboard* m_board;
  EngineLink* m_engines;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_ENGINE_HEALTH_H_

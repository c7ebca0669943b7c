#ifndef BURDOCKHILL_SRC_AGENT_ENGINE_HEALTH_H_
#define BURDOCKHILL_SRC_AGENT_ENGINE_HEALTH_H_

#include <optional>

#include "burdockhill/src/agent/agent_blackboard.h"

namespace burdockhill {

// Polls the state of the back ends. Fails the attempts on an engine that has
// restarted or hangs, and cancels requests that an earlier agent process left
// running.
class EngineHealth {
 public:
  EngineHealth(AgentBlackboard* board, EngineLink* engines)
      : m_board(board), m_engines(engines) {}

  void OnEngineState(const EngineName& name,
                     const std::optional<EngineState>& state);
  // Sends the polls that are due, and fails the attempts on hung engines.
  void Tick();

 private:
  // Schedules the failure of the prefills and decodes running on the engine.
  void FailRunningAttempts(const Engine& engine, ErrorKind kind);
  // Cancels the engine's requests that belong to no attempt of this agent.
  void CancelOrphanedRequests(const Engine& engine);

  AgentBlackboard* m_board;
  EngineLink* m_engines;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_ENGINE_HEALTH_H_

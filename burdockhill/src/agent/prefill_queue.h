#ifndef BURDOCKHILL_SRC_AGENT_PREFILL_QUEUE_H_
#define BURDOCKHILL_SRC_AGENT_PREFILL_QUEUE_H_

#include "burdockhill/src/agent/agent_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Runs prefills on this upstream's engines, most urgent first. Prompts that
// start alike go to the same engine while it is not much busier than others,
// so that its prefix cache is used. A prefill that would start too late is
// refused at once.
class PrefillQueue {
 public:
  PrefillQueue(AgentBlackboard* board, PeerLink* peers, EngineLink* engines)
      : m_board(board), m_peers(peers), m_engines(engines) {}

  void OnStart(const VmName& entry, const StartPrefill& order);
  void OnPrefilled(const AttemptId& id, const std::string& kv_handle,
                   const std::string& kv_source, Tokens prompt, Tokens reused);

  // Starts what an engine has room for and refuses what has waited too long.
  void Step();

 private:
  Engine* ChooseEngine(const Attempt& attempt);
  Duration PredictedWait(const Engine& engine) const;
  uint32_t RunningOn(const EngineName& engine) const;
  void Run(Attempt* attempt);

  AgentBlackboard* m_board;
  PeerLink* m_peers;
  EngineLink* m_engines;
  // Engine that last computed a prompt starting alike, by hash of its start.
  std::map<uint64_t, EngineName> m_last_engine;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_PREFILL_QUEUE_H_

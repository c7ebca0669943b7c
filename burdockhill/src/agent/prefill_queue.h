#ifndef BURDOCKHILL_SRC_AGENT_PREFILL_QUEUE_H_
#define BURDOCKHILL_SRC_AGENT_PREFILL_QUEUE_H_

#include "burdockhill/src/agent/agent_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Runs prefills on this upstream's engines, most urgent first. For prefix cache
// affinity, prompts with the same prefix go to the same engine unless its
// backlog is much longer than the shortest one. A prefill whose predicted wait
// exceeds its wait budget is refused immediately.
class PrefillQueue {
 public:
  PrefillQueue(AgentBlackboard* board, PeerLink* peers, EngineLink* engines)
      : m_board(board), m_peers(peers), m_engines(engines) {}

  void OnStart(const VmName& entry, const StartPrefill& message);
  void OnPrefillDone(const AttemptId& id, const std::string& kv_handle,
                     const std::string& kv_source, Tokens prompt,
                     Tokens reused);

  // Starts prefills on engines with a free place, and refuses those whose wait
  // budget is used up, whose engine is unreachable, or all of them while the
  // upstream is leaving.
  void ProcessQueue();

 private:
  // The prefill engine with the shortest predicted wait, or one with the
  // prompt's prefix whose wait is not much longer; nullptr if none is
  // reachable.
  Engine* ChooseEngine(const Attempt& attempt);
  // Time that the engine needs for the prefills that it has to compute already;
  // kHoldTimeout while the engine's state is unknown.
  Duration PredictedWait(const Engine& engine) const;
  // Prefills in flight to the engine, including those being cancelled.
  uint32_t CountInFlight(const EngineName& engine) const;
  void RunPrefill(Attempt* attempt);

  AgentBlackboard* m_board;
  PeerLink* m_peers;
  EngineLink* m_engines;
  // Engine that was last assigned a prompt with the prefix, by prefix hash.
  std::map<uint64_t, EngineName> m_engine_by_prefix;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_PREFILL_QUEUE_H_

#ifndef BURDOCKHILL_SRC_AGENT_PLAIN_CALLS_H_
#define BURDOCKHILL_SRC_AGENT_PLAIN_CALLS_H_

#include "burdockhill/src/agent/agent_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Forwards calls to the plain service of this upstream, each at most once, and
// keeps the answer until the entry releases the attempt or its hold expires.
class PlainCalls {
 public:
  PlainCalls(AgentBlackboard* board, PeerLink* peers, EngineLink* engines)
      : m_board(board), m_peers(peers), m_engines(engines) {}

  void OnCall(const VmName& entry, const CallService& call);
  void OnAnswered(const AttemptId& id, int status,
                  const std::string& content_type, const std::string& body);

 private:
  AgentBlackboard* m_board;
  PeerLink* m_peers;
  EngineLink* m_engines;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_PLAIN_CALLS_H_

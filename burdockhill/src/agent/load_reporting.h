#ifndef BURDOCKHILL_SRC_AGENT_LOAD_REPORTING_H_
#define BURDOCKHILL_SRC_AGENT_LOAD_REPORTING_H_

#include "burdockhill/src/agent/agent_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Tells every connected entry how full this upstream is: when the connection
// comes up, when the upstream starts to leave or loses an engine, and every
// second. With many entries the reports come less often, so that the bytes a
// second stay bounded.
class LoadReporting {
 public:
  LoadReporting(AgentBlackboard* board, PeerLink* peers)
      : m_board(board), m_peers(peers) {}

  void OnPeerUp(const VmName& entry);
  void Step();

  // With names, as entries need them once, or without.
  LoadReport Compose(bool with_names) const;

 private:
  AgentBlackboard* m_board;
  PeerLink* m_peers;
  TimePoint m_next_report{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_LOAD_REPORTING_H_

#ifndef BURDOCKHILL_SRC_AGENT_LOAD_REPORTING_H_
#define BURDOCKHILL_SRC_AGENT_LOAD_REPORTING_H_

#include "burdockhill/src/agent/agent_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Sends the load of this upstream to all connected entries: when a connection
// comes up, when the leaving state, the reachability of an engine or the
// configuration changes, and periodically. The period is one second and grows
// to two with the number of entries, to limit the bandwidth.
class LoadReporting {
 public:
  LoadReporting(AgentBlackboard* board, PeerLink* peers)
      : m_board(board), m_peers(peers) {}

  // Sends the first report, which has the names.
  void OnPeerUp(const VmName& entry);
  // Sends a report to all connected entries if one is due.
  void SendDueReport();

  // Names of the upstream, service and engines are needed only in the first
  // report on a connection.
  LoadReport BuildReport(bool with_names) const;

 private:
  AgentBlackboard* m_board;
  PeerLink* m_peers;
  TimePoint m_next_report{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_LOAD_REPORTING_H_

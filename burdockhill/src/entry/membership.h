#ifndef BURDOCKHILL_SRC_ENTRY_MEMBERSHIP_H_
#define BURDOCKHILL_SRC_ENTRY_MEMBERSHIP_H_

#include "burdockhill/src/entry/entry_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Tracks the agents that this entry connects to and which of them are alive.
// The platform's VM list, which lags, says which agents to connect to; messages
// received from an agent say whether it is alive. A silent connection is first
// replaced by a new one; only if that stays silent too are the attempts at the
// agent failed.
class Membership {
 public:
  Membership(EntryBlackboard* board, PeerLink* peers, ObjectStore* store)
      : m_board(board), m_peers(peers), m_store(store) {}

  void OnPeerUp(const Hello& peer);
  void OnPeerDown(const VmName& vm);
  // Any message of `vm` has arrived.
  void RecordActivity(const VmName& vm);
  void OnLoadReport(const VmName& vm, const LoadReport& report);
  void Tick();

 private:
  void RefreshVmList();
  void ApplyVmList();
  // Notes which upstreams the configuration in force has dropped.
  void RecordDroppedUpstreams();
  void CheckLiveness(UpstreamView* view);

  EntryBlackboard* m_board;
  PeerLink* m_peers;
  ObjectStore* m_store;
  TimePoint m_next_list_refresh{};
  Generation m_applied_generation;  // In force when the list was last applied.
  TimePoint m_last_tick_at{};
  uint64_t m_heartbeat_sequence = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_MEMBERSHIP_H_

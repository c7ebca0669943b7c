#ifndef BURDOCKHILL_SRC_ENTRY_RELEASING_H_
#define BURDOCKHILL_SRC_ENTRY_RELEASING_H_

#include <map>

#include "burdockhill/src/entry/entry_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Renews the holds of open attempts, with one message per agent, and cancels
// attempts that are no longer needed, repeatedly until the agent confirms.
// After a reconnect it asks the agent for the state of each attempt.
class Releasing {
 public:
  Releasing(EntryBlackboard* board, PeerLink* peers)
      : m_board(board), m_peers(peers) {}

  void Tick();

 private:
  void SendReleases();
  void ReattachAttempts(const VmName& vm);
  void RenewHolds();
  void RepeatReleases();

  EntryBlackboard* m_board;
  PeerLink* m_peers;
  TimePoint m_next_renewal{};
  TimePoint m_next_repeat_check{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_RELEASING_H_

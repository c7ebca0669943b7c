#ifndef BURDOCKHILL_SRC_ENTRY_RELEASING_H_
#define BURDOCKHILL_SRC_ENTRY_RELEASING_H_

#include <map>

#include "burdockhill/src/entry/entry_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Keeps the holds of running attempts alive, one message an agent, and has
// agents free those that are no longer wanted, again and again until they
// confirm. After a connection was lost it asks what became of each attempt.
class Releasing {
 public:
  Releasing(EntryBlackboard* board, PeerLink* peers)
      : m_board(board), m_peers(peers) {}

  void Step();

 private:
  void SendReleases();
  void ResumeAt(const VmName& vm);
  void RenewHolds();
  void RepeatReleases();

  EntryBlackboard* m_board;
  PeerLink* m_peers;
  TimePoint m_next_renewal{};
  TimePoint m_next_repeat{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_RELEASING_H_

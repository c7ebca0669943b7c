#ifndef BURDOCKHILL_SRC_ENTRY_PLACEMENT_H_
#define BURDOCKHILL_SRC_ENTRY_PLACEMENT_H_

#include <vector>

#include "burdockhill/src/entry/entry_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Finds a decode slot for each admitted request before any of its prompt is
// computed. It asks two agents at once; the first grant wins and the other is
// withdrawn. Calls to plain services go to the least busy agent.
class Placement {
 public:
  Placement(EntryBlackboard* board, PeerLink* peers)
      : m_board(board), m_peers(peers) {}

  void OnGranted(const VmName& from, const ReserveGranted& granted);
  void Step();

 private:
  void PlaceModel(Request* request);
  void PlaceCall(Request* request);
  // Usable upstreams for the request, best first.
  std::vector<UpstreamView*> Candidates(const Request& request) const;
  // Ends a request that no upstream can take now.
  void GiveUp(Request* request);

  EntryBlackboard* m_board;
  PeerLink* m_peers;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_PLACEMENT_H_

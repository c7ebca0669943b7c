#ifndef BURDOCKHILL_SRC_ENTRY_PLACEMENT_H_
#define BURDOCKHILL_SRC_ENTRY_PLACEMENT_H_

#include <vector>

#include "burdockhill/src/entry/entry_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Reserves a decode slot for each admitted request before its prompt is
// computed. It asks two agents at once; the first grant wins and the other
// reservation is cancelled. Calls to plain services go to the least loaded
// agent.
class Placement {
 public:
  Placement(EntryBlackboard* board, PeerLink* peers)
      : m_board(board), m_peers(peers) {}

  void OnGranted(const VmName& from, const ReserveGranted& granted);
  void Tick();

 private:
  void PlaceModel(Request* request);
  void PlaceCall(Request* request);
  // Usable upstreams for the request, best first.
  std::vector<UpstreamView*> FindCandidates(const Request& request) const;
  // Ends a request for which there is no usable upstream.
  void EndUnplaced(Request* request);

  EntryBlackboard* m_board;
  PeerLink* m_peers;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_PLACEMENT_H_

#ifndef BURDOCKHILL_SRC_ENTRY_PREFILL_DISPATCH_H_
#define BURDOCKHILL_SRC_ENTRY_PREFILL_DISPATCH_H_

#include "burdockhill/src/entry/entry_blackboard.h"
#include "burdockhill/src/entry/prefix_directory.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Sends the prompt of each request that has a decode slot to the upstream that
// is expected to finish the prefill first, judged by queued work, prefill rate,
// expected prefix cache hits and zone.
class PrefillDispatch {
 public:
  PrefillDispatch(EntryBlackboard* board, PeerLink* peers)
      : m_board(board), m_peers(peers) {}

  void OnPrefillDone(const VmName& from, const PrefillDone& done);
  void Tick();

 private:
  void Dispatch(Request* request);
  // Expected time until the KV cache is at the decode engine if `view` computes
  // the prompt; nullopt if it cannot.
  std::optional<Duration> EstimateTimeToReady(const UpstreamView& view,
                                              const Request& request) const;

  EntryBlackboard* m_board;
  PeerLink* m_peers;
  PrefixDirectory m_prefixes;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_PREFILL_DISPATCH_H_

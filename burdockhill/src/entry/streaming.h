#ifndef BURDOCKHILL_SRC_ENTRY_STREAMING_H_
#define BURDOCKHILL_SRC_ENTRY_STREAMING_H_

#include "burdockhill/src/entry/entry_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Starts the decode of each request whose prompt is computed, and passes its
// tokens on in order. A chunk reaches the caller only if it is of the current
// attempt and has the next offset: duplicates are dropped, and after a gap the
// stream is requested again from the next offset.
class Streaming {
 public:
  Streaming(EntryBlackboard* board, PeerLink* peers, CallerPort* callers)
      : m_board(board), m_peers(peers), m_callers(callers) {}

  void OnChunk(const VmName& from, const StreamChunk& chunk);
  void OnCallAnswered(const CallAnswered& answer);
  void Tick();

 private:
  void StartDecoding(Request* request);
  void RecordFirstToken(Request* request, const StreamChunk& chunk);

  EntryBlackboard* m_board;
  PeerLink* m_peers;
  CallerPort* m_callers;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_STREAMING_H_

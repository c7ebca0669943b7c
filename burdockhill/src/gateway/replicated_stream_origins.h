#ifndef BURDOCKHILL_SRC_GATEWAY_REPLICATED_STREAM_ORIGINS_H_
#define BURDOCKHILL_SRC_GATEWAY_REPLICATED_STREAM_ORIGINS_H_

#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/gateway/origin_holders.h"
#include "burdockhill/src/gateway/origin_searches.h"
#include "burdockhill/src/gateway/stream_origins.h"
#include "burdockhill/src/peer/peer_link.h"
#include "burdockhill/src/routing/origin_replicas.h"
#include "burdockhill/src/routing/stream_origin_memory.h"

namespace burdockhill {

// Keeps the origins of streams at processes of both kinds, since all entries
// may end at once, or all agents.
//
// The entry at which a stream begins tells the stream's holders among the
// agents, and each of these tells one other entry, see OriginKeeper. All of
// them replace holders of the other kind that end: entries tell the next agent
// in the order of the stream, agents the next entry. Every process finds this
// order without being told. A search asks more processes than there are
// holders, as the order begins with others once processes have joined.
class ReplicatedStreamOrigins : public StreamOrigins, public PeerEvents {
 public:
  // How many agents hold each stream. Each of them has one entry hold it, too.
  static constexpr uint8_t kHolders = 2;

  ReplicatedStreamOrigins(EntryBoard* board, PeerLink* peers)
      : m_board(board), m_peers(peers), m_searches(board, peers, &m_holders) {}

  void Record(const StreamKey& stream, const SoftwareVersion& version,
              Duration keep) override;
  OriginSearchId Find(const StreamKey& stream,
                      OriginSearchEvents* events) override;
  void Cancel(OriginSearchId id) override { m_searches.Cancel(id); }

  // Follows changes of the directory, finds holders for streams that have lost
  // some, and ends searches. Call once per iteration of the event loop.
  void Tick();

  // Events of agents and of other entries.
  void OnPeerUp(const Hello& peer) override;
  void OnPeerDown(const VmName& vm) override;
  void OnMessage(const VmName& from, const Message& message) override;

 private:
  void SendCopies(const std::vector<OriginReplicas::Copy>& copies);
  // An agent has told a stream that this entry should hold.
  void Hold(const StreamOrigin& origin);

  EntryBoard* m_board;
  PeerLink* m_peers;
  OriginHolders m_holders;
  // What this entry has recorded, and what it holds for others.
  StreamOriginMemory m_memory;
  OriginReplicas m_replicas;  // At agents.
  OriginSearches m_searches;
  TimePoint m_next_upkeep_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_REPLICATED_STREAM_ORIGINS_H_

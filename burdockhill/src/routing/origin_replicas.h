#ifndef BURDOCKHILL_SRC_ROUTING_ORIGIN_REPLICAS_H_
#define BURDOCKHILL_SRC_ROUTING_ORIGIN_REPLICAS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "burdockhill/src/base/id.h"
#include "burdockhill/src/routing/holder_order.h"
#include "burdockhill/src/routing/stream_origin_memory.h"

namespace burdockhill {

// One connected run of a peer's process. What an earlier run held is lost.
using PeerRunId = NumericId<struct PeerRunIdTag>;

// A peer that can hold copies.
struct ReplicaPeer {
  PeerRunId run;
  ZoneName zone;
  auto operator<=>(const ReplicaPeer&) const = default;
};

// Positions in the order of a stream's holders, see HolderOrder.
struct ReplicaPositions {
  uint8_t first = 0;
  uint8_t count = 0;
};

// Which peers hold copies of the origins of streams that this process holds,
// and which have yet to be told.
//
// Each stream has positions in the order of the peers, and the peers at these
// positions hold it. When one of them ends, the next in the order is told. When
// peers come, the streams whose positions they have taken are told to them.
// Both are spread over time, lost copies first.
class OriginReplicas {
 public:
  // One message to be sent: a peer is told of a stream.
  struct Copy {
    StreamKey stream;
    VmName peer;
    uint8_t position = 0;
  };

  static constexpr size_t kMaxPositions = 2;
  // Streams that are moved to other peers in one call of TakeDue, and those
  // whose positions are compared with the present peers.
  static constexpr size_t kMaxMoved = 64;
  static constexpr size_t kMaxCompared = 16;

  // Replaces the peers that can hold copies.
  void SetPeers(std::map<VmName, ReplicaPeer> peers);

  // The stream is held at these positions, at most kMaxPositions; tells all of
  // them, whether they hold it already or not.
  std::vector<Copy> Tell(const StreamKey& stream, ReplicaPositions positions);
  // The same, but the present peers at these positions hold the stream.
  void AddHeld(const StreamKey& stream, ReplicaPositions positions);

  // What is due since peers have come or gone. Call once per iteration of the
  // event loop.
  std::vector<Copy> TakeDue();

  // Forgets the streams that the memory no longer holds.
  void DropEnded(const StreamOriginMemory& memory);

  size_t Size() const { return m_streams.size(); }

 private:
  struct Replicated {
    ReplicaPositions positions;
    std::array<PeerRunId, kMaxPositions> told;
    bool queued = false;  // In m_lost.
  };

  // Positions of the stream that the present peers can take.
  size_t AvailableCount(const ReplicaPositions& positions) const;
  bool HasLostCopy(const Replicated& replicated,
                   const std::set<PeerRunId>& runs) const;
  // Determines the peers that should hold the stream. Appends those that were
  // not told, if `copies` is not nullptr.
  void Update(const StreamKey& stream, Replicated* replicated,
              std::vector<Copy>* copies) const;

  std::map<VmName, ReplicaPeer> m_peers;
  HolderOrder m_order;
  std::map<StreamKey, Replicated> m_streams;
  std::deque<StreamKey> m_lost;  // Have fewer copies than they should.
  // Streams up to this one were compared with the present peers.
  StreamKey m_compared_up_to;
  bool m_is_comparing = false;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_ORIGIN_REPLICAS_H_

#ifndef BURDOCKHILL_SRC_GATEWAY_ORIGIN_HOLDERS_H_
#define BURDOCKHILL_SRC_GATEWAY_ORIGIN_HOLDERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/peer/message.h"
#include "burdockhill/src/routing/holder_order.h"
#include "burdockhill/src/routing/origin_replicas.h"
#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// The processes that searches ask.
struct AskedProcesses {
  HolderOrder agents;
  HolderOrder entries;

  // How many agents, and how many entries, one search asks.
  static constexpr size_t kMaxAgents = 12;
  static constexpr size_t kMaxEntries = 12;
  std::vector<VmName> For(const StreamKey& stream) const;
};

// What an entry knows of the processes that may hold origins of streams: the
// agents of model engines, and the entries that it is connected to.
class OriginHolders {
 public:
  // Follows the registrations of engines.
  void SyncWithDirectory(const UpstreamDirectory& directory, TimePoint now);
  void OnPeerUp(const Hello& peer, TimePoint now);
  void OnPeerDown(const VmName& vm, TimePoint now);
  // A message has arrived; false if the peer is not known.
  bool OnHeard(const VmName& vm, TimePoint now);
  void DropEnded(TimePoint now);

  // Whether others can get streams to hold than at the latest call.
  bool UpdateUsableAgents(TimePoint now);
  // Agents that could get streams to hold at the latest call of
  // UpdateUsableAgents. Entries get theirs from agents.
  std::map<VmName, ReplicaPeer> UsableAgents() const;
  // Processes that may know streams and are there, or soon will be.
  AskedProcesses FindAsked(TimePoint now) const;
  bool IsConnected(const VmName& vm) const;
  // Whether the process ended so recently that it may be restarting.
  bool MayRestart(const VmName& vm, TimePoint now) const;
  // Whether others may have to be asked than at the latest call.
  bool TakeChange() { return std::exchange(m_changed, false); }

 private:
  struct Peer {
    Role role = Role::kAgent;
    PeerRunId run;
    PeerRunId usable_run;  // See UsableAgents.
    Incarnation incarnation;
    ZoneName zone;
    bool connected = false;
    bool keeps_origins = true;  // Until it has told.
    bool registered = false;    // Its engine is.
    bool leaving = true;        // Its engine is.
    // When it was last heard, or first known if it was never.
    TimePoint heard_at{};
    TimePoint disconnected_at{};
  };

  static bool IsUsableAgent(const Peer& peer, TimePoint now);
  static bool IsAsked(const Peer& peer, TimePoint now);

  uint64_t m_directory_version = 0;
  uint64_t m_last_run = 0;
  std::map<VmName, Peer> m_peers;
  bool m_changed = false;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_ORIGIN_HOLDERS_H_

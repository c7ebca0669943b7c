#ifndef BURDOCKHILL_SRC_GATEWAY_AGENT_STREAM_ORIGINS_H_
#define BURDOCKHILL_SRC_GATEWAY_AGENT_STREAM_ORIGINS_H_

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/gateway/stream_origins.h"
#include "burdockhill/src/peer/peer_link.h"
#include "burdockhill/src/routing/stream_origin_memory.h"

namespace burdockhill {

// Keeps the origins of streams at the agents of model engines, since all
// entries may end at once.
//
// The holders of a stream are the first agents in an order that a hash of agent
// and stream gives, so that every entry finds them without being told. When a
// holder goes, the entry that recorded the stream tells the next one. A search
// asks more agents than there are holders, as the order begins with others once
// agents have joined.
class AgentStreamOrigins : public StreamOrigins, public PeerEvents {
 public:
  AgentStreamOrigins(EntryBoard* board, PeerLink* peers)
      : m_board(board), m_peers(peers), m_started_at(board->clock->Now()) {}

  void Record(const StreamKey& stream, const SoftwareVersion& version,
              Duration keep) override;
  OriginSearchId Find(const StreamKey& stream,
                      OriginSearchEvents* events) override;
  void Cancel(OriginSearchId id) override;

  // Follows changes of the directory, finds holders for streams that have lost
  // some, and ends searches. Call once per iteration of the event loop.
  void Tick();

  void OnPeerUp(const Hello& peer) override;
  void OnPeerDown(const VmName& vm) override;
  void OnMessage(const VmName& from, const Message& message) override;

  // How many agents hold each stream.
  static constexpr size_t kHolders = 3;
  // How many agents a search asks.
  static constexpr size_t kAskedAgents = 12;
  static constexpr size_t kMaxOpenSearches = 4096;

 private:
  // One connected run of an agent's process; what an earlier one held is lost.
  using AgentRunId = NumericId<struct AgentRunIdTag>;

  struct Agent {
    AgentRunId run;
    AgentRunId usable_run;  // As in `m_usable`.
    Incarnation incarnation;
    bool connected = false;
    bool keeps_origins = true;  // Until it has told.
    bool registered = false;    // Its engine is.
    bool leaving = true;        // Its engine is.
    // When it was last heard, or first known if it was never.
    TimePoint heard_at{};
  };
  struct Recorded {
    std::array<AgentRunId, kHolders> holders;
    bool queued = false;  // To get new holders.
  };
  struct Search {
    StreamKey stream;
    OriginSearchEvents* events = nullptr;
    TimePoint deadline{};
    // If set, the search ends without an origin and with this time to return.
    std::optional<Duration> unknown_for;
    std::vector<VmName> wanted;         // Agents that may know the stream.
    std::set<VmName> asked;             // Have not answered.
    std::set<VmName> answered;          // Also without knowing it.
    std::set<SoftwareVersion> origins;  // That were told.
  };

  void SyncWithDirectory();
  static bool IsUsable(const Agent& agent, TimePoint now);
  // Whether the agent may know streams and is there, or soon will be.
  static bool IsWanted(const Agent& agent, TimePoint now);
  // Determines the agents that can hold streams; queues streams that have lost
  // holders if these have changed.
  void UpdateUsableAgents(TimePoint now);
  void QueueStreamsWithoutHolders();
  void FindNewHolders(TimePoint now);
  // Tells the holders that the stream should have, or only those that do not
  // know it.
  void SendToHolders(const StreamKey& stream, Recorded* recorded,
                     const SoftwareVersion& version, Duration keep,
                     bool only_new);
  void DropExpiredStreams();
  void DropEndedAgents(TimePoint now);
  void LogRefusedSearches();
  // Asks those agents that are connected and were not asked.
  void Ask(OriginSearchId id, Search* search);
  // Whether all agents that may know the stream have answered.
  bool IsComplete(const Search& search) const;
  void EndSearches(TimePoint now);

  EntryBoard* m_board;
  PeerLink* m_peers;
  TimePoint m_started_at;
  uint64_t m_directory_version = 0;
  uint64_t m_last_run = 0;
  std::map<VmName, Agent> m_agents;
  bool m_agents_changed = false;  // So that searches may ask others.
  std::map<VmName, AgentRunId> m_usable;
  StreamOriginMemory m_memory;  // Of what this entry has recorded.
  std::map<StreamKey, Recorded> m_recorded;
  std::deque<StreamKey> m_without_holders;
  TimePoint m_next_upkeep_at{};
  uint64_t m_last_search = 0;
  std::map<OriginSearchId, Search> m_searches;
  int64_t m_refused_searches = 0;  // Not yet logged.
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_AGENT_STREAM_ORIGINS_H_

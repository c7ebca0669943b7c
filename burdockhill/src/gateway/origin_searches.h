#ifndef BURDOCKHILL_SRC_GATEWAY_ORIGIN_SEARCHES_H_
#define BURDOCKHILL_SRC_GATEWAY_ORIGIN_SEARCHES_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/gateway/origin_holders.h"
#include "burdockhill/src/gateway/stream_origins.h"
#include "burdockhill/src/peer/peer_link.h"
#include "burdockhill/src/routing/stream_origin_memory.h"

namespace burdockhill {

// Asks the processes that may hold the origin of a stream. The first answer
// with a version ends a search. Without one it ends once all that may know the
// stream have answered, or after a time that is longer while some of them start
// and get their copies.
class OriginSearches {
 public:
  static constexpr size_t kMaxOpen = 4096;

  OriginSearches(EntryBoard* board, PeerLink* peers,
                 const OriginHolders* holders)
      : m_board(board),
        m_peers(peers),
        m_holders(holders),
        m_started_at(board->clock->Now()) {}

  // See StreamOrigins. `memory` is what this process holds itself.
  OriginSearchId Find(const StreamKey& stream, const StreamOriginMemory& memory,
                      OriginSearchEvents* events);
  void Cancel(OriginSearchId id) { m_searches.erase(id); }

  // Ends searches. Call once per iteration of the event loop; `holders_changed`
  // tells that searches may have to ask others.
  void Tick(bool holders_changed);
  void OnPeerDown(const VmName& vm);
  void OnAnswer(const VmName& from, const StreamOriginAnswer& answer);
  // Logs how many searches were refused since the last call.
  void LogRefused();

 private:
  struct Search {
    StreamKey stream;
    OriginSearchEvents* events = nullptr;
    TimePoint began_at{};
    TimePoint
        last_asked_at{};  // When a process was asked, or the search began.
    // If set, the search ends without an origin and with this time to return.
    std::optional<Duration> unknown_for;
    std::vector<VmName> wanted;  // Processes that may know the stream.
    std::set<VmName> asked;      // Have not answered.
    std::set<VmName> waiting;    // Of these: those that will answer late.
    std::set<VmName> answered;   // Also without knowing it.
    std::set<SoftwareVersion> origins;  // That were told.
  };

  // Asks those that are connected and were not asked.
  void Ask(OriginSearchId id, Search* search, const AskedProcesses& processes);
  // Whether all that may know the stream have answered.
  bool IsComplete(const Search& search) const;
  // Whether one that may know the stream is just starting.
  bool IsHolderStarting(const Search& search) const;
  bool IsOver(const Search& search) const;

  EntryBoard* m_board;
  PeerLink* m_peers;
  const OriginHolders* m_holders;
  TimePoint m_started_at;
  uint64_t m_last_id = 0;
  std::map<OriginSearchId, Search> m_searches;
  int64_t m_refused = 0;  // Not yet logged.
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_ORIGIN_SEARCHES_H_

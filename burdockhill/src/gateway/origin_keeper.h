#ifndef BURDOCKHILL_SRC_GATEWAY_ORIGIN_KEEPER_H_
#define BURDOCKHILL_SRC_GATEWAY_ORIGIN_KEEPER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "burdockhill/src/base/event_log.h"
#include "burdockhill/src/peer/peer_link.h"
#include "burdockhill/src/routing/origin_replicas.h"
#include "burdockhill/src/routing/stream_origin_memory.h"

namespace burdockhill {

// The message that tells a peer of a stream, see OriginReplicas.
StreamOrigin StreamOriginFor(const OriginReplicas::Copy& copy,
                             const SoftwareVersion& version, Duration keep);

// The part of an agent in ReplicatedStreamOrigins: remembers for the entries
// which versions of upstreams began streams, its own engine's and others', and
// has an entry hold each stream, too.
//
// An agent that has just started gets its streams again from the entries that
// hold them. Until then it does not say that it does not know a stream.
class OriginKeeper {
 public:
  OriginKeeper(PeerLink* peers, const Clock* clock, EventLog* log)
      : m_peers(peers), m_clock(clock), m_log(log) {}

  void OnEntryUp(const Hello& entry);
  void OnEntryDown(const VmName& vm);
  void OnOrigin(const StreamOrigin& origin);
  void OnQuery(const VmName& from, const StreamOriginQuery& query);
  // Call once per iteration of the event loop.
  void Tick();
  // Tells entries what is due. Call when other messages are sent to them, which
  // share their frames.
  void SendCopies();

 private:
  struct Entry {
    ReplicaPeer peer;
    Incarnation incarnation;
    bool keeps_origins = false;
  };
  struct DueCopy {
    OriginReplicas::Copy copy;
    SoftwareVersion version;  // Invalid for the one that is held.
  };
  struct OpenQuery {
    VmName from;
    uint64_t id = 0;
    StreamKey stream;
  };

  static constexpr size_t kMaxOpenQueries = 4096;

  void UpdatePeers();
  void Answer(const VmName& to, uint64_t id, const SoftwareVersion& version);
  // Those that this record of the attempt has answered.
  void AnswerOpenQueries(const RequestId& attempt);
  void LogSize(TimePoint now);

  PeerLink* m_peers;
  const Clock* m_clock;
  EventLog* m_log;
  TimePoint m_started_at = m_clock->Now();
  uint64_t m_last_run = 0;
  std::map<VmName, Entry> m_entries;  // Connected ones.
  StreamOriginMemory m_memory;
  OriginReplicas m_replicas;  // At entries.
  std::vector<DueCopy> m_due;
  std::vector<OpenQuery> m_open_queries;
  TimePoint m_next_upkeep_at{};
  TimePoint m_next_log_at{};
  size_t m_logged_size = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_ORIGIN_KEEPER_H_

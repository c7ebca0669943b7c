#include "burdockhill/src/gateway/replicated_stream_origins.h"

#include <variant>

#include "burdockhill/src/gateway/origin_keeper.h"

namespace burdockhill {

namespace {

constexpr Duration kUpkeepInterval = std::chrono::seconds(1);
constexpr ReplicaPositions kAllHolders{0, ReplicatedStreamOrigins::kHolders};

}  // namespace

void ReplicatedStreamOrigins::Record(const StreamKey& stream,
                                     const SoftwareVersion& version,
                                     Duration keep) {
  if (m_memory.Record(stream, version, keep, m_board->clock->Now()) ==
      StreamOriginMemory::RecordResult::kInvalid) {
    return;
  }
  for (const auto& copy : m_replicas.Tell(stream, kAllHolders)) {
    m_peers->Send(copy.peer, StreamOriginFor(copy, version, keep));
  }
  if (m_replicas.Size() > 2 * kMaxStreamOrigins) m_replicas.DropEnded(m_memory);
}

OriginSearchId ReplicatedStreamOrigins::Find(const StreamKey& stream,
                                             OriginSearchEvents* events) {
  m_memory.Expire(m_board->clock->Now());
  return m_searches.Find(stream, m_memory, events);
}

void ReplicatedStreamOrigins::Tick() {
  const TimePoint now = m_board->clock->Now();
  m_holders.SyncWithDirectory(m_board->upstreams, now);
  if (m_holders.UpdateUsableAgents(now)) {
    m_replicas.SetPeers(m_holders.UsableAgents());
  }
  m_memory.Expire(now);
  SendCopies(m_replicas.TakeDue());
  if (now >= m_next_upkeep_at) {
    m_next_upkeep_at = now + kUpkeepInterval;
    m_replicas.DropEnded(m_memory);
    m_holders.DropEnded(now);
    m_searches.LogRefused();
  }
  m_searches.Tick(m_holders.TakeChange());
}

void ReplicatedStreamOrigins::SendCopies(
    const std::vector<OriginReplicas::Copy>& copies) {
  const TimePoint now = m_board->clock->Now();
  for (const OriginReplicas::Copy& copy : copies) {
    const auto known = m_memory.Find(copy.stream, now);
    // What is recorded with two versions does not have to be known.
    if (!known.has_value()) continue;
    m_peers->Send(copy.peer,
                  StreamOriginFor(copy, known->version, known->until - now));
  }
}

void ReplicatedStreamOrigins::Hold(const StreamOrigin& origin) {
  const StreamKey stream{origin.service, origin.stream, origin.owner};
  const bool is_new = !m_memory.Contains(stream);
  if (m_memory.Record(stream, origin.version, origin.keep,
                      m_board->clock->Now()) ==
          StreamOriginMemory::RecordResult::kInvalid ||
      !is_new) {
    return;
  }
  // The entry that has recorded the stream has told these agents.
  m_replicas.AddHeld(stream, kAllHolders);
}

void ReplicatedStreamOrigins::OnPeerUp(const Hello& peer) {
  m_holders.OnPeerUp(peer, m_board->clock->Now());
}

void ReplicatedStreamOrigins::OnPeerDown(const VmName& vm) {
  m_holders.OnPeerDown(vm, m_board->clock->Now());
  m_searches.OnPeerDown(vm);
}

void ReplicatedStreamOrigins::OnMessage(const VmName& from,
                                        const Message& message) {
  const TimePoint now = m_board->clock->Now();
  if (!m_holders.OnHeard(from, now)) return;
  if (const auto* answer = std::get_if<StreamOriginAnswer>(&message)) {
    m_searches.OnAnswer(from, *answer);
  } else if (const auto* origin = std::get_if<StreamOrigin>(&message)) {
    Hold(*origin);
  } else if (const auto* query = std::get_if<StreamOriginQuery>(&message)) {
    const auto known =
        m_memory.Find({query->service, query->stream, query->owner}, now);
    m_peers->Send(from, StreamOriginAnswer{query->id, known.has_value()
                                                          ? known->version
                                                          : SoftwareVersion()});
  }
}

}  // namespace burdockhill

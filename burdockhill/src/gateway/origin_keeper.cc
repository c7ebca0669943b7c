#include "burdockhill/src/gateway/origin_keeper.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace burdockhill {

namespace {

// Entries dial an agent that has restarted once or twice within this time, and
// tell it what it should hold.
constexpr Duration kRestoreTime = std::chrono::milliseconds(1200);
constexpr Duration kUpkeepInterval = std::chrono::seconds(1);
constexpr Duration kLogInterval = std::chrono::minutes(1);

}  // namespace

StreamOrigin StreamOriginFor(const OriginReplicas::Copy& copy,
                             const SoftwareVersion& version, Duration keep) {
  return {copy.stream.service,
          copy.stream.attempt,
          version,
          std::min(keep, kMaxOriginKeep),
          static_cast<uint8_t>(copy.position + 1),
          copy.stream.owner};
}

void OriginKeeper::OnEntryUp(const Hello& hello) {
  const auto [found, is_new] = m_entries.try_emplace(hello.vm);
  Entry& entry = found->second;
  if (is_new || entry.incarnation != hello.incarnation) {
    entry.peer.run = PeerRunId(++m_last_run);
  }
  entry.peer.zone = hello.zone;
  entry.incarnation = hello.incarnation;
  entry.keeps_origins = hello.keeps_origins;
  UpdatePeers();
}

void OriginKeeper::OnEntryDown(const VmName& vm) {
  m_entries.erase(vm);
  std::erase_if(m_open_queries,
                [&](const OpenQuery& query) { return query.from == vm; });
  UpdatePeers();
}

void OriginKeeper::UpdatePeers() {
  std::map<VmName, ReplicaPeer> peers;
  for (const auto& [vm, entry] : m_entries) {
    if (entry.keeps_origins) peers.emplace(vm, entry.peer);
  }
  m_replicas.SetPeers(std::move(peers));
}

void OriginKeeper::OnOrigin(const StreamOrigin& origin) {
  const StreamKey stream{origin.service, origin.stream, origin.owner};
  if (m_memory.Record(stream, origin.version, origin.keep, m_clock->Now()) !=
      StreamOriginMemory::RecordResult::kChanged) {
    return;
  }
  AnswerOpenQueries(stream.attempt);
  if (origin.holder == 0) return;
  const auto position = static_cast<uint8_t>(origin.holder - 1);
  for (OriginReplicas::Copy& copy : m_replicas.Tell(stream, {position, 1})) {
    // A second version makes the stream unknown at the entry, too.
    m_due.push_back({std::move(copy), origin.version});
  }
}

void OriginKeeper::OnQuery(const VmName& from, const StreamOriginQuery& query) {
  const TimePoint now = m_clock->Now();
  const StreamKey stream{query.service, query.stream, query.owner};
  const Duration wait = m_started_at + kRestoreTime - now;
  const auto known = m_memory.Find(stream, now);
  if (known.has_value() || m_memory.IsAmbiguous(stream, now) ||
      wait <= Duration(0)) {
    return Answer(from, query.id,
                  known.has_value() ? known->version : SoftwareVersion());
  }
  // Without an answer the entry tells its caller when to return.
  if (m_open_queries.size() >= kMaxOpenQueries) return;
  m_open_queries.push_back({from, query.id, stream});
  const auto entry = m_entries.find(from);
  // Former entries take each answer for the last one.
  if (entry == m_entries.end() || !entry->second.keeps_origins) return;
  m_peers->Send(from, StreamOriginAnswer{query.id, SoftwareVersion(), wait});
}

void OriginKeeper::Answer(const VmName& to, uint64_t id,
                          const SoftwareVersion& version) {
  m_peers->Send(to, StreamOriginAnswer{id, version});
}

void OriginKeeper::AnswerOpenQueries(const RequestId& attempt) {
  const TimePoint now = m_clock->Now();
  std::erase_if(m_open_queries, [&](const OpenQuery& query) {
    if (query.stream.attempt != attempt) return false;
    const auto known = m_memory.Find(query.stream, now);
    if (!known.has_value()) return false;
    Answer(query.from, query.id, known->version);
    return true;
  });
}

void OriginKeeper::Tick() {
  const TimePoint now = m_clock->Now();
  m_memory.Expire(now);
  if (now - m_started_at >= kRestoreTime) {
    for (const OpenQuery& query : std::exchange(m_open_queries, {})) {
      Answer(query.from, query.id, SoftwareVersion());
    }
  }
  for (OriginReplicas::Copy& copy : m_replicas.TakeDue()) {
    m_due.push_back({std::move(copy), SoftwareVersion()});
  }
  if (now >= m_next_upkeep_at) {
    m_next_upkeep_at = now + kUpkeepInterval;
    m_replicas.DropEnded(m_memory);
  }
  LogSize(now);
}

void OriginKeeper::SendCopies() {
  const TimePoint now = m_clock->Now();
  for (const DueCopy& due : std::exchange(m_due, {})) {
    const std::optional<TimePoint> until = m_memory.Until(due.copy.stream);
    const auto held = m_memory.Find(due.copy.stream, now);
    const SoftwareVersion version =
        held.has_value() ? held->version : due.version;
    // What is recorded with two versions is not told to those that come later.
    if (!until.has_value() || now >= *until || !version.IsValid()) continue;
    m_peers->Send(due.copy.peer,
                  StreamOriginFor(due.copy, version, *until - now));
  }
}

void OriginKeeper::LogSize(TimePoint now) {
  if (now < m_next_log_at) return;
  m_next_log_at = now + kLogInterval;
  if (m_memory.Size() == m_logged_size) return;
  m_logged_size = m_memory.Size();
  m_log->Write("stream_origins",
               {{"kept", static_cast<int64_t>(m_memory.Size())},
                {"evicted", static_cast<int64_t>(m_memory.EvictedCount())}});
}

}  // namespace burdockhill

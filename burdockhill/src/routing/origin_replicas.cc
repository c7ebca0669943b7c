#include "burdockhill/src/routing/origin_replicas.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

void OriginReplicas::SetPeers(std::map<VmName, ReplicaPeer> peers) {
  if (peers == m_peers) return;
  m_peers = std::move(peers);
  m_order = HolderOrder();
  std::set<PeerRunId> runs;
  for (const auto& [vm, peer] : m_peers) {
    m_order.Add(vm, peer.zone);
    runs.insert(peer.run);
  }
  for (auto& [stream, replicated] : m_streams) {
    if (replicated.queued || !HasLostCopy(replicated, runs)) continue;
    replicated.queued = true;
    m_lost.push_back(stream);
  }
  m_compared_up_to = StreamKey();
  m_is_comparing = true;
}

size_t OriginReplicas::AvailableCount(const ReplicaPositions& positions) const {
  const size_t end = static_cast<size_t>(positions.first) + positions.count;
  return std::min(end, m_order.Size()) -
         std::min<size_t>(positions.first, m_order.Size());
}

bool OriginReplicas::HasLostCopy(const Replicated& replicated,
                                 const std::set<PeerRunId>& runs) const {
  const auto held =
      std::count_if(replicated.told.begin(), replicated.told.end(),
                    [&](PeerRunId run) { return runs.contains(run); });
  return static_cast<size_t>(held) < AvailableCount(replicated.positions);
}

void OriginReplicas::Update(const StreamKey& stream, Replicated* replicated,
                            std::vector<Copy>* copies) const {
  const ReplicaPositions& positions = replicated->positions;
  const size_t end = static_cast<size_t>(positions.first) + positions.count;
  const std::vector<VmName> order = m_order.First(HashStream(stream), end);
  const auto former = std::exchange(replicated->told, {});
  for (size_t i = positions.first; i < order.size(); ++i) {
    const PeerRunId run = m_peers.at(order[i]).run;
    replicated->told.at(i - positions.first) = run;
    const bool was_told =
        std::find(former.begin(), former.end(), run) != former.end();
    if (was_told || copies == nullptr) continue;
    copies->push_back({stream, order[i], static_cast<uint8_t>(i)});
  }
}

std::vector<OriginReplicas::Copy> OriginReplicas::Tell(
    const StreamKey& stream, ReplicaPositions positions) {
  Replicated& replicated = m_streams[stream];
  replicated.positions = positions;
  replicated.told = {};
  std::vector<Copy> copies;
  Update(stream, &replicated, &copies);
  return copies;
}

void OriginReplicas::AddHeld(const StreamKey& stream,
                             ReplicaPositions positions) {
  Replicated& replicated = m_streams[stream];
  replicated.positions = positions;
  Update(stream, &replicated, /*copies=*/nullptr);
}

std::vector<OriginReplicas::Copy> OriginReplicas::TakeDue() {
  std::vector<Copy> copies;
  for (size_t i = 0; i < kMaxMoved && !m_lost.empty(); ++i) {
    const StreamKey stream = std::move(m_lost.front());
    m_lost.pop_front();
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) continue;
    found->second.queued = false;
    Update(stream, &found->second, &copies);
  }
  if (!m_is_comparing || !m_lost.empty()) return copies;
  auto next = m_streams.upper_bound(m_compared_up_to);
  for (size_t i = 0; i < kMaxCompared && next != m_streams.end(); ++i, ++next) {
    Update(next->first, &next->second, &copies);
    m_compared_up_to = next->first;
  }
  m_is_comparing = next != m_streams.end();
  return copies;
}

void OriginReplicas::DropEnded(const StreamOriginMemory& memory) {
  std::erase_if(m_streams,
                [&](const auto& item) { return !memory.Contains(item.first); });
}

}  // namespace burdockhill

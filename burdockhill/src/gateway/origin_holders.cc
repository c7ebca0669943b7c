#include "burdockhill/src/gateway/origin_holders.h"

#include <optional>

#include "burdockhill/src/base/address.h"

namespace burdockhill {

namespace {

// An agent that has been silent for longer gets no streams to hold. Load
// reports arrive at least twice a second.
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1800);
// A process that has been silent for longer is not expected to come back with
// what it held.
constexpr Duration kAbsenceTimeout = std::chrono::seconds(10);
// Processes that end by a failure are usually back by then.
constexpr Duration kRestartTime = std::chrono::seconds(2);

}  // namespace

void OriginHolders::SyncWithDirectory(const UpstreamDirectory& directory,
                                      TimePoint now) {
  if (m_directory_version == directory.Version()) return;
  m_directory_version = directory.Version();
  for (auto& [vm, peer] : m_peers) {
    if (peer.role != Role::kAgent) continue;
    peer.registered = false;
    peer.leaving = true;
  }
  for (const auto& [name, upstream] : directory.All()) {
    if (!upstream.role.has_value()) continue;
    const std::optional<Address> address = ParseAddress(upstream.address);
    if (!address.has_value()) continue;
    const auto [found, is_new] = m_peers.try_emplace(VmName(address->host));
    Peer& peer = found->second;
    if (is_new) {
      peer.heard_at = now;
      m_changed = true;
    }
    peer.registered = true;
    peer.zone = upstream.zone;
    if (!upstream.leaving && !directory.IsSuperseded(upstream)) {
      peer.leaving = false;
    }
  }
}

void OriginHolders::OnPeerUp(const Hello& hello, TimePoint now) {
  Peer& peer = m_peers[hello.vm];
  if (!peer.connected || peer.incarnation != hello.incarnation) {
    peer.run = PeerRunId(++m_last_run);
  }
  peer.role = hello.role;
  peer.incarnation = hello.incarnation;
  if (!peer.registered) peer.zone = hello.zone;
  peer.connected = true;
  peer.keeps_origins = hello.keeps_origins;
  peer.heard_at = now;
  m_changed = true;
}

void OriginHolders::OnPeerDown(const VmName& vm, TimePoint now) {
  const auto found = m_peers.find(vm);
  if (found == m_peers.end()) return;
  found->second.connected = false;
  found->second.disconnected_at = now;
  m_changed = true;
}

bool OriginHolders::OnHeard(const VmName& vm, TimePoint now) {
  const auto found = m_peers.find(vm);
  if (found == m_peers.end()) return false;
  found->second.heard_at = now;
  return true;
}

void OriginHolders::DropEnded(TimePoint now) {
  std::erase_if(m_peers, [&](const auto& item) {
    const Peer& peer = item.second;
    return !peer.registered && !peer.usable_run.IsValid() &&
           now - peer.heard_at > kAbsenceTimeout;
  });
}

bool OriginHolders::IsUsableAgent(const Peer& peer, TimePoint now) {
  return peer.role == Role::kAgent && peer.connected && peer.keeps_origins &&
         peer.registered && !peer.leaving &&
         now - peer.heard_at <= kSilenceTimeout;
}

bool OriginHolders::IsAsked(const Peer& peer, TimePoint now) {
  return peer.keeps_origins && (peer.registered || peer.connected) &&
         now - peer.heard_at <= kAbsenceTimeout;
}

bool OriginHolders::UpdateUsableAgents(TimePoint now) {
  bool changed = false;
  for (auto& [vm, peer] : m_peers) {
    const PeerRunId run = IsUsableAgent(peer, now) ? peer.run : PeerRunId();
    changed = changed || peer.usable_run != run;
    peer.usable_run = run;
  }
  return changed;
}

std::map<VmName, ReplicaPeer> OriginHolders::UsableAgents() const {
  std::map<VmName, ReplicaPeer> usable;
  for (const auto& [vm, peer] : m_peers) {
    if (!peer.usable_run.IsValid()) continue;
    usable.emplace(vm, ReplicaPeer{peer.usable_run, peer.zone});
  }
  return usable;
}

AskedProcesses OriginHolders::FindAsked(TimePoint now) const {
  AskedProcesses asked;
  for (const auto& [vm, peer] : m_peers) {
    if (!IsAsked(peer, now)) continue;
    HolderOrder& order =
        peer.role == Role::kAgent ? asked.agents : asked.entries;
    order.Add(vm, peer.zone);
  }
  return asked;
}

std::vector<VmName> AskedProcesses::For(const StreamKey& stream) const {
  const uint64_t hash = HashStream(stream);
  std::vector<VmName> asked = agents.First(hash, kMaxAgents);
  const std::vector<VmName> of_entries = entries.First(hash, kMaxEntries);
  asked.insert(asked.end(), of_entries.begin(), of_entries.end());
  return asked;
}

bool OriginHolders::IsConnected(const VmName& vm) const {
  const auto found = m_peers.find(vm);
  return found != m_peers.end() && found->second.connected;
}

bool OriginHolders::MayRestart(const VmName& vm, TimePoint now) const {
  const auto found = m_peers.find(vm);
  return found != m_peers.end() && !found->second.connected &&
         found->second.run.IsValid() &&
         now - found->second.disconnected_at <= kRestartTime;
}

}  // namespace burdockhill

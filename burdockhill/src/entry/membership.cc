#include "burdockhill/src/entry/membership.h"

#include <algorithm>
#include <set>

#include "burdockhill/src/entry/agent_subset.h"

namespace burdockhill {

namespace {

// Interval of reads of the platform's VM list. It grows with the length of the
// list, which bounds the traffic to about 3 KB/s at 150 bytes a VM.
constexpr Duration kVmListInterval = std::chrono::seconds(5);
constexpr Duration kVmListIntervalPerVm = std::chrono::milliseconds(50);
// A heartbeat is sent on a connection that was silent for this long, and
// repeated at this interval.
constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
// After this long without a message a new connection is opened.
constexpr Duration kSilenceTimeout = std::chrono::seconds(3);
// If the new connection is silent for this long too, the attempts at the agent
// are failed.
constexpr Duration kLostTimeout = std::chrono::seconds(3);
// Interval of connection attempts to an agent that is not up.
constexpr Duration kReconnectInterval = std::chrono::seconds(2);
// A longer gap between two calls of Tick means that this process was paused.
constexpr Duration kPauseThreshold = std::chrono::seconds(1);

}  // namespace

void Membership::OnPeerUp(const Hello& peer) {
  if (peer.role == Role::kEntry) {
    m_board->entry_peers[peer.vm] = m_board->now;
    return;
  }
  const auto found = m_board->upstreams.find(peer.vm);
  if (found == m_board->upstreams.end()) return;
  UpstreamView& view = found->second;
  const bool same_incarnation = view.incarnation == peer.incarnation;
  view.incarnation = peer.incarnation;
  view.zone = peer.zone;
  view.region = peer.region;
  view.state = PeerState::kUp;
  view.last_heard = m_board->now;
  if (same_incarnation) {
    m_board->resumed_agents.push_back(peer.vm);
  } else {
    // A restarted agent knows none of the earlier attempts.
    view.report.reset();
    m_board->lost_agents.push_back(peer.vm);
  }
}

void Membership::OnPeerDown(const VmName& vm) {
  m_board->entry_peers.erase(vm);
  const auto found = m_board->upstreams.find(vm);
  if (found == m_board->upstreams.end()) return;
  UpstreamView& view = found->second;
  if (view.state != PeerState::kUp) return;
  view.state = PeerState::kSilent;
  view.silent_since = m_board->now;
}

void Membership::RecordActivity(const VmName& vm) {
  const auto entry = m_board->entry_peers.find(vm);
  if (entry != m_board->entry_peers.end()) entry->second = m_board->now;
  const auto found = m_board->upstreams.find(vm);
  if (found == m_board->upstreams.end()) return;
  found->second.last_heard = m_board->now;
  if (found->second.state == PeerState::kSilent) {
    found->second.state = PeerState::kUp;
  }
}

void Membership::OnLoadReport(const VmName& vm, const LoadReport& report) {
  const auto found = m_board->upstreams.find(vm);
  if (found == m_board->upstreams.end()) return;
  UpstreamView& view = found->second;
  const std::optional<LoadReport> previous = std::move(view.report);
  view.report = report;
  // Only the first report on a connection carries the names.
  if (!report.service.IsValid()) {
    if (!previous.has_value()) {
      view.report.reset();
      return;
    }
    view.report->upstream = previous->upstream;
    view.report->service = previous->service;
    const size_t named_engines =
        std::min(report.engines.size(), previous->engines.size());
    for (size_t i = 0; i < named_engines; ++i) {
      view.report->engines[i].name = previous->engines[i].name;
    }
  }
  view.requests_since_report = 0;
  view.prefill_since_report = Tokens(0);
  m_board->generations[vm] = {report.staged, report.in_force, m_board->now};
}

void Membership::Tick() {
  const bool was_paused = m_last_tick_at != TimePoint() &&
                          m_board->now - m_last_tick_at > kPauseThreshold;
  m_last_tick_at = m_board->now;
  if (m_board->now >= m_next_list_refresh) {
    const auto vms = static_cast<int64_t>(m_board->listed_vms.size());
    m_next_list_refresh =
        m_board->now + std::max(kVmListInterval, kVmListIntervalPerVm * vms);
    RefreshVmList();
  }
  if (m_board->in_force != m_applied_generation) ApplyVmList();
  for (auto& [vm, view] : m_board->upstreams) {
    // After a pause of this process, messages may be waiting unread, so no
    // agent counts as silent yet.
    if (was_paused) {
      view.last_heard = m_board->now;
      view.silent_since = m_board->now;
    }
    CheckLiveness(&view);
  }
}

void Membership::RefreshVmList() {
  m_store->ListVms(
      [this](StoreStatus status, const std::vector<ListedVm>& vms) {
        if (status != StoreStatus::kOk) return;
        m_board->listed_vms = vms;
        ApplyVmList();
      });
}

void Membership::ApplyVmList() {
  m_applied_generation = m_board->in_force;
  const std::vector<ListedVm>& vms = m_board->listed_vms;
  for (auto& [name, view] : m_board->upstreams) view.is_listed = false;
  std::set<VmName> chosen;
  if (m_board->configuration != nullptr) {
    chosen = ChooseAgents(m_board->self.vm, *m_board->configuration, vms);
  }
  int64_t entries = 0;
  for (const ListedVm& vm : vms) {
    if (vm.role == Role::kEntry) ++entries;
    if (!chosen.contains(vm.name)) continue;
    const bool is_new = !m_board->upstreams.contains(vm.name);
    UpstreamView& view = m_board->upstreams[vm.name];
    view.is_listed = true;
    view.listed_as_leaving = vm.leaving;
    if (!is_new && view.address == vm.peer_address) continue;
    view.vm = vm.name;
    view.zone = vm.zone;
    view.region = vm.region;
    view.address = vm.peer_address;
    m_peers->Connect(vm.name, vm.peer_address);
  }
  m_board->listed_entries = std::max<int64_t>(1, entries);
  RecordDroppedUpstreams();
  // The list lags: an agent that is missing from it is kept while it is up.
  std::vector<VmName> lost;
  for (const auto& [name, view] : m_board->upstreams) {
    if (!view.is_listed && view.state != PeerState::kUp) lost.push_back(name);
  }
  for (const VmName& name : lost) {
    m_board->lost_agents.push_back(name);
    m_board->upstreams.erase(name);
    m_peers->Disconnect(name);
  }
}

void Membership::RecordDroppedUpstreams() {
  if (m_board->configuration == nullptr) return;
  std::set<VmName> configured;
  for (const auto& [name, upstream] : m_board->configuration->upstreams) {
    configured.insert(upstream.vm);
  }
  for (auto& [vm, view] : m_board->upstreams) {
    if (configured.contains(vm)) {
      view.dropped_by.reset();
    } else if (!view.dropped_by.has_value()) {
      view.dropped_by = m_board->in_force;
    }
  }
}

void Membership::CheckLiveness(UpstreamView* view) {
  const TimePoint now = m_board->now;
  if (view->state == PeerState::kUp) {
    const Duration idle = now - view->last_heard;
    if (idle > kSilenceTimeout) {
      view->state = PeerState::kSilent;
      view->silent_since = now;
      view->next_connect = now;
      return;
    }
    if (idle > kHeartbeatInterval && now >= view->next_heartbeat) {
      view->next_heartbeat = now + kHeartbeatInterval;
      m_peers->Send(view->vm, Heartbeat{++m_heartbeat_sequence, false});
    }
    return;
  }
  // A dead connection may look open forever, so new ones are opened until the
  // agent is heard from.
  if (now >= view->next_connect) {
    view->next_connect = now + kReconnectInterval;
    m_peers->Connect(view->vm, view->address);
  }
  if (view->state == PeerState::kSilent &&
      now - view->silent_since > kLostTimeout) {
    view->state = PeerState::kDown;
    m_board->lost_agents.push_back(view->vm);
  }
}

}  // namespace burdockhill

// How Reservations follows the engines and their agents: connections, silence,
// backoff after failures, and standstills of the entry.

#include <algorithm>
#include <utility>

#include "burdockhill/src/gateway/reservations.h"

namespace burdockhill {

namespace {

// An agent whose last message is older counts as disconnected. Load reports
// arrive at least twice a second.
constexpr Duration kAgentSilenceTimeout = std::chrono::milliseconds(1800);
// While all agents that were asked are silent for longer, another one is asked.
constexpr Duration kLateReport = std::chrono::milliseconds(700);
// An entry whose event loop has not run for longer stood still: engines may
// have been replaced meanwhile.
constexpr Duration kStandstill = std::chrono::milliseconds(500);
// Backoff of an engine after its first failed call; doubles with each further
// failure.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(150);

}  // namespace

void Reservations::SyncWithDirectory() {
  if (m_directory_version == m_board->upstreams.Version()) return;
  m_directory_version = m_board->upstreams.Version();
  std::vector<UpstreamName> removed;
  m_engine_by_agent.clear();
  for (const auto& [name, upstream] : m_board->upstreams.All()) {
    if (!upstream.role.has_value()) continue;
    if (m_board->upstreams.IsSuperseded(upstream)) continue;
    const std::optional<Address> address = ParseAddress(upstream.address);
    if (!address.has_value()) continue;
    Engine& engine = m_engines.FindOrInsert(name);
    const VmName agent(address->host);
    m_engine_by_agent[agent] = name;
    if (engine.agent == agent) continue;
    engine.agent = agent;
    engine.agent_connected = false;
    m_peers->Connect(
        agent, address->host + ":" + std::to_string(m_options.agent_port));
  }
  std::set<VmName> unused;
  for (const auto& [name, engine] : m_engines) {
    const RegisteredUpstream* upstream = m_board->upstreams.Find(name);
    if (upstream != nullptr && !m_board->upstreams.IsSuperseded(*upstream)) {
      continue;
    }
    removed.push_back(name);
    if (!m_engine_by_agent.contains(engine.agent)) unused.insert(engine.agent);
  }
  for (const UpstreamName& name : removed) {
    m_engines.Erase(name);
    m_placement.Forget(name);
  }
  for (const VmName& agent : unused) m_peers->Disconnect(agent);
}

UpstreamName Reservations::FindEngine(const VmName& agent) const {
  const auto found = m_engine_by_agent.find(agent);
  return found == m_engine_by_agent.end() ? UpstreamName() : found->second;
}

void Reservations::NoticeStandstill() {
  const TimePoint now = m_board->clock->Now();
  if (m_last_tick_at == TimePoint() || now - m_last_tick_at <= kStandstill) {
    return;
  }
  m_ran_again_at = now;
  for (auto& [name, engine] : m_engines) {
    if (!engine.agent_connected) m_board->upstreams.Doubt(name);
  }
}

void Reservations::BackOff(Engine* engine, Duration time) {
  engine->backoff = time;
  engine->backoff_until = m_board->clock->Now() + time;
}

void Reservations::RecordFailure(const UpstreamName& name) {
  Engine* engine = m_engines.Find(name);
  if (engine == nullptr) return;
  BackOff(engine,
          std::clamp(2 * engine->backoff, kInitialBackoff, kMaxBackoff));
}

void Reservations::RecordUnreachable(const UpstreamName& name) {
  if (Engine* engine = m_engines.Find(name)) BackOff(engine, kMaxBackoff);
}

void Reservations::RecordSuccess(const UpstreamName& name) {
  if (Engine* engine = m_engines.Find(name)) engine->backoff = Duration(0);
}

bool Reservations::AreAskedAgentsSilent(const ActiveReservation& active) const {
  const TimePoint now = m_board->clock->Now();
  return std::all_of(
      active.asked.begin(), active.asked.end(), [&](const auto& asked) {
        const Engine* engine = m_engines.Find(asked.first);
        return engine == nullptr || now - engine->last_heard_at > kLateReport;
      });
}

void Reservations::ReconnectSilentAgents() {
  const TimePoint now = m_board->clock->Now();
  std::vector<VmName> silent_agents;
  for (auto& [name, engine] : m_engines) {
    if (engine.agent_connected &&
        now - engine.last_heard_at > kAgentSilenceTimeout) {
      silent_agents.push_back(engine.agent);
    }
  }
  for (const VmName& agent : silent_agents) {
    OnPeerDown(agent);
    const RegisteredUpstream* upstream =
        m_board->upstreams.Find(FindEngine(agent));
    if (upstream == nullptr) continue;
    m_peers->Connect(
        agent, agent.Value() + ":" + std::to_string(m_options.agent_port));
  }
}

void Reservations::OnPeerUp(const Hello& peer) {
  m_placement.RecordZone(peer.zone, peer.region);
  for (auto& [name, engine] : m_engines) {
    if (engine.agent != peer.vm) continue;
    engine.agent_connected = true;
    m_board->upstreams.Confirm(name);
    engine.last_heard_at = m_board->clock->Now();
    m_placement.Outlook(name).ClearReservations();
  }
  m_board->log->Write("agent_up", {{"agent", peer.vm.Value()}});
}

void Reservations::OnPeerDown(const VmName& vm) {
  NoticeStandstill();
  m_pool_rates.OnAgentDown(vm);
  bool was_connected = false;
  for (auto& [name, engine] : m_engines) {
    if (engine.agent != vm) continue;
    was_connected = was_connected || engine.agent_connected;
    // After a standstill, its last message may be an old one.
    const TimePoint now = m_board->clock->Now();
    const bool stood_still =
        m_ran_again_at != TimePoint() && now - m_ran_again_at <= kLateReport;
    const bool was_silent =
        stood_still || now - engine.last_heard_at > kLateReport;
    if (engine.agent_connected && was_silent) m_board->upstreams.Doubt(name);
    engine.agent_connected = false;
    for (auto& [attempt, active] : m_active_reservations) {
      if (!active.is_granted) active.asked.erase(name);
    }
  }
  if (was_connected) m_board->log->Write("agent_down", {{"agent", vm.Value()}});
}

}  // namespace burdockhill

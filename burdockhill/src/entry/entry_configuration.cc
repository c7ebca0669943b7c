#include "burdockhill/src/entry/entry_configuration.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

constexpr Duration kMinWatchBackoff = std::chrono::milliseconds(200);
constexpr Duration kMaxWatchBackoff = std::chrono::seconds(5);
constexpr Duration kReportInterval = std::chrono::seconds(1);
// Contents kept besides the one in force; the oldest are dropped.
constexpr size_t kMaxContents = 4;

}  // namespace

void EntryConfiguration::OnPeerUp(const Hello& peer) {
  if (peer.role == Role::kAgent) OfferTo(peer.vm);
  if (peer.role == Role::kEntry) {
    m_peers->Send(peer.vm, FullOffer());
  }
}

ConfigurationOffer EntryConfiguration::FullOffer() const {
  ConfigurationOffer offer{m_board->in_force, true, {}};
  if (m_board->in_force_content != nullptr) {
    offer.content = m_board->in_force_content->Text();
  }
  return offer;
}

void EntryConfiguration::OnOffer(const VmName& from,
                                 const ConfigurationOffer& offer) {
  if (offer.generation < m_board->in_force) {
    // The peer is behind.
    m_peers->Send(from, FullOffer());
    return;
  }
  if (!offer.accepted || offer.generation <= m_board->in_force) return;
  if (!offer.content.empty() && !m_contents.contains(offer.generation)) {
    const auto content = ConfigurationContent::Parse(offer.content);
    if (content == nullptr) return;
    m_contents[offer.generation] = content;
  }
  m_accepted = std::max(m_accepted, offer.generation);
  PutInForce(m_accepted);
}

void EntryConfiguration::OnLoadReport(const VmName& agent,
                                      const LoadReport& report) {
  const bool is_behind =
      report.in_force < m_board->in_force || report.staged < m_board->staged;
  if (is_behind) OfferTo(agent);
}

void EntryConfiguration::Tick() {
  if (!m_watching && m_board->now >= m_next_watch) WatchState();
  if (m_board->now < m_next_report) return;
  m_next_report = m_board->now + kReportInterval;
  ReportGenerations();
}

void EntryConfiguration::WatchState() {
  m_watching = true;
  m_store->Watch(
      {kConfigurationKind}, m_revision,
      [this](StoreStatus status, const std::vector<StoredObject>& changes,
             uint64_t revision) {
        m_watching = false;
        if (status == StoreStatus::kHistoryGone) {
          m_revision = 0;
          return;
        }
        if (status != StoreStatus::kOk) {
          m_watch_backoff = std::clamp(m_watch_backoff * 2, kMinWatchBackoff,
                                       kMaxWatchBackoff);
          m_next_watch =
              m_board->now + m_board->random->Jitter(m_watch_backoff);
          return;
        }
        m_watch_backoff = Duration(0);
        m_revision = std::max(m_revision, revision);
        for (const StoredObject& object : changes) {
          if (object.key != ConfigurationStateKey()) continue;
          const auto state = ParseState(object.value);
          if (state.has_value()) OnStateChanged(*state);
        }
      });
}

void EntryConfiguration::OnStateChanged(const ConfigurationStateObject& state) {
  m_board->coordinator = state.coordinator;
  m_accepted = std::max(m_accepted, state.accepted);
  for (const Generation generation : {state.accepted, state.staged}) {
    const bool needs_fetch =
        generation > m_board->in_force && !m_contents.contains(generation);
    if (needs_fetch) FetchContent(generation);
  }
  PutInForce(m_accepted);
}

void EntryConfiguration::FetchContent(Generation generation) {
  if (m_fetching[generation]) return;
  m_fetching[generation] = true;
  m_store->Get(
      ConfigurationContentKey(generation),
      [this, generation](StoreStatus status, const StoredObject& object) {
        m_fetching.erase(generation);
        if (status == StoreStatus::kOk) {
          StageContent(generation, object.value);
        } else {
          // Has the next watch return the state again, which repeats the
          // fetch.
          m_revision = 0;
        }
      });
}

void EntryConfiguration::StageContent(Generation generation,
                                      const std::string& text) {
  const auto content = ConfigurationContent::Parse(text);
  if (content == nullptr) return;
  m_contents[generation] = content;
  while (m_contents.size() > kMaxContents) m_contents.erase(m_contents.begin());
  if (generation > m_board->staged) {
    m_board->staged = generation;
    m_board->staged_content = content;
  }
  PutInForce(m_accepted);
  OfferToAgents();
  ReportGenerations();
}

void EntryConfiguration::PutInForce(Generation generation) {
  if (generation <= m_board->in_force) return;
  const auto found = m_contents.find(generation);
  if (found == m_contents.end()) return;
  m_board->in_force_content = found->second;
  m_board->configuration = found->second->Parsed();
  m_board->in_force = generation;
  m_board->staged = std::max(m_board->staged, generation);
  m_contents.erase(m_contents.begin(), m_contents.upper_bound(generation));
  OfferToAgents();
  ReportGenerations();
}

void EntryConfiguration::OfferToAgents() {
  for (const auto& [vm, view] : m_board->upstreams) {
    if (view.state == PeerState::kUp) OfferTo(vm);
  }
}

void EntryConfiguration::OfferTo(const VmName& agent) {
  if (m_board->in_force.IsValid()) {
    m_peers->Send(agent, ConfigurationOffer{
                             m_board->in_force, true,
                             m_board->in_force_content->TextForAgent(agent)});
  }
  if (m_board->staged > m_board->in_force) {
    m_peers->Send(agent, ConfigurationOffer{
                             m_board->staged, false,
                             m_board->staged_content->TextForAgent(agent)});
  }
}

void EntryConfiguration::ReportGenerations() {
  m_board->generations[m_board->self.vm] = {m_board->staged, m_board->in_force,
                                            m_board->now};
  if (!m_board->coordinator.has_value() ||
      *m_board->coordinator == m_board->self.vm) {
    return;
  }
  ConfigurationState report;
  report.vms.push_back({m_board->self.vm, m_board->staged, m_board->in_force});
  for (const auto& [vm, view] : m_board->upstreams) {
    if (view.state != PeerState::kUp || !view.report.has_value()) continue;
    report.vms.push_back({vm, view.report->staged, view.report->in_force});
  }
  m_peers->Send(*m_board->coordinator, std::move(report));
}

}  // namespace burdockhill

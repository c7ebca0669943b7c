#include "burdockhill/src/entry/configuration_coordinator.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(500);
// Time for all live VMs to stage a change before it is refused.
constexpr Duration kStagingTime = std::chrono::seconds(4);
// A VM not heard of for this long does not count as live.
constexpr Duration kLiveTime = std::chrono::seconds(4);
constexpr Duration kRolloutInterval = std::chrono::milliseconds(500);
constexpr size_t kMaxRefusals = 32;

std::vector<ResourceText> ToTexts(
    const std::map<ResourceKey, std::string>& resources) {
  std::vector<ResourceText> texts;
  for (const std::string_view kind : kResourceKinds) {
    for (const auto& [key, spec] : resources) {
      if (key.kind == kind) texts.push_back({key, spec});
    }
  }
  return texts;
}

size_t KindOrder(const std::string& kind) {
  const auto* found =
      std::find(std::begin(kResourceKinds), std::end(kResourceKinds), kind);
  return static_cast<size_t>(found - std::begin(kResourceKinds));
}

}  // namespace

void ConfigurationCoordinator::OnState(const VmName& /*from*/,
                                       const ConfigurationState& state) {
  for (const ConfigurationState::Vm& vm : state.vms) {
    VmGenerations& known = m_board->generations[vm.name];
    known.staged = std::max(known.staged, vm.staged);
    known.in_force = std::max(known.in_force, vm.in_force);
    known.last_heard = m_board->now;
  }
}

void ConfigurationCoordinator::Tick() {
  ConnectToCoordinator();
  m_lease.Tick();
  if (!m_lease.IsHeld()) return;
  if (m_lease.Term() != m_term) BeginTerm();
  if (!m_state_known) {
    if (!m_reading_state && m_board->now >= m_next_state_read) ReadState();
    return;
  }
  if (!m_accepted_known) return;
  if (!m_watching && m_board->now >= m_next_watch) WatchResources();
  const bool has_pending = m_listed && m_revision > m_state.decided_revision;
  if (m_stage == Stage::kIdle && has_pending) ProposeChange();
  if (m_stage == Stage::kCollecting) CheckCollected();
  UpdateRollout();
}

void ConfigurationCoordinator::BeginTerm() {
  m_term = m_lease.Term();
  m_state_known = false;
  m_accepted_known = false;
  m_listed = false;
  m_revision = 0;
  m_written.clear();
  m_stage = Stage::kIdle;
  m_watching = false;
  m_reading_state = false;
}

// ---- Reading the store ----

void ConfigurationCoordinator::ReadState() {
  m_reading_state = true;
  m_store->Get(ConfigurationStateKey(),
               InTerm([this](StoreStatus status, const StoredObject& object) {
                 OnStateRead(status, object);
               }));
}

void ConfigurationCoordinator::OnStateRead(StoreStatus status,
                                           const StoredObject& object) {
  m_reading_state = false;
  m_next_state_read = m_board->now + kStoreRetryDelay;
  if (status == StoreStatus::kUnavailable) return;
  m_state = {};
  m_state_version = 0;
  if (status == StoreStatus::kOk) {
    m_state = ParseState(object.value).value_or(ConfigurationStateObject());
    m_state_version = object.version;
  }
  m_state_known = true;
  m_last_generation = std::max(
      {m_last_generation, m_state.accepted.Value(), m_state.staged.Value()});
  if (!m_state.accepted.IsValid()) {
    m_accepted_known = true;
    return;
  }
  m_store->Get(ConfigurationContentKey(m_state.accepted),
               InTerm([this](StoreStatus got, const StoredObject& content) {
                 OnAcceptedRead(got, content);
               }));
}

void ConfigurationCoordinator::OnAcceptedRead(StoreStatus status,
                                              const StoredObject& content) {
  if (status != StoreStatus::kOk) {
    m_state_known = false;
    return;
  }
  m_accepted.clear();
  FieldErrors errors;
  for (ResourceText& text : ParseResourceFile(content.value, &errors)) {
    m_accepted[text.key] = std::move(text.spec);
  }
  m_accepted_known = true;
}

void ConfigurationCoordinator::WatchResources() {
  m_watching = true;
  const std::vector<std::string> kinds(std::begin(kResourceKinds),
                                       std::end(kResourceKinds));
  const uint64_t since = m_revision;
  m_store->Watch(kinds, since,
                 InTerm([this, since](StoreStatus status,
                                      const std::vector<StoredObject>& changes,
                                      uint64_t revision) {
                   m_watching = false;
                   if (status == StoreStatus::kOk) {
                     return OnResources(changes, since, revision);
                   }
                   m_next_watch =
                       m_board->now + m_board->random->Jitter(kStoreRetryDelay);
                 }));
}

void ConfigurationCoordinator::OnResources(
    const std::vector<StoredObject>& changes, uint64_t since,
    uint64_t revision) {
  const bool is_full_list = since == 0;
  if (is_full_list) {
    // In a full list, an accepted resource that is missing was deleted.
    m_written.clear();
    for (const auto& [key, spec] : m_accepted) {
      m_written[key] = {revision, {}, true};
    }
  }
  for (const StoredObject& object : changes) {
    m_written[object.key] = {object.version, object.value, object.deleted};
  }
  m_revision = std::max(m_revision, revision);
  m_listed = true;
  if (changes.empty() && !is_full_list && m_stage == Stage::kIdle) {
    // Only objects of other kinds have changed.
    m_state.decided_revision = std::max(m_state.decided_revision, m_revision);
  }
}

// ---- Deciding on a change ----

void ConfigurationCoordinator::ProposeChange() {
  m_change_revision = m_revision;
  m_refused.clear();
  const std::vector<ResourceText> texts = ApplyPending(&m_refused);
  if (m_proposed == m_accepted && m_state.accepted.IsValid()) {
    ConfigurationStateObject state = m_state;
    state.staged = Generation();
    state.coordinator = m_board->self.vm;
    state.decided_revision = m_change_revision;
    state.refused = m_refused;
    const bool is_news = !m_refused.empty() || m_state.staged.IsValid() ||
                         m_state.coordinator != m_board->self.vm;
    if (is_news) return WriteState(state, Stage::kIdle);
    m_state.decided_revision = m_change_revision;
    return;
  }
  const std::string content = ComposeConfiguration(texts);
  if (content.size() > kMaxObjectBytes) {
    return RefuseChange("the configuration would exceed 1 MB");
  }
  Publish(content);
}

std::vector<ResourceText> ConfigurationCoordinator::ApplyPending(
    std::vector<RefusedChange>* refused) {
  std::vector<std::pair<ResourceKey, Written>> pending;
  for (const auto& [key, written] : m_written) {
    if (written.version > m_state.decided_revision) {
      pending.emplace_back(key, written);
    }
  }
  // Writes in the order of kinds, then deletions in the reverse order, so that
  // no intermediate configuration has a dangling reference.
  std::stable_sort(
      pending.begin(), pending.end(), [](const auto& a, const auto& b) {
        const auto order = [](const auto& item) {
          const auto place = static_cast<int64_t>(KindOrder(item.first.kind));
          return item.second.deleted ? 1000 - place : place;
        };
        return order(a) < order(b);
      });
  const auto apply = [](const auto& item,
                        std::map<ResourceKey, std::string>* resources) {
    if (item.second.deleted) {
      resources->erase(item.first);
    } else {
      (*resources)[item.first] = item.second.spec;
    }
  };
  // Applies all writes at once; if the result is invalid, one at a time,
  // leaving out those that make it invalid.
  m_proposed = m_accepted;
  for (const auto& item : pending) apply(item, &m_proposed);
  FieldErrors errors;
  if (ParseConfiguration(ComposeConfiguration(ToTexts(m_proposed)), &errors)) {
    return ToTexts(m_proposed);
  }
  m_proposed = m_accepted;
  for (const auto& item : pending) {
    std::map<ResourceKey, std::string> next = m_proposed;
    apply(item, &next);
    errors.clear();
    if (ParseConfiguration(ComposeConfiguration(ToTexts(next)), &errors)) {
      m_proposed = std::move(next);
      continue;
    }
    refused->push_back({item.first, item.second.version,
                        errors.front().path + ": " + errors.front().message});
  }
  if (refused->size() > kMaxRefusals) refused->resize(kMaxRefusals);
  return ToTexts(m_proposed);
}

void ConfigurationCoordinator::Publish(const std::string& content) {
  m_stage = Stage::kPublishing;
  const Generation generation(++m_last_generation);
  m_store->Put(
      ConfigurationContentKey(generation), content, 0,
      InTerm([this, generation](StoreStatus status, uint64_t /*version*/) {
        if (m_stage != Stage::kPublishing) return;
        if (status != StoreStatus::kOk) {
          // Another coordinator has used this generation, or the outcome is
          // unknown: the next attempt uses a new generation.
          m_stage = Stage::kIdle;
          if (status == StoreStatus::kConflict) m_state_known = false;
          return;
        }
        ConfigurationStateObject state = m_state;
        state.staged = generation;
        state.coordinator = m_board->self.vm;
        m_stage_deadline = m_board->now + kStagingTime;
        WriteState(state, Stage::kCollecting);
      }));
}

void ConfigurationCoordinator::CheckCollected() {
  const std::vector<VmName> missing = LiveVmsWithout(m_state.staged, false);
  if (missing.empty()) return Accept();
  if (m_board->now < m_stage_deadline) return;
  std::string names;
  for (const VmName& vm : missing) names += " " + vm.Value();
  RefuseChange("not staged in time by:" + names);
}

std::vector<VmName> ConfigurationCoordinator::LiveVmsWithout(
    Generation generation, bool in_force) const {
  std::vector<VmName> missing;
  for (const auto& [vm, known] : m_board->generations) {
    if (m_board->now - known.last_heard > kLiveTime) continue;
    const Generation has = in_force ? known.in_force : known.staged;
    if (has < generation) missing.push_back(vm);
  }
  return missing;
}

void ConfigurationCoordinator::Accept() {
  ConfigurationStateObject state = m_state;
  state.accepted = state.staged;
  state.staged = Generation();
  state.decided_revision = m_change_revision;
  state.refused = m_refused;
  WriteState(state, Stage::kIdle);
}

void ConfigurationCoordinator::RefuseChange(const std::string& reason) {
  ConfigurationStateObject state = m_state;
  state.staged = Generation();
  state.coordinator = m_board->self.vm;
  state.refused = m_refused;
  for (const auto& [key, written] : m_written) {
    if (written.version > m_state.decided_revision &&
        state.refused.size() < kMaxRefusals) {
      state.refused.push_back({key, written.version, reason});
    }
  }
  state.decided_revision = m_change_revision;
  m_proposed = m_accepted;
  WriteState(state, Stage::kIdle);
}

void ConfigurationCoordinator::WriteState(const ConfigurationStateObject& state,
                                          Stage next) {
  m_stage = Stage::kAccepting;
  const std::string text = FormatState(state);
  m_store->Put(
      ConfigurationStateKey(), text, m_state_version,
      InTerm([this, state, next](StoreStatus status, uint64_t version) {
        if (status != StoreStatus::kOk) {
          // Reads the state again to see whether the write took effect.
          m_stage = Stage::kIdle;
          m_state_known = false;
          m_accepted_known = false;
          return;
        }
        const Generation before = m_state.accepted;
        if (state.accepted != before) {
          m_accepted = m_proposed;
          if (before.IsValid()) {
            m_store->Delete(ConfigurationContentKey(before), 0,
                            [](StoreStatus, uint64_t) {});
          }
        }
        m_state = state;
        m_state_version = version;
        m_stage = next;
      }));
}

// ---- Connection and rollout status ----

// Entries report their generations to the coordinator over this connection.
void ConfigurationCoordinator::ConnectToCoordinator() {
  if (!m_board->coordinator.has_value()) return;
  const std::string& name = m_board->coordinator->Value();
  if (name == m_connected_to) return;
  if (!m_connected_to.empty()) m_peers->Disconnect(VmName(m_connected_to));
  m_connected_to.clear();
  if (*m_board->coordinator == m_board->self.vm) return;
  for (const ListedVm& vm : m_board->listed_vms) {
    if (vm.name != *m_board->coordinator) continue;
    m_peers->Connect(vm.name, vm.peer_address);
    m_connected_to = name;
  }
}

void ConfigurationCoordinator::UpdateRollout() {
  if (m_rollout_busy || m_board->now < m_next_rollout) return;
  m_next_rollout = m_board->now + kRolloutInterval;
  RolloutObject rollout;
  rollout.generation = m_state.accepted;
  rollout.behind = LiveVmsWithout(m_state.accepted, true);
  for (const auto& [vm, known] : m_board->generations) {
    if (m_board->now - known.last_heard <= kLiveTime) ++rollout.known;
  }
  rollout.in_force =
      rollout.known - static_cast<int64_t>(rollout.behind.size());
  const std::string text = FormatRollout(rollout);
  if (text == m_rollout_text) return;
  m_rollout_busy = true;
  m_store->Put(RolloutKey(), text, m_rollout_version,
               [this, text](StoreStatus status, uint64_t version) {
                 m_rollout_busy = false;
                 if (status == StoreStatus::kOk) {
                   m_rollout_text = text;
                   m_rollout_version = version;
                   return;
                 }
                 m_store->Get(RolloutKey(), [this](StoreStatus got,
                                                   const StoredObject& object) {
                   if (got == StoreStatus::kOk) {
                     m_rollout_version = object.version;
                   }
                   if (got == StoreStatus::kNotFound) m_rollout_version = 0;
                 });
               });
}

}  // namespace burdockhill

#include "burdockhill/src/entry/configuration_coordinator.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(500);
// Time for all live VMs to stage a change before it is refused.
constexpr Duration kStagingTimeout = std::chrono::seconds(4);
// A VM not heard of for this long does not count as live.
constexpr Duration kLivenessTimeout = std::chrono::seconds(4);
constexpr Duration kRolloutInterval = std::chrono::milliseconds(500);
constexpr size_t kMaxRefusedChanges = 32;

std::vector<ResourceText> ToResourceTexts(
    const std::map<ResourceKey, std::string>& resources) {
  std::vector<ResourceText> texts;
  for (const std::string_view kind : kResourceKinds) {
    for (const auto& [key, spec] : resources) {
      if (key.kind == kind) texts.push_back({key, spec});
    }
  }
  return texts;
}

size_t KindIndex(const std::string& kind) {
  const auto* found =
      std::find(std::begin(kResourceKinds), std::end(kResourceKinds), kind);
  return static_cast<size_t>(found - std::begin(kResourceKinds));
}

}  // namespace

void ConfigurationCoordinator::OnConfigurationState(
    const VmName& /*from*/, const ConfigurationState& state) {
  for (const ConfigurationState::Vm& vm : state.vms) {
    VmGenerations& reported = m_board->generations[vm.name];
    reported.staged = std::max(reported.staged, vm.staged);
    reported.in_force = std::max(reported.in_force, vm.in_force);
    reported.last_heard = m_board->now;
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
  const bool has_undecided_writes =
      m_has_full_list && m_revision > m_state.decided_revision;
  const bool has_lost_acceptance = m_has_full_list && IsAcceptedOvertaken();
  if (m_phase == Phase::kIdle &&
      (has_undecided_writes || has_lost_acceptance)) {
    ProposeChange();
  }
  if (m_phase == Phase::kAwaitingStaged) CheckStaged();
  UpdateRollout();
}

void ConfigurationCoordinator::ForgetStore() {
  ++m_session;
  m_watching = false;
  m_reading_state = false;
  m_rollout_text.clear();
  m_state_known = false;
  m_accepted_known = false;
  m_has_full_list = false;
  m_revision = 0;
  m_writes.clear();
  m_phase = Phase::kIdle;
}

void ConfigurationCoordinator::BeginTerm() {
  m_term = m_lease.Term();
  ForgetStore();
}

// ---- Reading the store ----

void ConfigurationCoordinator::ReadState() {
  m_reading_state = true;
  m_store->Get(
      ConfigurationStateKey(),
      BindToSession([this](StoreStatus status, const StoredObject& object) {
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
  m_store->Get(
      ConfigurationContentKey(m_state.accepted),
      BindToSession([this](StoreStatus result, const StoredObject& content) {
        OnAcceptedRead(result, content);
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
  m_accepted_version = content.version;
  m_accepted_known = true;
}

void ConfigurationCoordinator::WatchResources() {
  m_watching = true;
  const std::vector<std::string> kinds(std::begin(kResourceKinds),
                                       std::end(kResourceKinds));
  const uint64_t since = m_revision;
  m_store->Watch(
      kinds, since,
      BindToSession([this, since](StoreStatus status,
                                  const std::vector<StoredObject>& changes,
                                  uint64_t revision) {
        m_watching = false;
        if (status == StoreStatus::kOk) {
          return OnResources(changes, since, revision);
        }
        if (status == StoreStatus::kHistoryGone) return ForgetStore();
        m_next_watch = m_board->now + m_board->random->Jitter(kStoreRetryDelay);
      }));
}

void ConfigurationCoordinator::OnResources(
    const std::vector<StoredObject>& changes, uint64_t since,
    uint64_t revision) {
  const bool is_full_list = since == 0;
  if (is_full_list) {
    // In a full list, an accepted resource that is missing was deleted.
    m_writes.clear();
    for (const auto& [key, spec] : m_accepted) {
      m_writes[key] = {revision, {}, true};
    }
  }
  for (const StoredObject& object : changes) {
    m_writes[object.key] = {object.version, object.value, object.deleted};
  }
  m_revision = std::max(m_revision, revision);
  m_has_full_list = true;
  if (changes.empty() && !is_full_list && m_phase == Phase::kIdle) {
    // Only objects of other kinds have changed.
    m_state.decided_revision = std::max(m_state.decided_revision, m_revision);
  }
}

// ---- Deciding on a change ----

void ConfigurationCoordinator::ProposeChange() {
  m_change_revision = m_revision;
  m_refused.clear();
  const std::vector<ResourceText> texts = ApplyUndecidedWrites(&m_refused);
  if (m_proposed == m_accepted && m_state.accepted.IsValid() &&
      !IsAcceptedOvertaken()) {
    ConfigurationStateObject state = m_state;
    state.staged = Generation();
    state.coordinator = m_board->self.vm;
    state.decided_revision = m_change_revision;
    state.refused = m_refused;
    const bool needs_write = !m_refused.empty() || m_state.staged.IsValid() ||
                             m_state.coordinator != m_board->self.vm;
    if (needs_write) return WriteState(state, Phase::kIdle);
    m_state.decided_revision = m_change_revision;
    return;
  }
  const std::string content = ComposeConfiguration(texts);
  if (content.size() > kMaxObjectBytes) {
    return RefuseChange("the configuration would exceed 1 MB");
  }
  Publish(content);
}

std::vector<ResourceText> ConfigurationCoordinator::ApplyUndecidedWrites(
    std::vector<RefusedChange>* refused) {
  std::vector<std::pair<ResourceKey, ResourceWrite>> undecided;
  for (const auto& [key, write] : m_writes) {
    if (write.version > m_state.decided_revision) {
      undecided.emplace_back(key, write);
    }
  }
  // Writes in the order of kinds, then deletions in the reverse order, so that
  // no intermediate configuration has a dangling reference.
  std::stable_sort(
      undecided.begin(), undecided.end(), [](const auto& a, const auto& b) {
        const auto order = [](const auto& item) {
          const auto index = static_cast<int64_t>(KindIndex(item.first.kind));
          return item.second.deleted ? 1000 - index : index;
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
  for (const auto& item : undecided) apply(item, &m_proposed);
  FieldErrors errors;
  if (ParseConfiguration(ComposeConfiguration(ToResourceTexts(m_proposed)),
                         &errors)) {
    return ToResourceTexts(m_proposed);
  }
  m_proposed = m_accepted;
  for (const auto& item : undecided) {
    std::map<ResourceKey, std::string> next = m_proposed;
    apply(item, &next);
    errors.clear();
    if (ParseConfiguration(ComposeConfiguration(ToResourceTexts(next)),
                           &errors)) {
      m_proposed = std::move(next);
      continue;
    }
    refused->push_back({item.first, item.second.version,
                        errors.front().path + ": " + errors.front().message});
  }
  if (refused->size() > kMaxRefusedChanges) refused->resize(kMaxRefusedChanges);
  return ToResourceTexts(m_proposed);
}

void ConfigurationCoordinator::Publish(const std::string& content) {
  m_phase = Phase::kPublishing;
  const Generation generation = NextGeneration();
  m_store->Put(
      ConfigurationContentKey(generation), content, 0,
      BindToSession([this, generation](StoreStatus status, uint64_t version) {
        if (m_phase != Phase::kPublishing) return;
        if (status != StoreStatus::kOk) {
          // Another coordinator has used this generation, or the
          // outcome is unknown: the next attempt uses a new
          // generation.
          m_phase = Phase::kIdle;
          if (status == StoreStatus::kConflict) m_state_known = false;
          return;
        }
        m_staged_version = version;
        ConfigurationStateObject state = m_state;
        state.staged = generation;
        state.coordinator = m_board->self.vm;
        m_staging_deadline = m_board->now + kStagingTimeout;
        WriteState(state, Phase::kAwaitingStaged);
      }));
}

bool ConfigurationCoordinator::IsAcceptedOvertaken() const {
  return std::any_of(m_board->generations.begin(), m_board->generations.end(),
                     [this](const auto& item) {
                       const VmGenerations& reported = item.second;
                       return reported.in_force > m_state.accepted &&
                              m_board->now - reported.last_heard <=
                                  kLivenessTimeout;
                     });
}

Generation ConfigurationCoordinator::NextGeneration() {
  uint64_t highest = std::max(m_last_generation, m_board->in_force.Value());
  for (const auto& [vm, reported] : m_board->generations) {
    highest =
        std::max({highest, reported.staged.Value(), reported.in_force.Value()});
  }
  m_last_generation = highest + 1;
  return Generation(m_last_generation);
}

void ConfigurationCoordinator::CheckStaged() {
  const std::vector<VmName> missing = FindLiveVmsBehind(m_state.staged, false);
  if (missing.empty()) return AcceptStaged();
  if (m_board->now < m_staging_deadline) return;
  std::string names;
  for (const VmName& vm : missing) names += " " + vm.Value();
  RefuseChange("not staged in time by:" + names);
}

std::vector<VmName> ConfigurationCoordinator::FindLiveVmsBehind(
    Generation generation, bool compare_in_force) const {
  std::vector<VmName> missing;
  for (const auto& [vm, reported] : m_board->generations) {
    if (m_board->now - reported.last_heard > kLivenessTimeout) continue;
    const Generation reached =
        compare_in_force ? reported.in_force : reported.staged;
    if (reached < generation) missing.push_back(vm);
  }
  return missing;
}

void ConfigurationCoordinator::AcceptStaged() {
  ConfigurationStateObject state = m_state;
  state.accepted = state.staged;
  state.staged = Generation();
  state.decided_revision = m_change_revision;
  state.refused = m_refused;
  WriteState(state, Phase::kIdle);
}

void ConfigurationCoordinator::RefuseChange(const std::string& reason) {
  ConfigurationStateObject state = m_state;
  state.staged = Generation();
  state.coordinator = m_board->self.vm;
  state.refused = m_refused;
  for (const auto& [key, write] : m_writes) {
    if (write.version > m_state.decided_revision &&
        state.refused.size() < kMaxRefusedChanges) {
      state.refused.push_back({key, write.version, reason});
    }
  }
  state.decided_revision = m_change_revision;
  m_proposed = m_accepted;
  WriteState(state, Phase::kIdle);
}

void ConfigurationCoordinator::WriteState(const ConfigurationStateObject& state,
                                          Phase next_phase) {
  m_phase = Phase::kWritingState;
  const std::string text = FormatState(state);
  m_store->Put(ConfigurationStateKey(), text, m_state_version,
               BindToSession([this, state, next_phase](StoreStatus status,
                                                       uint64_t version) {
                 if (status != StoreStatus::kOk) {
                   // Reads the state again to see whether the write took
                   // effect.
                   m_phase = Phase::kIdle;
                   m_state_known = false;
                   m_accepted_known = false;
                   return;
                 }
                 const Generation before = m_state.accepted;
                 if (state.accepted != before) {
                   m_accepted = m_proposed;
                   // With its version: a store that was restored meanwhile may
                   // name this generation as the accepted one.
                   if (before.IsValid()) {
                     m_store->Delete(ConfigurationContentKey(before),
                                     m_accepted_version,
                                     [](StoreStatus, uint64_t) {});
                   }
                   m_accepted_version = m_staged_version;
                 }
                 m_state = state;
                 m_state_version = version;
                 m_phase = next_phase;
               }));
}

// ---- Connection and rollout status ----

// Entries report their generations to the coordinator over this connection.
void ConfigurationCoordinator::ConnectToCoordinator() {
  if (!m_board->coordinator.has_value()) return;
  const std::string& name = m_board->coordinator->Value();
  if (name == m_connected_vm) return;
  if (!m_connected_vm.empty()) m_peers->Disconnect(VmName(m_connected_vm));
  m_connected_vm.clear();
  if (*m_board->coordinator == m_board->self.vm) return;
  for (const ListedVm& vm : m_board->listed_vms) {
    if (vm.name != *m_board->coordinator) continue;
    m_peers->Connect(vm.name, vm.peer_address);
    m_connected_vm = name;
  }
}

void ConfigurationCoordinator::UpdateRollout() {
  if (m_rollout_write_pending || m_board->now < m_next_rollout_update) return;
  m_next_rollout_update = m_board->now + kRolloutInterval;
  RolloutObject rollout;
  rollout.generation = m_state.accepted;
  rollout.behind = FindLiveVmsBehind(m_state.accepted, true);
  for (const auto& [vm, reported] : m_board->generations) {
    if (m_board->now - reported.last_heard <= kLivenessTimeout) ++rollout.known;
  }
  rollout.in_force =
      rollout.known - static_cast<int64_t>(rollout.behind.size());
  const std::string text = FormatRollout(rollout);
  if (text == m_rollout_text) return;
  m_rollout_write_pending = true;
  m_store->Put(RolloutKey(), text, m_rollout_version,
               [this, text](StoreStatus status, uint64_t version) {
                 m_rollout_write_pending = false;
                 if (status == StoreStatus::kOk) {
                   m_rollout_text = text;
                   m_rollout_version = version;
                   return;
                 }
                 m_store->Get(RolloutKey(), [this](StoreStatus result,
                                                   const StoredObject& object) {
                   if (result == StoreStatus::kOk) {
                     m_rollout_version = object.version;
                   }
                   if (result == StoreStatus::kNotFound) m_rollout_version = 0;
                 });
               });
}

}  // namespace burdockhill

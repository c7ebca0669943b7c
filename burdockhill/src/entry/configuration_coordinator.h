#ifndef BURDOCKHILL_SRC_ENTRY_CONFIGURATION_COORDINATOR_H_
#define BURDOCKHILL_SRC_ENTRY_CONFIGURATION_COORDINATOR_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "burdockhill/src/entry/configuration_lease.h"
#include "burdockhill/src/entry/configuration_state.h"
#include "burdockhill/src/entry/entry_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Turns operators' writes to resources into generations of the configuration.
// One entry at a time coordinates, under a lease in the store. Safety does not
// depend on the lease: a generation is accepted by one conditional update of
// Configuration/state, so the store rejects updates of a former holder that is
// still active.
//
// A change is first published as staged. It is accepted once every live VM has
// staged it. If that takes too long it is refused, and the reason names the VMs
// that are missing. A resource that fails validation is refused, and its last
// accepted version stays.
class ConfigurationCoordinator {
 public:
  ConfigurationCoordinator(EntryBlackboard* board, PeerLink* peers,
                           ObjectStore* store)
      : m_board(board), m_peers(peers), m_store(store), m_lease(board, store) {}

  // Records the generations that an entry reports of itself and its agents.
  void OnConfigurationState(const VmName& from,
                            const ConfigurationState& state);
  void Tick();

  bool HoldsLease() const { return m_lease.IsHeld(); }

 private:
  enum class Phase { kIdle, kPublishing, kAwaitingStaged, kWritingState };

  // The latest version of a resource in the store.
  struct ResourceWrite {
    uint64_t version = 0;
    std::string spec;
    bool deleted = false;
  };

  // Wraps a store callback so that it does nothing once ForgetStore was called:
  // an answer to a call of an earlier lease term, or from before the store was
  // restored, may be out of date.
  template <typename Callback>
  auto BindToSession(Callback callback) {
    return [this, session = m_session,
            callback = std::move(callback)](const auto&... arguments) {
      if (session == m_session) callback(arguments...);
    };
  }

  void BeginTerm();
  // Discards what was read from the store, in an earlier lease term or before
  // the store was restored, and the answers that are still to come.
  void ForgetStore();
  // Whether a live VM has a later generation in force than the store names as
  // accepted: the store was restored, and the acceptance is lost.
  bool IsAcceptedOvertaken() const;
  // A generation that no entry has in force or staged, also if the store has
  // lost them.
  Generation NextGeneration();

  // Reading the store.
  void WatchResources();
  void OnResources(const std::vector<StoredObject>& changes, uint64_t since,
                   uint64_t revision);
  void ReadState();
  void OnStateRead(StoreStatus status, const StoredObject& object);
  void OnAcceptedRead(StoreStatus status, const StoredObject& content);

  // Deciding on a change.
  void ProposeChange();
  // Sets m_proposed to the accepted resources with the undecided writes
  // applied, and returns it. Writes that fail validation are left out and added
  // to `refused`.
  std::vector<ResourceText> ApplyUndecidedWrites(
      std::vector<RefusedChange>* refused);
  void Publish(const std::string& content);
  // Accepts the staged generation once all live VMs have it, or refuses it at
  // the deadline.
  void CheckStaged();
  // Live VMs that have not staged `generation`; with `compare_in_force`, those
  // that do not have it in force.
  std::vector<VmName> FindLiveVmsBehind(Generation generation,
                                        bool compare_in_force) const;
  // Writes the state with the staged generation as the accepted one.
  void AcceptStaged();
  // Refuses all undecided writes for `reason`.
  void RefuseChange(const std::string& reason);
  // Writes Configuration/state and then enters `next_phase`. After a failed
  // write the state is read again.
  void WriteState(const ConfigurationStateObject& state, Phase next_phase);

  void ConnectToCoordinator();
  // Publishes the progress of the rollout for operators.
  void UpdateRollout();

  EntryBlackboard* m_board;
  PeerLink* m_peers;
  ObjectStore* m_store;

  ConfigurationLease m_lease;
  uint64_t m_term = 0;     // Lease term that the members below belong to.
  uint64_t m_session = 0;  // Counts calls of ForgetStore.

  bool m_watching = false;  // A watch call is pending.
  TimePoint m_next_watch{};
  uint64_t m_revision = 0;  // Store revision seen so far.
  bool m_has_full_list = false;
  std::map<ResourceKey, ResourceWrite> m_writes;

  bool m_state_known = false;
  bool m_reading_state = false;
  TimePoint m_next_state_read{};
  uint64_t m_state_version = 0;  // Store version of Configuration/state.
  ConfigurationStateObject m_state;
  // Specs of the accepted generation; the base of the next change.
  std::map<ResourceKey, std::string> m_accepted;
  bool m_accepted_known = false;
  // Store versions of the contents of the accepted and the staged generation.
  uint64_t m_accepted_version = 0;
  uint64_t m_staged_version = 0;
  uint64_t m_last_generation = 0;  // Highest one used, also in earlier terms.

  Phase m_phase = Phase::kIdle;
  TimePoint m_staging_deadline{};
  uint64_t m_change_revision = 0;  // The change includes writes up to this.
  std::map<ResourceKey, std::string> m_proposed;
  std::vector<RefusedChange> m_refused;

  std::string m_connected_vm;  // The coordinator connected to; may be empty.
  std::string m_rollout_text;  // As last written.
  uint64_t m_rollout_version = 0;
  bool m_rollout_write_pending = false;
  TimePoint m_next_rollout_update{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_CONFIGURATION_COORDINATOR_H_

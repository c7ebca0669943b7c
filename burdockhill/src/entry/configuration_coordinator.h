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

// Turns operators' writes into configurations. One entry at a time does this,
// under a lease in the store. Safety does not rest on the lease: a generation
// becomes accepted by one conditional update of Configuration/state, so a
// former holder that still acts has its updates refused.
//
// A change is first published as staged; it is accepted once every VM that was
// heard of lately has staged it, and refused, with the names of those missing,
// if that takes too long. A resource that does not pass the checks is refused
// and the one accepted before it stays.
class ConfigurationCoordinator {
 public:
  ConfigurationCoordinator(EntryBlackboard* board, PeerLink* peers,
                           ObjectStore* store)
      : m_board(board), m_peers(peers), m_store(store), m_lease(board, store) {}

  void OnState(const VmName& from, const ConfigurationState& state);
  void Step();

  bool IsHolder() const { return m_lease.IsHeld(); }

 private:
  enum class Stage { kIdle, kPublishing, kCollecting, kAccepting };

  // A resource as operators last wrote it.
  struct Written {
    uint64_t version = 0;
    std::string spec;
    bool deleted = false;
  };

  // Wraps a callback of the store so that it does nothing in a later term. What
  // was asked in an earlier term says nothing about the state of this one.
  template <typename Callback>
  auto InTerm(Callback callback) {
    return [this, term = m_term,
            callback = std::move(callback)](const auto&... arguments) {
      if (term == m_term) callback(arguments...);
    };
  }

  // Forgets what an earlier term knew.
  void BeginTerm();

  // Operators' writes.
  void WatchResources();
  void OnResources(const std::vector<StoredObject>& changes, uint64_t since,
                   uint64_t revision);
  void ReadState();
  void OnStateRead(StoreStatus status, const StoredObject& object);
  void OnAcceptedRead(StoreStatus status, const StoredObject& content);

  // One change.
  void ProposeChange();
  std::vector<ResourceText> ApplyPending(std::vector<RefusedChange>* refused);
  void Publish(const std::string& content);
  void CheckCollected();
  std::vector<VmName> LiveVmsWithout(Generation generation,
                                     bool in_force) const;
  void Accept();
  void RefuseChange(const std::string& reason);
  void WriteState(const ConfigurationStateObject& state, Stage next);

  void ConnectToCoordinator();
  void UpdateRollout();

  EntryBlackboard* m_board;
  PeerLink* m_peers;
  ObjectStore* m_store;

  ConfigurationLease m_lease;
  uint64_t m_term = 0;  // Of the lease, to which the rest belongs.

  bool m_watching = false;
  TimePoint m_next_watch{};
  uint64_t m_revision = 0;
  bool m_listed = false;
  std::map<ResourceKey, Written> m_written;

  bool m_state_known = false;
  bool m_reading_state = false;
  TimePoint m_next_state_read{};
  uint64_t m_state_version = 0;
  ConfigurationStateObject m_state;
  // What is in force, by resource; the base of the next change.
  std::map<ResourceKey, std::string> m_accepted;
  bool m_accepted_known = false;
  uint64_t m_last_generation = 0;

  Stage m_stage = Stage::kIdle;
  TimePoint m_stage_deadline{};
  uint64_t m_change_revision = 0;
  std::map<ResourceKey, std::string> m_proposed;
  std::vector<RefusedChange> m_refused;

  std::string m_connected_to;
  std::string m_rollout_text;
  uint64_t m_rollout_version = 0;
  bool m_rollout_busy = false;
  TimePoint m_next_rollout{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_CONFIGURATION_COORDINATOR_H_

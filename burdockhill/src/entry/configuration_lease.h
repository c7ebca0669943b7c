#ifndef BURDOCKHILL_SRC_ENTRY_CONFIGURATION_LEASE_H_
#define BURDOCKHILL_SRC_ENTRY_CONFIGURATION_LEASE_H_

#include "burdockhill/src/entry/configuration_state.h"
#include "burdockhill/src/entry/entry_blackboard.h"

namespace burdockhill {

// The lease in the store that says which entry coordinates configurations. It
// is renewed by its holder and taken over when its object has not changed for
// a while by the clock of the VM that watches it, so clocks need not agree. It
// saves work; safety must not rest on it.
class ConfigurationLease {
 public:
  ConfigurationLease(EntryBlackboard* board, ObjectStore* store)
      : m_board(board), m_store(store) {}

  // Renews, watches or takes the lease when that is due.
  void Step();

  // Whether this process may act as the holder now.
  bool IsHeld() const { return m_held; }

  // Grows each time that this process becomes the holder.
  uint64_t Term() const { return m_term; }

 private:
  bool IsCandidate() const;
  void Read();
  void OnRead(StoreStatus status, const StoredObject& object,
              TimePoint asked_at);
  void Write(uint64_t expected_version, uint64_t beat);
  void Hold(const LeaseObject& lease, uint64_t version, TimePoint asked_at);
  void Lose();

  EntryBlackboard* m_board;
  ObjectStore* m_store;
  bool m_held = false;
  uint64_t m_term = 0;
  bool m_busy = false;
  uint64_t m_version = 0;  // Of the object, as last seen.
  LeaseObject m_lease;
  TimePoint m_seen_at{};       // When the object was last seen to change.
  TimePoint m_confirmed_at{};  // When the renewal that counts was asked for.
  TimePoint m_next_check{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_CONFIGURATION_LEASE_H_

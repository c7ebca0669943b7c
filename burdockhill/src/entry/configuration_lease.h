#ifndef BURDOCKHILL_SRC_ENTRY_CONFIGURATION_LEASE_H_
#define BURDOCKHILL_SRC_ENTRY_CONFIGURATION_LEASE_H_

#include "burdockhill/src/entry/configuration_state.h"
#include "burdockhill/src/entry/entry_blackboard.h"

namespace burdockhill {

// The lease in the store that names the entry which coordinates configurations.
// The holder renews it; another entry takes it over when the object has not
// changed for a while by that entry's own clock, so clocks need not be
// synchronized. It avoids duplicate work; safety must not depend on it.
class ConfigurationLease {
 public:
  ConfigurationLease(EntryBlackboard* board, ObjectStore* store)
      : m_board(board), m_store(store) {}

  // Renews the lease if held, else reads it and takes it over once it expired.
  void Tick();

  // Whether this process may act as the holder now.
  bool IsHeld() const { return m_held; }

  // Incremented each time that this process becomes the holder.
  uint64_t Term() const { return m_term; }

 private:
  // Whether this entry competes for the lease: it is one of the first by name
  // on the VM list and not leaving.
  bool IsCandidate() const;
  // Reads the lease from the store.
  void Read();
  void OnRead(StoreStatus status, const StoredObject& object,
              TimePoint requested_at);
  void Write(uint64_t expected_version, uint64_t beat);
  void ConfirmHeld(const LeaseObject& lease, uint64_t version,
                   TimePoint requested_at);
  void MarkLost();

  EntryBlackboard* m_board;
  ObjectStore* m_store;
  bool m_held = false;
  uint64_t m_term = 0;
  bool m_call_pending = false;
  uint64_t m_version = 0;  // Version of the lease object, as last seen.
  LeaseObject m_lease;
  // Last observed change of the object, or loss of the own lease.
  TimePoint m_changed_at{};
  TimePoint m_renewed_at{};  // Start of the last confirmed renewal.
  TimePoint m_next_check{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_CONFIGURATION_LEASE_H_

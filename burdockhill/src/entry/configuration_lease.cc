#include "burdockhill/src/entry/configuration_lease.h"

namespace burdockhill {

namespace {

constexpr Duration kRenewInterval = std::chrono::seconds(3);
// A lease that has not changed for this long may be taken over.
constexpr Duration kTakeAfter = std::chrono::seconds(10);
// A holder without a confirmed renewal for this long steps down. Shorter than
// kTakeAfter, so that the old holder stops before a new one starts.
constexpr Duration kStopAfter = std::chrono::seconds(8);
// Entries that compete for the lease, which bounds the load on the store.
constexpr size_t kCandidates = 3;

ResourceKey LeaseKey() { return {kLeaseKind, "configuration"}; }

}  // namespace

void ConfigurationLease::Tick() {
  if (m_held && m_board->now - m_confirmed_at > kStopAfter) Lose();
  if (m_busy || m_board->now < m_next_check) return;
  m_next_check = m_board->now + m_board->random->Jitter(kRenewInterval);
  if (m_held && !m_board->leaving) return Write(m_version, m_lease.beat + 1);
  if (IsCandidate()) Read();
}

bool ConfigurationLease::IsCandidate() const {
  size_t before = 0;
  for (const ListedVm& vm : m_board->listed_vms) {
    const bool precedes =
        vm.role == Role::kEntry && !vm.leaving && vm.name < m_board->self.vm;
    if (precedes) ++before;
  }
  return !m_board->listed_vms.empty() && before < kCandidates &&
         !m_board->leaving;
}

void ConfigurationLease::Read() {
  m_busy = true;
  const TimePoint asked_at = m_board->now;
  m_store->Get(LeaseKey(), [this, asked_at](StoreStatus status,
                                            const StoredObject& object) {
    m_busy = false;
    OnRead(status, object, asked_at);
  });
}

void ConfigurationLease::OnRead(StoreStatus status, const StoredObject& object,
                                TimePoint asked_at) {
  if (status == StoreStatus::kNotFound) return Write(0, 1);
  if (status != StoreStatus::kOk) return;
  const auto lease = ParseLease(object.value);
  const bool is_own = lease.has_value() && lease->holder == m_board->self.vm &&
                      lease->incarnation == m_board->self.incarnation;
  // A write of this process has taken effect although its answer was lost.
  if (is_own) return Hold(*lease, object.version, asked_at);
  if (object.version != m_version) {
    m_version = object.version;
    m_seen_at = m_board->now;
    return;
  }
  if (m_board->now - m_seen_at > kTakeAfter) Write(object.version, 1);
}

void ConfigurationLease::Write(uint64_t expected_version, uint64_t beat) {
  m_busy = true;
  const LeaseObject lease{m_board->self.vm, m_board->self.incarnation, beat};
  const TimePoint asked_at = m_board->now;
  m_store->Put(LeaseKey(), FormatLease(lease), expected_version,
               [this, lease, asked_at](StoreStatus status, uint64_t version) {
                 m_busy = false;
                 if (status == StoreStatus::kOk) {
                   return Hold(lease, version, asked_at);
                 }
                 if (status != StoreStatus::kConflict) return;
                 // Written by another entry, or by an earlier write of this one
                 // whose answer was lost: the next read tells which.
                 Lose();
                 m_next_check = m_board->now;
               });
}

void ConfigurationLease::Hold(const LeaseObject& lease, uint64_t version,
                              TimePoint asked_at) {
  m_lease = lease;
  m_version = version;
  m_confirmed_at = asked_at;
  if (m_held) return;
  m_held = true;
  ++m_term;
}

void ConfigurationLease::Lose() {
  m_held = false;
  m_seen_at = m_board->now;
}

}  // namespace burdockhill

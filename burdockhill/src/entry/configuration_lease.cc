#include "burdockhill/src/entry/configuration_lease.h"

namespace burdockhill {

namespace {

constexpr Duration kRenewInterval = std::chrono::seconds(3);
// A lease that has not changed for this long may be taken over.
constexpr Duration kTakeoverDelay = std::chrono::seconds(10);
// A holder without a confirmed renewal for this long steps down. Shorter than
// kTakeoverDelay, so that the old holder stops before a new one starts.
constexpr Duration kStepDownDelay = std::chrono::seconds(8);
// Entries that compete for the lease, which bounds the load on the store.
constexpr size_t kMaxCandidates = 3;

ResourceKey LeaseKey() { return {kLeaseKind, "configuration"}; }

}  // namespace

void ConfigurationLease::Tick() {
  if (m_held && m_board->now - m_renewed_at > kStepDownDelay) MarkLost();
  if (m_call_pending || m_board->now < m_next_check) return;
  m_next_check = m_board->now + m_board->random->Jitter(kRenewInterval);
  if (m_held && !m_board->leaving) return Write(m_version, m_lease.beat + 1);
  if (IsCandidate()) Read();
}

bool ConfigurationLease::IsCandidate() const {
  size_t preceding = 0;
  for (const ListedVm& vm : m_board->listed_vms) {
    const bool precedes =
        vm.role == Role::kEntry && !vm.leaving && vm.name < m_board->self.vm;
    if (precedes) ++preceding;
  }
  return !m_board->listed_vms.empty() && preceding < kMaxCandidates &&
         !m_board->leaving;
}

void ConfigurationLease::Read() {
  m_call_pending = true;
  const TimePoint requested_at = m_board->now;
  m_store->Get(LeaseKey(), [this, requested_at](StoreStatus status,
                                                const StoredObject& object) {
    m_call_pending = false;
    OnRead(status, object, requested_at);
  });
}

void ConfigurationLease::OnRead(StoreStatus status, const StoredObject& object,
                                TimePoint requested_at) {
  if (status == StoreStatus::kNotFound) return Write(0, 1);
  if (status != StoreStatus::kOk) return;
  const auto lease = ParseLease(object.value);
  const bool is_own = lease.has_value() && lease->holder == m_board->self.vm &&
                      lease->incarnation == m_board->self.incarnation;
  // A write of this process has taken effect although its answer was lost.
  if (is_own) return ConfirmHeld(*lease, object.version, requested_at);
  if (object.version != m_version) {
    m_version = object.version;
    m_changed_at = m_board->now;
    return;
  }
  if (m_board->now - m_changed_at > kTakeoverDelay) Write(object.version, 1);
}

void ConfigurationLease::Write(uint64_t expected_version, uint64_t beat) {
  m_call_pending = true;
  const LeaseObject lease{m_board->self.vm, m_board->self.incarnation, beat};
  const TimePoint requested_at = m_board->now;
  m_store->Put(
      LeaseKey(), FormatLease(lease), expected_version,
      [this, lease, requested_at](StoreStatus status, uint64_t version) {
        m_call_pending = false;
        if (status == StoreStatus::kOk) {
          return ConfirmHeld(lease, version, requested_at);
        }
        if (status != StoreStatus::kConflict) return;
        // Written by another entry, or by an earlier write of this one
        // whose answer was lost: the next read tells which.
        MarkLost();
        m_next_check = m_board->now;
      });
}

void ConfigurationLease::ConfirmHeld(const LeaseObject& lease, uint64_t version,
                                     TimePoint requested_at) {
  m_lease = lease;
  m_version = version;
  m_renewed_at = requested_at;
  if (m_held) return;
  m_held = true;
  ++m_term;
}

void ConfigurationLease::MarkLost() {
  m_held = false;
  m_changed_at = m_board->now;
}

}  // namespace burdockhill

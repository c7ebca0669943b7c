#include "burdockhill/src/agent/cancellation.h"

#include <utility>

#include "burdockhill/src/agent/attempt_operations.h"

namespace burdockhill {

namespace {
constexpr Duration kCancelRetryInterval = std::chrono::seconds(1);
constexpr Duration kSweepInterval = std::chrono::milliseconds(100);
}  // namespace

void Cancellation::OnCancel(const VmName& entry, const CancelAttempt& message) {
  Attempt* attempt = m_board->attempts.Find(message.attempt);
  if (attempt == nullptr) {
    internal::AddTombstone(m_board, message.attempt);
    m_peers->Send(entry, AttemptReleased{message.attempt});
    return;
  }
  attempt->entry = entry;
  EndAttempt(attempt);
}

void Cancellation::OnRenew(const VmName& entry, const RenewHolds& message) {
  for (const AttemptId& id : message.attempts) {
    Attempt* attempt = m_board->attempts.Find(id);
    if (attempt != nullptr) {
      attempt->hold_expires_at = m_board->now + kHoldTimeout;
    } else if (m_board->tombstones.Find(id) != nullptr) {
      m_peers->Send(entry, AttemptReleased{id});
    }
  }
}

void Cancellation::OnAttach(const VmName& entry, const AttachAttempt& message) {
  Attempt* attempt = m_board->attempts.Find(message.attempt);
  if (attempt != nullptr) {
    attempt->entry = entry;
    attempt->hold_expires_at = m_board->now + kHoldTimeout;
    internal::SendAttemptStatus(m_peers, *attempt, message.offset);
    return;
  }
  if (m_board->tombstones.Find(message.attempt) != nullptr) {
    m_peers->Send(entry, AttemptReleased{message.attempt});
    return;
  }
  internal::RefuseAttempt(m_board, m_peers, entry, message.attempt,
                          ErrorKind::kUpstreamRefused, Duration(0));
}

void Cancellation::OnCancelConfirmed(const AttemptId& id) {
  const Attempt* attempt = m_board->attempts.Find(id);
  if (attempt == nullptr || attempt->phase != AttemptPhase::kCancelling) return;
  ReleaseAttempt(id);
}

void Cancellation::OnCommandFailed(const AttemptId& id, ErrorKind kind,
                                   bool ran) {
  Attempt* attempt = m_board->attempts.Find(id);
  if (attempt == nullptr) return;
  if (attempt->phase == AttemptPhase::kCancelling) return ReleaseAttempt(id);
  if (attempt->phase != AttemptPhase::kRunning) return;
  if (!ran) {
    internal::ReleaseResources(m_board, attempt);
    const VmName entry = attempt->entry;
    m_board->attempts.Erase(id);
    internal::RefuseAttempt(m_board, m_peers, entry, id, kind, Duration(0));
    return;
  }
  FailAttempt(attempt, kind);
}

// A failed attempt may still run on the engine, e.g. if only its connection
// broke. It is cancelled, and its resources stay allocated until the engine
// confirms the cancel. A failed plain call has ended, so its slot is released
// immediately.
void Cancellation::FailAttempt(Attempt* attempt, ErrorKind kind) {
  attempt->failure = kind;
  m_peers->Send(attempt->entry, AttemptFailed{attempt->id, kind});
  if (attempt->kind != AttemptKind::kCall) return EndAttempt(attempt);
  internal::ReleaseResources(m_board, attempt);
  attempt->phase = AttemptPhase::kDone;
  if (attempt->abandoned) ReleaseAttempt(attempt->id);
}

void Cancellation::Tick() {
  for (const AttemptId& id : std::exchange(m_board->attempts_to_cancel, {})) {
    if (Attempt* attempt = m_board->attempts.Find(id)) EndAttempt(attempt);
  }
  for (const auto& [id, kind] : std::exchange(m_board->attempts_to_fail, {})) {
    Attempt* attempt = m_board->attempts.Find(id);
    if (attempt != nullptr) FailAttempt(attempt, kind);
  }
  if (m_board->now < m_next_sweep) return;
  m_next_sweep = m_board->now + kSweepInterval;
  std::vector<AttemptId> ids_to_end;
  for (const auto& [id, attempt] : m_board->attempts) {
    const bool cancel_unconfirmed =
        attempt.phase == AttemptPhase::kCancelling &&
        attempt.cancel_retry_at <= m_board->now;
    const bool hold_expired = attempt.phase != AttemptPhase::kCancelling &&
                              !attempt.abandoned &&
                              attempt.hold_expires_at < m_board->now;
    if (hold_expired) ++m_board->counters.holds_expired;
    if (hold_expired || cancel_unconfirmed) ids_to_end.push_back(id);
  }
  for (const AttemptId& id : ids_to_end) EndAttempt(m_board->attempts.Find(id));
  std::deque<std::pair<TimePoint, AttemptId>>& expirations =
      m_board->tombstone_expirations;
  while (!expirations.empty() && expirations.front().first < m_board->now) {
    const AttemptId& id = expirations.front().second;
    const TimePoint* until = m_board->tombstones.Find(id);
    if (until != nullptr && *until < m_board->now) {
      m_board->tombstones.Erase(id);
    }
    expirations.pop_front();
  }
}

void Cancellation::EndAttempt(Attempt* attempt) {
  switch (attempt->phase) {
    case AttemptPhase::kQueued:
      internal::RemoveFromQueue(&m_board->decode_queue, attempt->id);
      internal::RemoveFromQueue(&m_board->prefill_queue, attempt->id);
      ReleaseAttempt(attempt->id);
      return;
    case AttemptPhase::kGranted:
    case AttemptPhase::kDone:
      ReleaseAttempt(attempt->id);
      return;
    case AttemptPhase::kRunning:
    case AttemptPhase::kCancelling:
      if (attempt->kind == AttemptKind::kCall) {
        attempt->abandoned = true;
        m_peers->Send(attempt->entry, AttemptReleased{attempt->id});
        return;
      }
      attempt->phase = AttemptPhase::kCancelling;
      attempt->cancel_retry_at = m_board->now + kCancelRetryInterval;
      ++m_board->counters.cancels;
      m_engines->Cancel(attempt->engine, attempt->id);
      return;
  }
}

void Cancellation::ReleaseAttempt(AttemptId id) {
  Attempt* attempt = m_board->attempts.Find(id);
  const VmName entry = attempt->entry;
  internal::ReleaseResources(m_board, attempt);
  m_board->attempts.Erase(id);
  internal::AddTombstone(m_board, id);
  m_peers->Send(entry, AttemptReleased{id});
}

}  // namespace burdockhill

#include "burdockhill/src/entry/releasing.h"

#include <utility>
#include <vector>

namespace burdockhill {

namespace {
// A third of kHoldTimeout, so that a hold survives one lost renewal. If two in
// a row are lost, the next arrives at about the time at which the hold expires.
constexpr Duration kRenewInterval = std::chrono::seconds(2);
constexpr Duration kReleaseRepeatInterval = std::chrono::seconds(1);
constexpr Duration kRepeatCheckInterval = std::chrono::milliseconds(250);
}  // namespace

void Releasing::Tick() {
  for (const VmName& vm : std::exchange(m_board->resumed_agents, {})) {
    ReattachAttempts(vm);
  }
  SendReleases();
  if (m_board->now >= m_next_renewal) {
    m_next_renewal = m_board->now + kRenewInterval;
    RenewHolds();
  }
  if (m_board->now >= m_next_repeat_check) {
    m_next_repeat_check = m_board->now + kRepeatCheckInterval;
    RepeatReleases();
  }
}

void Releasing::SendReleases() {
  for (const AttemptId& id : std::exchange(m_board->to_release, {})) {
    EntryAttempt* attempt = m_board->attempts.Find(id);
    if (attempt == nullptr) continue;
    attempt->next_release_at = m_board->now + kReleaseRepeatInterval;
    m_peers->Send(attempt->vm, CancelAttempt{id});
  }
}

void Releasing::ReattachAttempts(const VmName& vm) {
  for (const auto& [id, attempt] : m_board->attempts) {
    if (attempt.vm != vm) continue;
    if (attempt.releasing) {
      m_peers->Send(vm, CancelAttempt{id});
      continue;
    }
    const Request* request = m_board->requests.Find(attempt.request);
    const uint64_t offset = request == nullptr ? 0 : request->sent_tokens;
    m_peers->Send(vm, AttachAttempt{id, offset});
  }
}

void Releasing::RenewHolds() {
  std::map<VmName, burdockhill::RenewHolds> by_vm;
  for (const auto& [id, attempt] : m_board->attempts) {
    if (!attempt.releasing) by_vm[attempt.vm].attempts.push_back(id);
  }
  for (auto& [vm, renewal] : by_vm) m_peers->Send(vm, std::move(renewal));
}

void Releasing::RepeatReleases() {
  std::vector<AttemptId> expired;
  for (auto& [id, attempt] : m_board->attempts) {
    if (!attempt.releasing) continue;
    if (attempt.expires_at < m_board->now) {
      expired.push_back(id);
    } else if (attempt.next_release_at <= m_board->now) {
      attempt.next_release_at = m_board->now + kReleaseRepeatInterval;
      m_peers->Send(attempt.vm, CancelAttempt{id});
    }
  }
  for (const AttemptId& id : expired) m_board->attempts.Erase(id);
}

}  // namespace burdockhill

#include "burdockhill/src/entry/releasing.h"

#include <utility>
#include <vector>

namespace burdockhill {

namespace {
// A third of the time after which agents drop a hold, so that a hold survives
// two lost renewals.
constexpr Duration kRenewInterval = std::chrono::seconds(2);
constexpr Duration kReleaseRepeat = std::chrono::seconds(1);
constexpr Duration kRepeatCheck = std::chrono::milliseconds(250);
}  // namespace

void Releasing::Step() {
  for (const VmName& vm : std::exchange(m_board->resumed_agents, {})) {
    ResumeAt(vm);
  }
  SendReleases();
  if (m_board->now >= m_next_renewal) {
    m_next_renewal = m_board->now + kRenewInterval;
    RenewHolds();
  }
  if (m_board->now >= m_next_repeat) {
    m_next_repeat = m_board->now + kRepeatCheck;
    RepeatReleases();
  }
}

void Releasing::SendReleases() {
  for (const AttemptId& id : std::exchange(m_board->to_release, {})) {
    Leg* leg = m_board->legs.Find(id);
    if (leg == nullptr) continue;
    leg->release_again_at = m_board->now + kReleaseRepeat;
    m_peers->Send(leg->vm, CancelAttempt{id});
  }
}

void Releasing::ResumeAt(const VmName& vm) {
  for (const auto& [id, leg] : m_board->legs) {
    if (leg.vm != vm) continue;
    if (leg.releasing) {
      m_peers->Send(vm, CancelAttempt{id});
      continue;
    }
    const Request* request = m_board->requests.Find(leg.request);
    const uint64_t offset = request == nullptr ? 0 : request->delivered;
    m_peers->Send(vm, AttachAttempt{id, offset});
  }
}

void Releasing::RenewHolds() {
  std::map<VmName, burdockhill::RenewHolds> by_vm;
  for (const auto& [id, leg] : m_board->legs) {
    if (!leg.releasing) by_vm[leg.vm].attempts.push_back(id);
  }
  for (auto& [vm, renewal] : by_vm) m_peers->Send(vm, std::move(renewal));
}

void Releasing::RepeatReleases() {
  std::vector<AttemptId> forgotten;
  for (auto& [id, leg] : m_board->legs) {
    if (!leg.releasing) continue;
    if (leg.forget_at < m_board->now) {
      forgotten.push_back(id);
    } else if (leg.release_again_at <= m_board->now) {
      leg.release_again_at = m_board->now + kReleaseRepeat;
      m_peers->Send(leg.vm, CancelAttempt{id});
    }
  }
  for (const AttemptId& id : forgotten) m_board->legs.Erase(id);
}

}  // namespace burdockhill

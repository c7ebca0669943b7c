#ifndef BURDOCKHILL_SRC_AGENT_CANCELLATION_H_
#define BURDOCKHILL_SRC_AGENT_CANCELLATION_H_

#include "burdockhill/src/agent/agent_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Ends attempts that their entry cancels, whose hold has expired, or that
// failed on the back end. Slots and memory of an attempt running on an
// engine stay allocated until the engine has confirmed the cancel, or the
// command fails while the cancel is pending.
class Cancellation {
 public:
  Cancellation(AgentBlackboard* board, PeerLink* peers, EngineLink* engines)
      : m_board(board), m_peers(peers), m_engines(engines) {}

  void OnCancel(const VmName& entry, const CancelAttempt& message);
  void OnRenew(const VmName& entry, const RenewHolds& message);
  void OnAttach(const VmName& entry, const AttachAttempt& message);
  void OnCancelConfirmed(const AttemptId& id);
  void OnCommandFailed(const AttemptId& id, ErrorKind kind, bool ran);

  // Ends attempts listed on the blackboard and those whose hold has expired,
  // retries unconfirmed cancels, and removes expired tombstones.
  void Tick();

 private:
  void FailAttempt(Attempt* attempt, ErrorKind kind);
  void EndAttempt(Attempt* attempt);
  // By value: `id` may refer into the attempt that is erased.
  void ReleaseAttempt(AttemptId id);

  AgentBlackboard* m_board;
  PeerLink* m_peers;
  EngineLink* m_engines;
  TimePoint m_next_sweep{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_CANCELLATION_H_

#ifndef BURDOCKHILL_SRC_AGENT_CANCELLATION_H_
#define BURDOCKHILL_SRC_AGENT_CANCELLATION_H_

#include "burdockhill/src/agent/agent_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Ends attempts: those that their entry cancels, those whose entry has not
// renewed their hold, and those that the back end failed. Memory counts as
// used until the back end has confirmed that it is free.
class Cancellation {
 public:
  Cancellation(AgentBlackboard* board, PeerLink* peers, EngineLink* engines)
      : m_board(board), m_peers(peers), m_engines(engines) {}

  void OnCancel(const VmName& entry, const CancelAttempt& order);
  void OnRenew(const VmName& entry, const RenewHolds& order);
  void OnAttach(const VmName& entry, const AttachAttempt& order);
  void OnCancelled(const AttemptId& id);
  void OnOrderFailed(const AttemptId& id, ErrorKind kind, bool ran);

  // Ends expired holds, repeats cancels that were not confirmed and forgets
  // old tombstones.
  void Step();

 private:
  void Fail(Attempt* attempt, ErrorKind kind);
  void End(Attempt* attempt);
  // By value: the id may be part of what is erased.
  void Release(AttemptId id);

  AgentBlackboard* m_board;
  PeerLink* m_peers;
  EngineLink* m_engines;
  TimePoint m_next_sweep{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_CANCELLATION_H_

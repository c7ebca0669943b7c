#ifndef BURDOCKHILL_SRC_AGENT_DECODE_RESERVATION_H_
#define BURDOCKHILL_SRC_AGENT_DECODE_RESERVATION_H_

#include "burdockhill/src/agent/agent_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Allocates decode slots and KV cache memory, most urgent request first, and
// runs the decodes. A reservation whose predicted wait exceeds the wait budget
// of its entry is refused immediately, with the predicted wait as retry_after.
class DecodeReservation {
 public:
  DecodeReservation(AgentBlackboard* board, PeerLink* peers,
                    EngineLink* engines)
      : m_board(board), m_peers(peers), m_engines(engines) {}

  void OnReserve(const VmName& entry, const ReserveDecode& message);
  void OnStart(const VmName& entry, const StartDecode& message);
  void OnTokens(const AttemptId& id, uint64_t offset, uint32_t tokens,
                const std::string& text, const std::string& finish_reason);

  // Grants the queued reservations that fit, and refuses those whose wait
  // budget is used up, or all of them while the upstream is leaving.
  void ProcessQueue();

 private:
  // Whether the memory of any reachable decode engine is large enough for the
  // request.
  bool CanEverFit(const ReserveDecode& message) const;
  // The decode engine with the fewest slots in use among those that can hold
  // the attempt now, or nullptr.
  Engine* FindEngineWithCapacity(const Attempt& attempt);
  // Expected wait for a slot behind the queued requests of the same or a more
  // urgent class.
  Duration PredictedWait(RequestClass request_class) const;
  // Allocates a slot and KV cache on the engine to the attempt and notifies its
  // entry.
  void Grant(Attempt* attempt, Engine* engine);

  AgentBlackboard* m_board;
  PeerLink* m_peers;
  EngineLink* m_engines;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_DECODE_RESERVATION_H_

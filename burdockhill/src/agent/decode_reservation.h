#ifndef BURDOCKHILL_SRC_AGENT_DECODE_RESERVATION_H_
#define BURDOCKHILL_SRC_AGENT_DECODE_RESERVATION_H_

#include "burdockhill/src/agent/agent_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Grants decode slots and engine memory, most urgent request first, and runs
// the decodes on them. A reservation that cannot be granted within the wait
// that its entry allows is refused at once, with when to come back.
class DecodeReservation {
 public:
  DecodeReservation(AgentBlackboard* board, PeerLink* peers,
                    EngineLink* engines)
      : m_board(board), m_peers(peers), m_engines(engines) {}

  void OnReserve(const VmName& entry, const ReserveDecode& order);
  void OnStart(const VmName& entry, const StartDecode& order);
  void OnTokens(const AttemptId& id, uint64_t offset, uint32_t tokens,
                const std::string& text, const std::string& finish_reason);

  // Grants what fits and refuses what has waited too long.
  void Step();

 private:
  // Whether any engine could ever hold the request.
  bool CanEverFit(const ReserveDecode& order) const;
  Engine* FindRoom(const Attempt& attempt);
  Duration PredictedWait(RequestClass request_class) const;
  void Grant(Attempt* attempt, Engine* engine);

  AgentBlackboard* m_board;
  PeerLink* m_peers;
  EngineLink* m_engines;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_DECODE_RESERVATION_H_

#ifndef BURDOCKHILL_SRC_AGENT_AGENT_CORE_H_
#define BURDOCKHILL_SRC_AGENT_AGENT_CORE_H_

#include <string>
#include <vector>

#include "burdockhill/src/agent/agent_blackboard.h"
#include "burdockhill/src/agent/agent_configuration.h"
#include "burdockhill/src/agent/cancellation.h"
#include "burdockhill/src/agent/decode_reservation.h"
#include "burdockhill/src/agent/engine_health.h"
#include "burdockhill/src/agent/load_reporting.h"
#include "burdockhill/src/agent/plain_calls.h"
#include "burdockhill/src/agent/prefill_queue.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// The agent without I/O: a blackboard and its controllers. The owner passes
// events in, and calls Tick after each batch of events and at least every
// 20 ms.
class AgentCore : public PeerEvents, public EngineEvents, private BufferOwner {
 public:
  AgentCore(const AgentIdentity& self,
            const std::vector<std::pair<EngineName, std::string>>& back_ends,
            const Clock* clock, PeerLink* peers, EngineLink* engines);

  // Charges what is kept of the results of attempts to `buffers`, which must
  // outlive the agent. Call it before the first event.
  void SetBuffers(BufferBudget* buffers);

  // Starts a graceful shutdown: new attempts are refused from now on.
  void Leave();

  // Whether all attempts are done, so that stopping would interrupt none.
  bool IsIdle() const;

  void Tick();

  const AgentBlackboard& Board() const { return m_board; }

  // PeerEvents:
  void OnPeerUp(const Hello& peer) override;
  void OnPeerDown(const VmName& vm) override;
  void OnMessage(const VmName& from, const Message& message) override;

  // EngineEvents:
  void OnPrefillDone(const AttemptId& attempt, const std::string& kv_handle,
                     const std::string& kv_source, Tokens prompt,
                     Tokens reused) override;
  void OnTokens(const AttemptId& attempt, uint64_t offset, uint32_t tokens,
                const std::string& text,
                const std::string& finish_reason) override;
  void OnCommandFailed(const AttemptId& attempt, ErrorKind kind,
                       bool ran) override;
  void OnCancelConfirmed(const AttemptId& attempt) override;
  void OnCallAnswered(const AttemptId& attempt, int status,
                      const std::string& content_type,
                      const std::string& body) override;
  void OnEngineState(const EngineName& engine,
                     const std::optional<EngineState>& state) override;

 private:
  void OnBufferEvicted(BufferKey key) override;
  void UpdateNow() { m_board.now = m_clock->Now(); }

  const Clock* m_clock;
  PeerLink* m_peers;
  AgentBlackboard m_board;
  DecodeReservation m_decode_reservation;
  PrefillQueue m_prefill_queue;
  PlainCalls m_plain_calls;
  Cancellation m_cancellation;
  EngineHealth m_engine_health;
  LoadReporting m_load_reporting;
  AgentConfiguration m_configuration;
  bool m_shutting_down = false;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_AGENT_CORE_H_

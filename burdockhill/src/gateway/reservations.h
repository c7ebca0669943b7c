#ifndef BURDOCKHILL_SRC_GATEWAY_RESERVATIONS_H_
#define BURDOCKHILL_SRC_GATEWAY_RESERVATIONS_H_

#include <optional>
#include <set>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/peer/peer_link.h"
#include "burdockhill/src/routing/kv_cache_ledger.h"

namespace burdockhill {

// What became of asking for a place on an engine.
class ReservationEvents {
 public:
  virtual ~ReservationEvents() = default;
  virtual void OnReserved(const AttemptId& attempt,
                          const UpstreamName& engine) = 0;
  // No engine can take the attempt in time: kOverloaded, or kNoUpstream if none
  // is at work at all.
  virtual void OnNotReserved(const AttemptId& attempt, ErrorKind kind,
                             Duration retry_after) = 0;
};

// The entry's side of reservations: which agents to ask, and what to do when
// an agent does not answer.
//
// Answers load that is spread over engines unevenly: the agent of the engine
// with the least burden is asked first, two at once where no decode engine has
// plenty of memory, and the first grant wins. Without an agent, a small share
// of its engine is used.
class Reservations : public PeerEvents {
 public:
  struct Options {
    Incarnation incarnation;
    uint16_t agent_port = 0;  // On the VM of each engine.
  };

  Reservations(const Options& options, EntryBoard* board, PeerLink* peers)
      : m_options(options), m_board(board), m_peers(peers) {}

  void SetEvents(ReservationEvents* events) { m_events = events; }

  AttemptId NewAttempt(const std::string& caller_id);

  // A place that a request needs.
  struct Need {
    EngineRole role = EngineRole::kDecode;
    ServiceName service;
    Tokens prompt;
    Tokens estimate;          // Of the output; zero for prefill.
    Duration wait{0};         // How long to wait for it.
    Duration target_left{0};  // Time in which the target can still be met.
    uint8_t priority = 0;     // 0 is the most urgent.
    ZoneName near;            // Engines there are preferred.
    // Prefill only: the decode engine that may compute the prompt itself, from
    // `local_after` on or when there is no prefill engine to ask.
    UpstreamName local;
    Duration local_after{0};
    bool only_local = false;  // No prefill engine may be asked.
    std::set<UpstreamName> excluded;
  };

  // Exactly one event follows, not before this returns.
  void Ask(const AttemptId& attempt, const Need& need);
  // Withdraws what was asked for or granted.
  void Release(const AttemptId& attempt);

  // First-hand evidence that an engine fails: it is not asked for a while,
  // which grows with each failure until the engine answers again. Losing an
  // answer now and then must not cost the service an engine.
  void NoteTrouble(const UpstreamName& engine);
  void NoteAnswer(const UpstreamName& engine);
  // No connection to it can be made.
  void NoteUnreachable(const UpstreamName& engine);

  // Gives up on agents that do not answer. Call once a turn of the loop.
  void Step();

  void OnPeerUp(const Hello& peer) override;
  void OnPeerDown(const VmName& vm) override;
  void OnMessage(const VmName& from, const Message& message) override;

 private:
  struct Engine {
    VmName agent;
    bool connected = false;
    TimePoint heard_at{};
    Tokens free;                // Memory, as the agent reported it.
    Tokens queued_prefill;      // Prompts in front, as the agent reported it.
    Tokens asked_since_report;  // Not in the above yet.
    TimePoint avoid_until{};
    Duration avoid_time{0};  // Zero once the engine has answered.
    KvCacheLedger fallback;  // For the time without the agent.
  };
  struct Pending {
    Need need;
    TimePoint give_up_at{};
    TimePoint target_by{};
    TimePoint local_at{};  // When the decode engine is asked too.
    std::set<UpstreamName> asked;
    bool settled = false;
    UpstreamName granted;
    bool by_fallback = false;
    Duration retry_after{0};
    bool overloaded = false;  // Some engine was at work, but full.
  };

  void FollowDirectory();
  // Engines that may be asked, the best first.
  std::vector<UpstreamName> Rank(const Pending& pending) const;
  // How much speaks against giving this engine another request, tokens.
  static int64_t Cost(const RegisteredUpstream& upstream, const Engine& engine,
                      const ZoneName& near);
  // Asks up to `count` further agents; false if there is none.
  bool AskMore(const AttemptId& attempt, Pending* pending, size_t count);
  // Sends the request for a place to one agent.
  void SendAsk(const AttemptId& attempt, Pending* pending,
               const UpstreamName& name, Engine* engine);
  // Asks the decode engine to compute the prompt; false if it cannot be asked.
  bool AskLocal(const AttemptId& attempt, Pending* pending);
  bool TryFallback(const AttemptId& attempt, Pending* pending);
  void Avoid(Engine* engine, Duration time);
  void Withdraw(const AttemptId& attempt, const UpstreamName& engine);
  void Grant(const AttemptId& attempt, const UpstreamName& engine);
  void Refused(const AttemptRefused& refusal, const UpstreamName& engine);
  UpstreamName EngineOf(const VmName& agent) const;

  Options m_options;
  EntryBoard* m_board;
  PeerLink* m_peers;
  ReservationEvents* m_events = nullptr;
  uint32_t m_last_number = 0;
  uint64_t m_seen_version = 0;
  Table<UpstreamName, Engine> m_engines;
  Table<AttemptId, Pending> m_pending;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_RESERVATIONS_H_

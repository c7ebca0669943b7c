#ifndef BURDOCKHILL_SRC_GATEWAY_RESERVATIONS_H_
#define BURDOCKHILL_SRC_GATEWAY_RESERVATIONS_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/gateway/pool_rate_exchange.h"
#include "burdockhill/src/peer/peer_link.h"
#include "burdockhill/src/routing/engine_placement.h"
#include "burdockhill/src/routing/kv_cache_ledger.h"

namespace burdockhill {

// Receives the outcome of reservations.
class ReservationEvents {
 public:
  virtual ~ReservationEvents() = default;
  virtual void OnReserved(const AttemptId& attempt,
                          const UpstreamName& engine) = 0;
  // No engine grants the reservation in time. `kind` is kOverloaded if at least
  // one engine was full, else kNoUpstream.
  virtual void OnNotReserved(const AttemptId& attempt, ErrorKind kind,
                             Duration retry_after) = 0;
};

// Reserves capacity on engines for the requests of an entry by asking the
// engines' agents.
//
// EnginePlacement decides which agents are asked and when a request is refused.
// If two are asked, the first grant wins. If an agent cannot be reached, the
// entry uses its engine without a grant, and of a decode engine's memory only
// the entry's share.
class Reservations : public PeerEvents {
 public:
  struct Options {
    Incarnation incarnation;
    uint16_t agent_port = 0;  // On which all agents listen.
  };

  Reservations(const Options& options, EntryBoard* board, PeerLink* peers)
      : m_options(options),
        m_board(board),
        m_peers(peers),
        m_pool_rates(board, peers) {}

  void SetEvents(ReservationEvents* events) { m_events = events; }

  // An id that no other attempt of this or another entry has.
  AttemptId NewAttempt(const std::string& caller_id);

  // The capacity that a request needs.
  struct Requirement {
    EngineRole role = EngineRole::kDecode;
    ServiceName service;
    Tokens prompt_tokens;
    Tokens expected_output_tokens;  // Zero for prefill.
    Duration max_wait{0};           // Longest time to wait for a grant.
    Duration target_left{0};        // Later grants miss the latency target.
    uint8_t priority = 0;           // 0 is the most urgent.
    TeamName team;                  // Invalid if the caller has none.
    // Prefill only: of the decode engine, which fetches the KV cache.
    ZoneName decode_zone;
    ByteCount request_bytes;  // That each engine receives.
    // Only engines of this version are used, see FitsVersion.
    std::optional<SoftwareVersion> version;
    // Prefill only: the decode engine that may compute the prompt itself. It is
    // asked after `local_delay`, or at once if no prefill engine can be asked.
    UpstreamName local_engine;
    Duration local_delay{0};
    bool local_only = false;  // Asks only `local_engine`.
    std::set<UpstreamName> excluded_engines;
  };

  // Starts a reservation. Exactly one event follows after this call has
  // returned, unless the reservation is released before.
  void Reserve(const AttemptId& attempt, const Requirement& requirement);
  // Cancels a reservation, whether waiting or granted.
  void Release(const AttemptId& attempt);
  // Whether the reservation was granted before the entry stood still. The
  // process of the engine may have ended since.
  bool IsOutdated(const AttemptId& attempt);

  // A call to the engine failed. The engine is then not used for a backoff time
  // that doubles with each failure until RecordSuccess, unless all engines are
  // in backoff and its own is below the longest. The first backoff is short, so
  // that a single lost response does not take an engine out of service.
  void RecordFailure(const UpstreamName& engine);
  void RecordSuccess(const UpstreamName& engine);
  // No connection to the engine can be established: it is not used for the
  // longest backoff time.
  void RecordUnreachable(const UpstreamName& engine);

  // Follows changes of the directory, reconnects to silent agents, asks further
  // agents, and ends reservations that nobody grants. Call once per iteration
  // of the event loop.
  void Tick();

  void OnPeerUp(const Hello& peer) override;
  void OnPeerDown(const VmName& vm) override;
  void OnMessage(const VmName& from, const Message& message) override;

 private:
  struct Engine {
    VmName agent;
    bool agent_connected = false;
    TimePoint last_heard_at{};
    TimePoint backoff_until{};
    Duration backoff{0};            // Zero once the engine has answered.
    KvCacheLedger fallback_ledger;  // Own reservations made without the agent.
  };
  // A reservation from Reserve until Release.
  struct ActiveReservation {
    Requirement requirement;
    TimePoint grant_deadline{};  // End of the wait for a grant.
    TimePoint target_by{};
    TimePoint local_due_at{};  // When the decode engine is asked as well.
    // Engines whose agents were asked, and when.
    std::map<UpstreamName, TimePoint> asked;
    bool is_granted = false;
    UpstreamName granted_engine;
    bool granted_without_agent = false;
    // The engine that was asked had no room, so that another one is asked when
    // that has.
    bool is_queued = false;
    UpstreamName queue_engine;
    TimePoint next_plan_at{};  // When a further agent may be asked.
    TimePoint awaits_until{};  // Asks nobody until then.
    // When the first engine is expected to have capacity, as of the last plan.
    std::optional<TimePoint> capacity_at;
    bool has_full_engine = false;  // Some engine refused because it was full.
  };

  // Connects to the agents of new engines and drops those of removed ones.
  void SyncWithDirectory();
  // Engines that may be used and whose agents are or are not connected. Those
  // that were asked and have not answered do not count.
  std::vector<const RegisteredUpstream*> FindCandidates(
      const ActiveReservation& active, bool with_agent) const;
  EngineDemand DemandOf(const ActiveReservation& active) const;
  PlacementPath PathOf(const ActiveReservation& active) const;
  // Decides which agents to ask, and records when capacity is expected.
  EnginePlacement::Plan MakePlan(ActiveReservation* active, size_t asked);
  // Asks the agents that the placement chooses; `asked` is the number of those
  // whose answers may still come. False if there is none to ask.
  bool AskAgents(const AttemptId& attempt, ActiveReservation* active,
                 size_t asked);
  // Continues a reservation that is not granted.
  void Advance(const AttemptId& attempt, ActiveReservation* active);
  // A request that has missed its target waits in a single queue: withdraws it
  // from the other ones.
  void LeaveOtherQueues(const AttemptId& attempt, ActiveReservation* active);
  // Whether the request waits here because an engine is expected to have
  // capacity in time, but not now.
  bool AwaitCapacity(ActiveReservation* active);
  void Refuse(const AttemptId& attempt, const ActiveReservation& active);
  // Cancels the reservation at agents that have not answered in time.
  void GiveUpAsked(const AttemptId& attempt, ActiveReservation* active);
  void ReconnectSilentAgents();
  // Sends the reservation to the agent of one engine.
  void SendReservation(const AttemptId& attempt, ActiveReservation* active,
                       const UpstreamName& name, Engine* engine);
  // Asks the agent of the decode engine whether that engine may compute the
  // prompt; false if it cannot be asked.
  bool AskLocalEngine(const AttemptId& attempt, ActiveReservation* active);
  // Whether none of the agents that were asked has sent its load reports
  // lately.
  bool AreAskedAgentsSilent(const ActiveReservation& active) const;
  // Uses an engine whose agent is not connected; false if there is none, or
  // none with enough memory left in this entry's share.
  bool ReserveWithoutAgent(const AttemptId& attempt, ActiveReservation* active);
  // Upper limit of the backoff, up to the time until the registry drops a
  // crashed engine.
  static constexpr Duration kMaxBackoff = std::chrono::seconds(2);
  void BackOff(Engine* engine, Duration time);
  // Tells the agent of the engine that the reservation is not needed.
  void Cancel(const AttemptId& attempt, const UpstreamName& engine);
  // Ends the reservation with success. A further grant is cancelled.
  void AcceptGrant(const AttemptId& attempt, const UpstreamName& engine);
  // Whether the engine's process that started then is the registered one. The
  // registration may be of a former process with another software version.
  bool IsRegisteredProcess(const UpstreamName& engine,
                           int64_t started_at_ms) const;
  // Whether the engine was asked before the entry stood still, so that its
  // grant may have waited meanwhile.
  bool IsFromBeforeStandstill(const ActiveReservation& active,
                              const UpstreamName& engine) const;
  // Gives such a grant back; agents are asked anew.
  void ReturnGrant(const AttemptId& attempt, const UpstreamName& engine);
  void NoticeStandstill();
  // Gives the grant of a process that is not registered yet back.
  void RejectGrant(const ReserveGranted& grant, const UpstreamName& engine);
  // Records what the refusal says for this and later reservations.
  void HandleRefusal(const AttemptRefused& refusal, const UpstreamName& engine);
  // The engine on the VM of an agent.
  UpstreamName FindEngine(const VmName& agent) const;

  Options m_options;
  EntryBoard* m_board;
  PeerLink* m_peers;
  PoolRateExchange m_pool_rates;
  ReservationEvents* m_events = nullptr;
  uint32_t m_last_attempt_number = 0;
  uint64_t m_directory_version = 0;
  TimePoint m_last_tick_at{};
  TimePoint m_ran_again_at{};  // After the entry stood still.
  EnginePlacement m_placement;
  Table<UpstreamName, Engine> m_engines;
  std::map<VmName, UpstreamName> m_engine_by_agent;
  Table<AttemptId, ActiveReservation> m_active_reservations;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_RESERVATIONS_H_

#ifndef BURDOCKHILL_SRC_GATEWAY_UPSTREAM_PERMITS_H_
#define BURDOCKHILL_SRC_GATEWAY_UPSTREAM_PERMITS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/peer/peer_link.h"
#include "burdockhill/src/routing/permit_schedule.h"
#include "burdockhill/src/teams/coordinator_choice.h"

namespace burdockhill {

// A request for a permit.
using PermitId = NumericId<struct PermitIdTag>;

// Receives the outcome of requests for permits.
class PermitEvents {
 public:
  virtual ~PermitEvents() = default;
  // One request may be sent to the upstream now.
  virtual void OnPermit(PermitId id) = 0;
  // The upstream takes no further request in time.
  virtual void OnNoPermit(PermitId id) = 0;
};

// Keeps the requests that all entries together send to an upstream below the
// rate limit that it states.
//
// Each request to such an upstream needs a permit, whether it is a first
// attempt, a retry or a resumed stream. One entry hands out the permits for an
// upstream, see CoordinatorChoice, so that they go to the entries that have
// requests. An entry that reaches no coordinator uses an even share of the
// limit. Entries tell each other what upstreams state, so that an entry knows
// a limit before its own first call.
class UpstreamPermits : public PeerEvents {
 public:
  struct Options {
    VmName self;
    std::vector<std::string> seeds;  // IP numbers of entries.
    uint16_t port = 0;               // On which entries listen for peers.
  };

  // The board's clock must be set.
  UpstreamPermits(const Options& options, EntryBoard* board, PeerLink* peers);

  // Whether requests to the upstream need a permit.
  bool IsNeeded(const UpstreamName& upstream) const {
    return m_board->rate_limits.Find(upstream).has_value();
  }
  // Asks for a permit that can be used within `max_wait`, which is zero if
  // another upstream takes the request at once. Exactly one event follows after
  // this call has returned, unless the request is cancelled.
  PermitId Request(const UpstreamName& upstream, Duration max_wait,
                   PermitEvents* events);
  // Ignored if the request is not open any more.
  void Cancel(PermitId id) { m_requests.Erase(id); }

  // Upstreams of the service for which there is no permit at present.
  std::set<UpstreamName> Exhausted(const ServiceName& service) const;
  // When a caller should come back that was refused since the upstreams of the
  // service are exhausted; zero if none is. Spreads callers over time as the
  // limits allow.
  Duration RetryAfter(const ServiceName& service);

  // Ends waits, asks other coordinators instead of those that do not answer,
  // and tells other entries about limits. Call once per iteration of the event
  // loop.
  void Tick();

  void OnPeerUp(const Hello& peer) override;
  void OnPeerDown(const VmName& vm) override;
  void OnMessage(const VmName& from, const Message& message) override;

 private:
  struct PendingRequest {
    UpstreamName upstream;
    PermitEvents* events = nullptr;
    TimePoint wait_until{};  // End of the longest wait.
    VmName coordinator;      // Asked and has not answered; else invalid.
    TimePoint answer_due{};
    bool decided = false;
    bool granted = false;
    TimePoint usable_at{};  // If granted.
  };
  struct Decision {
    bool granted = false;
    Duration wait{0};  // See PermitAnswer.
  };
  // Of an upstream for which this entry is the coordinator.
  struct Schedules {
    explicit Schedules(TimePoint now)
        : permits(PermitSchedule::Unused::kKeepOne, now),
          returns(PermitSchedule::Unused::kKeepOne, now) {}
    PermitSchedule permits;
    // When those that got no permit may ask again.
    PermitSchedule returns;
  };

  // Asks the coordinator, or decides if that is this entry or there is none.
  void Dispatch(PermitId id, PendingRequest* request);
  // As the coordinator of the upstream.
  Decision Decide(const UpstreamName& upstream, Duration max_wait);
  // Within this entry's even share of the limit.
  Decision DecideAlone(const UpstreamName& upstream, Duration max_wait);
  void Apply(PendingRequest* request, const Decision& decision);
  void HandleRequest(const VmName& from, const PermitRequest& message);
  void HandleAnswer(const VmName& from, const PermitAnswer& message);
  void HandleNotice(const RateLimitNotice& notice);
  RateLimitNotice NoticeFor(const UpstreamName& upstream,
                            const RateLimitStatement& statement) const;
  void SendNotices();
  void ReconnectSilentSeeds();
  // The limit, but high enough for probes that show its end.
  double RateOf(const UpstreamName& upstream) const;
  int AssumedEntries() const;
  void Connect(const VmName& seed);

  Options m_options;
  EntryBoard* m_board;
  PeerLink* m_peers;
  CoordinatorChoice m_coordinators;
  std::set<VmName> m_entries;  // Connected ones.
  uint64_t m_last_id = 0;
  Table<PermitId, PendingRequest> m_requests;
  std::map<UpstreamName, Schedules> m_schedules;        // As coordinator.
  std::map<UpstreamName, PermitSchedule> m_own_shares;  // Without coordinator.
  // Until when no permit is to be had.
  std::map<UpstreamName, TimePoint> m_exhausted_until;
  std::map<ServiceName, PermitSchedule> m_returns;  // Of refused callers.
  // Entries that the latest coordinator knew.
  int m_entry_count = 0;
  TimePoint m_next_notices_at{};
  TimePoint m_next_reconnect_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_UPSTREAM_PERMITS_H_

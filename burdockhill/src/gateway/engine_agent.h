#ifndef BURDOCKHILL_SRC_GATEWAY_ENGINE_AGENT_H_
#define BURDOCKHILL_SRC_GATEWAY_ENGINE_AGENT_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "burdockhill/src/base/event_log.h"
#include "burdockhill/src/gateway/codecs.h"
#include "burdockhill/src/gateway/origin_keeper.h"
#include "burdockhill/src/http/connection_pool.h"
#include "burdockhill/src/peer/peer_link.h"
#include "burdockhill/src/routing/engine_admission.h"
#include "burdockhill/src/routing/kv_cache_ledger.h"
#include "burdockhill/src/routing/pool_balance.h"
#include "burdockhill/src/routing/reservation_queue.h"
#include "burdockhill/src/routing/service_rate.h"
#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// The agent on the VM of one model engine. It alone grants reservations of the
// engine's KV cache memory and prefill capacity, and it alone orders changes of
// the engine's role. Requests do not pass through it: entries reserve capacity
// here and then call the engine directly.
//
// It also remembers for the entries, which may end, which versions of upstreams
// began streams, see OriginKeeper.
class EngineAgent : public PeerEvents {
 public:
  struct Options {
    VmName vm;
    std::string engine_address;  // "host:port".
  };

  EngineAgent(const Options& options, const EngineCodec* codec,
              UpstreamDirectory* directory, http::ConnectionPool* pool,
              PeerLink* peers, const Clock* clock, EventLog* log);

  // Polls the engine, balances roles, decides on waiting reservations and
  // reports the load, each when it is due. Call at least every 20 ms.
  void Tick();

  void OnPeerUp(const Hello& peer) override;
  void OnPeerDown(const VmName& vm) override;
  void OnMessage(const VmName& from, const Message& message) override;

 private:
  // State and response of a call to the engine; one call at a time.
  class EngineCall : public http::CallEvents {
   public:
    bool OnResponseHead(http::CallId id, const http::Head& head) override;
    size_t OnResponseBody(http::CallId id, std::string_view bytes) override;
    void OnResponseEnd(http::CallId id) override;
    void OnCallFailed(http::CallId id, http::CallFailure failure) override;

    enum class State { kIdle, kWaiting, kAnswered, kFailed };
    State state = State::kIdle;
    http::CallId id;
    TimePoint deadline{};
    int status = 0;
    std::string body;
  };

  void ExpireCall(EngineCall* call, TimePoint now);
  bool StartCall(EngineCall* call, std::string request, Duration timeout,
                 TimePoint now, const http::CallPolicy& policy);
  void PollEngine(TimePoint now);
  void ApplyReport(const EngineReport& report, TimePoint now);
  void BalanceRoles(TimePoint now);
  void SendDecisions(TimePoint now);
  void SendQueueDecisions(ReservationQueue* queue, EngineAdmission* admission,
                          TimePoint now);
  // The capacity for computing prompts in the engine's present role, or nullptr
  // if it has none.
  EngineAdmission* AdmissionForPrompts();
  // Whether the engine has this role and is not changing it.
  bool IsDecodeEngine() const;
  bool IsPrefillEngine() const;
  // Computes the time that a typical request would wait for decode memory.
  void UpdateDecodeWait(TimePoint now);
  void ReportLoad(TimePoint now);
  void SendLoadReport(const VmName& entry);
  // What entries rank this engine by: for a decode engine the expected memory
  // use, for a prefill engine the prompts not yet computed, both with the
  // prompts of waiting reservations.
  Tokens LoadTokens() const;
  // Requests a second that the engine can serve at full load in its present
  // role; zero if unknown.
  double ServiceRate() const;
  // Of the engine in its present role; zero if not measured.
  struct EngineRates {
    double prompt = 0;  // Prompt tokens a second.
    double output = 0;  // Output tokens a second of one run.
  };
  EngineRates PresentRates(TimePoint now) const;
  // The median of what the entries have told, which a single entry that knows
  // few engines does not change.
  PoolRates MedianPoolRates() const;
  // The latest registration of the engine on this VM, or nullptr.
  const RegisteredUpstream* FindRegistration() const;

  Options m_options;
  const EngineCodec* m_codec;
  UpstreamDirectory* m_directory;
  http::ConnectionPool* m_pool;
  PeerLink* m_peers;
  const Clock* m_clock;
  EventLog* m_log;

  KvCacheLedger m_ledger;
  DecodeAdmission m_decode_admission{&m_ledger};
  PrefillAdmission m_prefill_admission;
  LocalPrefillAdmission m_local_prefill_admission;
  ReservationQueue m_decode_queue;
  ReservationQueue m_prefill_queue;
  PoolBalance m_balance;
  std::optional<EngineReport> m_report;
  TimePoint m_reported_at{};
  EngineCall m_poll_call;
  EngineCall m_order_call;
  TimePoint m_next_poll_at{};
  TimePoint m_next_order_at{};
  TimePoint m_next_load_report_at{};
  Tokens m_last_reported_load;
  EngineRates m_last_reported_rates;
  Duration m_decode_wait{0};
  Duration m_last_reported_wait{0};
  TimePoint m_next_wait_at{};
  std::set<VmName> m_entries;                // Connected ones.
  std::map<VmName, PoolRates> m_pool_rates;  // By the entry that told them.
  OutputRateEstimator m_output_rate;
  OriginKeeper m_origins{m_peers, m_clock, m_log};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_ENGINE_AGENT_H_

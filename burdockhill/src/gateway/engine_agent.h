#ifndef BURDOCKHILL_SRC_GATEWAY_ENGINE_AGENT_H_
#define BURDOCKHILL_SRC_GATEWAY_ENGINE_AGENT_H_

#include <optional>
#include <set>
#include <string>

#include "burdockhill/src/base/event_log.h"
#include "burdockhill/src/gateway/codecs.h"
#include "burdockhill/src/http/connection_pool.h"
#include "burdockhill/src/peer/peer_link.h"
#include "burdockhill/src/routing/engine_admission.h"
#include "burdockhill/src/routing/kv_cache_ledger.h"
#include "burdockhill/src/routing/pool_balance.h"
#include "burdockhill/src/routing/reservation_queue.h"
#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// The agent on the VM of one model engine. It alone grants reservations of the
// engine's KV cache memory and prefill capacity, and it alone orders changes of
// the engine's role. Requests do not pass through it: entries reserve capacity
// here and then call the engine directly.
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
  // State and answer of a call to the engine; one call at a time.
  class EngineCall : public http::CallEvents {
   public:
    bool OnResponseHead(http::CallId id, const http::Head& head) override;
    void OnResponseBody(http::CallId id, std::string_view bytes) override;
    void OnResponseEnd(http::CallId id) override;
    void OnCallFailed(http::CallId id, http::CallFailure failure) override;

    enum class State { kIdle, kWaiting, kAnswered, kFailed };
    State state = State::kIdle;
    http::CallId id;
    TimePoint answer_by{};
    int status = 0;
    std::string body;
  };

  void StepCall(EngineCall* call, TimePoint now);
  bool StartCall(EngineCall* call, std::string request, Duration time,
                 TimePoint now);
  void PollReport(TimePoint now);
  void TakeReport(const EngineReport& report, TimePoint now);
  void MeasurePace(const EngineReport& report, TimePoint now);
  void Balance(TimePoint now);
  void SendDecisions(TimePoint now);
  void SendDecisionsOf(ReservationQueue* queue, EngineAdmission* room,
                       TimePoint now);
  // The capacity for computing prompts in the engine's present role, or nullptr
  // if it has none.
  EngineAdmission* RoomForPrompts();
  bool Decodes() const;
  bool Prefills() const;
  void ReportLoad(TimePoint now);
  void SendLoad(const VmName& entry);
  // What entries rank this engine by: for a decode engine the expected memory
  // use, for a prefill engine the prompts not yet computed, both with the
  // prompts of waiting reservations.
  Tokens Burden() const;
  // The latest registration of the engine on this VM, or nullptr.
  const RegisteredUpstream* Own() const;

  Options m_options;
  const EngineCodec* m_codec;
  UpstreamDirectory* m_directory;
  http::ConnectionPool* m_pool;
  PeerLink* m_peers;
  const Clock* m_clock;
  EventLog* m_log;

  KvCacheLedger m_ledger;
  DecodeAdmission m_decode_room{&m_ledger};
  PrefillAdmission m_prefill_room;
  LocalPrefillAdmission m_local_prefill_room;
  ReservationQueue m_decode_queue;
  ReservationQueue m_prefill_queue;
  PoolBalance m_balance;
  std::optional<EngineReport> m_report;
  TimePoint m_report_at{};
  EngineCall m_poll;
  EngineCall m_order;
  TimePoint m_next_poll{};
  TimePoint m_next_order{};
  TimePoint m_next_load{};
  Tokens m_last_reported;  // Load in the last report.
  std::set<VmName> m_entries;
  double m_pace = 0;  // Output tokens per second of one run.
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_ENGINE_AGENT_H_

#ifndef BURDOCKHILL_SRC_GATEWAY_GATEWAY_H_
#define BURDOCKHILL_SRC_GATEWAY_GATEWAY_H_

#include <string>
#include <utility>
#include <vector>

#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/gateway/object_feed.h"
#include "burdockhill/src/gateway/plain_requests.h"
#include "burdockhill/src/gateway/shutdown.h"
#include "burdockhill/src/gateway/stream_calls.h"
#include "burdockhill/src/gateway/take_up.h"
#include "burdockhill/src/gateway/team_admission.h"
#include "burdockhill/src/gateway/team_resolution.h"

namespace burdockhill {

// Receives the HTTP requests of callers, finds their routes, and dispatches
// them to the controller for plain requests or for streams of model engines.
class Gateway : public http::ServerEvents,
                public TeamAdmissionEvents,
                private TakeUpEvents {
 public:
  Gateway(EntryBoard* board, PlainRequests* plain, StreamCalls* streams,
          StreamOrigins* origins)
      : m_board(board),
        m_plain(plain),
        m_streams(streams),
        m_take_ups(board, origins, this) {}

  // Requests of teams with a limit pass through `admission`.
  void SetTeamAdmission(TeamAdmission* admission) { m_admission = admission; }

  void OnRequest(http::ExchangeId id, http::Head head,
                 std::string body) override;
  void OnAdmitted(RoutedRequest routed) override {
    Dispatch(std::move(routed));
  }
  void OnCallerDisconnected(http::ExchangeId id) override;
  void OnOutputDrained(http::ExchangeId id) override;
  void OnIdleConnection(Duration idle_time, bool closed) override;
  void OnInvalidStatus(http::ExchangeId id, int status) override;

  // Whether the load balancer should send callers here.
  bool IsReady() const;
  // Whether no request is in progress.
  bool IsIdle() const {
    return m_plain->InProgressCount() + m_streams->InProgressCount() +
                   m_take_ups.InProgressCount() ==
               0 &&
           (m_admission == nullptr || m_admission->InProgressCount() == 0);
  }

  // Runs periodic work. Call once per iteration of the event loop.
  void Tick();

  // Begins a planned stop. The process is killed `stop_time` later.
  void Leave(Duration stop_time);
  bool IsLeaving() const { return m_shutdown.HasBegun(); }
  // Whether the process ends now, given the bytes that the operating system has
  // not accepted yet. Call after Tick.
  bool HasStopped(size_t unsent_bytes);

 private:
  // Passes on a request whose route and team are known. Refuses one that cannot
  // be served by this process or any upstream.
  void Dispatch(RoutedRequest routed);
  void OnTakenUp(RoutedRequest routed) override { Begin(std::move(routed)); }
  // Passes on a request that goes to upstreams of its service.
  void Begin(RoutedRequest routed);
  // Closes and refuses what the stop leaves no time for.
  void CloseForShutdown(TimePoint now);
  // Limits the calls to each upstream to this entry's share of the connections
  // that the upstream accepts from all entries.
  void DivideConnectionLimits();

  EntryBoard* m_board;
  PlainRequests* m_plain;
  StreamCalls* m_streams;
  TakeUps m_take_ups;
  TeamAdmission* m_admission = nullptr;
  Shutdown m_shutdown;
  TeamFaultLog m_team_faults;
  bool m_idle_connections_closed = false;
  bool m_stopped_listening = false;
  Generation m_limits_from;  // Of the connection limits in force.
};

// Decodes configurations from the store and applies valid ones to the route
// table and the server limits of an entry. Rejected ones are logged and
// counted, and faults of teams are counted.
class ConfigurationUpdater : public FeedEvents {
 public:
  ConfigurationUpdater(EntryBoard* board, const ObjectCodec* codec)
      : m_board(board), m_codec(codec) {}
  void OnList(const std::vector<FeedObject>& objects,
              StoreRevision revision) override;
  void OnChange(const FeedObject& object) override;
  void OnStoreCallFailed() override {}

 private:
  EntryBoard* m_board;
  const ObjectCodec* m_codec;
};

// Applies the registrations in the store to a directory of upstreams.
class UpstreamDirectoryUpdater : public FeedEvents {
 public:
  UpstreamDirectoryUpdater(UpstreamDirectory* directory,
                           const ObjectCodec* codec, const Clock* clock,
                           EventLog* log)
      : m_directory(directory), m_codec(codec), m_clock(clock), m_log(log) {}
  void OnList(const std::vector<FeedObject>& objects,
              StoreRevision revision) override;
  void OnChange(const FeedObject& object) override;
  void OnStoreCallFailed() override {
    m_directory->RecordOutage(m_clock->Now());
  }

 private:
  // Logs a registration that is invalid and returns nullopt.
  std::optional<RegisteredUpstream> DecodeRegistration(
      const FeedObject& object);

  UpstreamDirectory* m_directory;
  const ObjectCodec* m_codec;
  const Clock* m_clock;
  EventLog* m_log;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_GATEWAY_H_

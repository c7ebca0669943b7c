#include "burdockhill/src/gateway/gateway.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

void Gateway::OnRequest(http::ExchangeId id, http::Head head,
                        std::string body) {
  const TimePoint now = m_board->clock->Now();
  RoutedRequest routed;
  routed.exchange = id;
  routed.arrived_at = now;
  std::optional<InboundRequest> request =
      m_board->codec->DecodeRequest(std::move(head), std::move(body));
  if (!request.has_value()) {
    return FailRequest(m_board, routed, ErrorKind::kBadRequest, Duration(0),
                       "request id or host is missing");
  }
  routed.request = std::move(*request);
  if (!m_board->routes.HasConfiguration()) {
    return FailRequest(m_board, routed, ErrorKind::kNotReady, Duration(0),
                       "no configuration");
  }
  routed.generation = m_board->routes.Configuration().generation;
  const Route* route =
      m_board->routes.Find(routed.request.host, routed.request.path);
  if (route != nullptr) routed.route = *route;
  if (!ResolveTeam(m_board, routed.route.is_public, &routed)) return;
  if (route == nullptr) {
    return FailRequest(m_board, routed, ErrorKind::kNotFound, Duration(0),
                       "no route");
  }
  // A stream that is taken up goes on at its own service, see TakeUps. Entries
  // of the former software look for it at the one that its attempt draws. The
  // lowest bit of the hash is always set.
  const uint64_t draw = route->kind == RequestKind::kResumableStream
                            ? HashRequestId(StreamAttemptOf(routed)).Value() / 2
                            : m_board->random->NextNumber();
  routed.service = RouteTable::PickService(*route, draw);
  Duration limit = route->timeout;
  if (routed.request.caller_timeout.has_value()) {
    limit = std::min(limit, *routed.request.caller_timeout);
  }
  routed.deadline = now + limit;
  if (m_admission != nullptr) return m_admission->Admit(std::move(routed));
  Dispatch(std::move(routed));
}

void Gateway::Dispatch(RoutedRequest routed) {
  const TimePoint now = m_board->clock->Now();
  if (!m_shutdown.Takes(now, routed.deadline, routed.route.latency_target)) {
    return FailRequest(m_board, routed, ErrorKind::kLeaving, Duration(0),
                       "would outlast this process");
  }
  if (IsLeaving()) {
    routed.deadline = std::min(routed.deadline, m_shutdown.AnswerDeadline());
  }
  if (IsBarred(m_board, routed)) {
    return FailRequest(m_board, routed, ErrorKind::kBarred, Duration(0),
                       "upstreams that ran it have crashed");
  }
  if (IsTakeUp(routed)) return m_take_ups.Begin(std::move(routed));
  Begin(std::move(routed));
}

void Gateway::Begin(RoutedRequest routed) {
  const bool on_engines = m_board->StreamRole(routed.service).has_value();
  if (on_engines && IsStream(routed.route.kind)) {
    m_streams->Begin(std::move(routed));
  } else {
    m_plain->Begin(std::move(routed));
  }
}

void Gateway::OnCallerDisconnected(http::ExchangeId id) {
  if (m_admission != nullptr && m_admission->OnCallerDisconnected(id)) return;
  if (m_take_ups.OnCallerDisconnected(id)) return;
  if (m_plain->OnCallerDisconnected(id)) return;
  m_streams->OnCallerDisconnected(id);
}

void Gateway::OnOutputDrained(http::ExchangeId id) {
  m_plain->OnOutputDrained(id);
  m_streams->OnOutputDrained(id);
}

void Gateway::OnIdleConnection(Duration idle_time, bool closed) {
  if (closed) {
    return m_board->metrics.IncrementCounter(
        "burdockhill_idle_connections_closed_total", {});
  }
  m_board->metrics.IncrementCounter("burdockhill_idle_connections_kept_total",
                                    {});
  m_board->log->Write("idle_connection_kept",
                      {{"idle_us", idle_time.count()},
                       {"reason", std::string("a request has arrived")}});
}

void Gateway::OnInvalidStatus(http::ExchangeId /*id*/, int status) {
  m_board->log->Write("invalid_status", {{"status", int64_t{status}}});
}

bool Gateway::IsReady() const {
  return !m_board->leaving && m_board->routes.HasConfiguration() &&
         m_board->upstreams.HasList();
}

void Gateway::Tick() {
  const TimePoint now = m_board->clock->Now();
  m_board->upstreams.Expire(now);
  m_board->placement.DropUnregistered(m_board->upstreams);
  m_board->rate_limits.DropUnregistered(m_board->upstreams, now);
  m_board->pauses.DropEnded(m_board->upstreams, now);
  m_board->poison_detector.Tick(m_board->upstreams, now);
  for (const PromptCrash& crash :
       m_board->poison_detector.DrainPromptCrashes()) {
    m_board->prompt_parts.RecordCrash(crash, now);
  }
  m_board->prompt_parts.Tick(now);
  DivideConnectionLimits();
  m_team_faults.Tick(m_board);
  if (m_board->prompt_parts.TakeNewBlame()) {
    m_take_ups.RefuseBarred();
    m_streams->RefuseBarredStreams();
  }
  m_take_ups.Tick();
  m_plain->Tick();
  m_streams->Tick();
  CloseForShutdown(now);
}

void Gateway::Leave(Duration stop_time) {
  m_shutdown.Begin(m_board->clock->Now(), stop_time);
  m_board->leaving = true;
  m_board->shutdown_deadline = m_shutdown.AnswerDeadline();
  m_plain->LimitDeadlines(m_board->shutdown_deadline);
  m_streams->LimitDeadlines(m_board->shutdown_deadline);
  m_take_ups.LimitDeadlines(m_board->shutdown_deadline);
  if (m_admission != nullptr) {
    m_admission->LimitDeadlines(m_board->shutdown_deadline);
  }
  m_board->server->DisableKeepAlive();
  m_board->log->Write(
      "leaving",
      {{"open_requests",
        static_cast<int64_t>(m_board->server->OpenExchangeCount())}});
}

void Gateway::CloseForShutdown(TimePoint now) {
  if (!m_shutdown.CallersAreElsewhere(now)) return;
  if (!std::exchange(m_idle_connections_closed, true)) {
    m_board->server->CloseIdleConnections();
  }
  if (now >= m_shutdown.AnswerDeadline()) {
    m_board->server->RefuseUnfinishedRequests();
  }
}

bool Gateway::HasStopped(size_t unsent_bytes) {
  const TimePoint now = m_board->clock->Now();
  const bool idle =
      IsIdle() && !m_board->server->IsReceiving() && unsent_bytes == 0;
  if (!m_shutdown.IsOver(now, idle)) return false;
  if (std::exchange(m_stopped_listening, true)) return true;
  if (m_board->server->StopListening() == 0) return true;
  m_shutdown.RestartQuietTime(now);
  return false;
}

void Gateway::DivideConnectionLimits() {
  if (!m_board->routes.HasConfiguration()) return;
  const RoutingConfiguration& configuration = m_board->routes.Configuration();
  if (std::exchange(m_limits_from, configuration.generation) !=
      configuration.generation) {
    m_board->placement.ClearMaxInFlight();
  }
  const auto entries = static_cast<int>(1 + m_board->connected_entries);
  for (const Service& service : configuration.services) {
    if (service.max_connections == 0) continue;
    m_board->placement.SetMaxInFlight(
        service.name, std::max(1, service.max_connections / entries));
  }
}

void ConfigurationUpdater::OnList(const std::vector<FeedObject>& objects,
                                  StoreRevision /*revision*/) {
  for (const FeedObject& object : objects) OnChange(object);
}

void ConfigurationUpdater::OnChange(const FeedObject& object) {
  if (object.deleted) return;
  std::optional<RoutingConfiguration> configuration =
      m_codec->DecodeConfiguration(object);
  if (!configuration.has_value()) {
    m_board->log->Write(
        "configuration_rejected",
        {{"object", object.name},
         {"revision", static_cast<int64_t>(object.revision.number)}});
    m_board->metrics.IncrementCounter(
        "burdockhill_configurations_rejected_total", {});
    return;
  }
  const auto generation =
      static_cast<int64_t>(configuration->generation.Value());
  const auto routes = static_cast<int64_t>(configuration->routes.size());
  const auto teams = static_cast<int64_t>(configuration->teams.size());
  const int64_t skipped = configuration->skipped_entries;
  const bool applied = m_board->routes.Apply(std::move(*configuration));
  m_board->log->Write("configuration_received", {{"generation", generation},
                                                 {"routes", routes},
                                                 {"teams", teams},
                                                 {"skipped", skipped},
                                                 {"in_force", applied}});
  if (!applied) return;
  CountTeamFaults(m_board);
  const CallerLimits& limits = m_board->routes.Configuration().limits;
  http::ServerLimits server_limits;
  server_limits.max_header_bytes = limits.max_header_bytes;
  server_limits.max_body_bytes = limits.max_body_bytes;
  server_limits.header_timeout = limits.header_timeout;
  server_limits.idle_timeout = limits.idle_timeout;
  m_board->server->SetLimits(server_limits);
}

std::optional<RegisteredUpstream> UpstreamDirectoryUpdater::DecodeRegistration(
    const FeedObject& object) {
  std::optional<RegisteredUpstream> upstream = m_codec->DecodeUpstream(object);
  if (!upstream.has_value()) {
    m_log->Write("registration_ignored",
                 {{"upstream", object.name},
                  {"revision", static_cast<int64_t>(object.revision.number)}});
  }
  return upstream;
}

void UpstreamDirectoryUpdater::OnList(const std::vector<FeedObject>& objects,
                                      StoreRevision revision) {
  std::vector<RegisteredUpstream> upstreams;
  for (const FeedObject& object : objects) {
    if (auto upstream = DecodeRegistration(object)) {
      upstreams.push_back(std::move(*upstream));
    }
  }
  m_log->Write("upstreams_listed",
               {{"count", static_cast<int64_t>(upstreams.size())},
                {"revision", static_cast<int64_t>(revision.number)}});
  m_directory->ApplyList(std::move(upstreams), revision, m_clock->Now());
}

void UpstreamDirectoryUpdater::OnChange(const FeedObject& object) {
  const UpstreamName name(object.name);
  if (object.deleted) {
    m_log->Write("upstream_gone", {{"upstream", object.name}});
    return m_directory->ApplyRemoval(name, object.revision, m_clock->Now());
  }
  auto upstream = DecodeRegistration(object);
  // An upstream whose new registration is invalid is no longer usable.
  if (!upstream.has_value()) {
    return m_directory->ApplyRemoval(name, object.revision, m_clock->Now());
  }
  m_log->Write("upstream_changed",
               {{"upstream", object.name},
                {"address", upstream->address},
                {"leaving", upstream->leaving},
                {"revision", static_cast<int64_t>(object.revision.number)}});
  m_directory->ApplyUpdate(std::move(*upstream));
}

}  // namespace burdockhill

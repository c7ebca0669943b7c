#include "burdockhill/src/daemon/gateway_process.h"

#include <fstream>
#include <functional>
#include <sstream>
#include <utility>

#include "burdockhill/gateway.h"
#include "burdockhill/src/daemon/event_log_writer.h"
#include "burdockhill/src/daemon/heap.h"
#include "burdockhill/src/daemon/logging.h"
#include "burdockhill/src/daemon/process_support.h"
#include "burdockhill/src/daemon/stop_signal.h"
#include "burdockhill/src/transport/event_loop.h"
#include "burdockhill/src/transport/peer_transport.h"
#include "burdockhill/src/transport/tcp_sockets.h"
#include "platform/platform.h"

namespace burdockhill {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(50);
// Interval at which an agent polls the cached list of upstreams. It needs no
// watch, since it uses the list only to find its own engine and to plan roles.
constexpr Duration kAgentListInterval = std::chrono::milliseconds(1200);

ObjectFeed::Options FeedOptions(const std::string& name,
                                const GatewaySettings& settings) {
  ObjectFeed::Options options;
  options.name = name;
  options.address = settings.store;
  return options;
}

// Options of an entry's feed of upstreams. Every change of an upstream ends a
// watch call of every entry, so that changes that come in series are collected.
// An upstream that leaves is noticed within less than half of the time in which
// it may still get requests, which leaves the rest for failed calls.
ObjectFeed::Options UpstreamFeedOptions(const GatewaySettings& settings) {
  ObjectFeed::Options options = FeedOptions("upstreams", settings);
  options.watch_delay = settings.drain_time * 2 / 5;
  return options;
}

ObjectFeed::Options AgentFeedOptions(const GatewaySettings& settings) {
  ObjectFeed::Options options = FeedOptions("upstreams", settings);
  options.list_interval = kAgentListInterval;
  return options;
}

PeerTransport::Options GatewayPeerOptions(const GatewaySettings& settings,
                                          Incarnation incarnation) {
  PeerTransport::Options options = PeerOptions(settings, incarnation);
  options.self.keeps_origins = true;
  options.self.grants_leases = settings.role == Role::kEntry;
  return options;
}

// Serves the same page for every request to one address.
class PageServer : public http::ServerEvents {
 public:
  struct Page {
    int status = http::kOk;
    std::string body;
  };

  PageServer(Sockets* sockets, const Clock* clock, std::function<Page()> page)
      : m_server(sockets, clock, this), m_page(std::move(page)) {}
  void Listen(const std::string& address) {
    m_server.Listen(*ParseAddress(address));
  }
  void CheckTimeouts(TimePoint now) { m_server.CheckTimeouts(now); }

  void OnRequest(http::ExchangeId id, http::Head /*head*/,
                 std::string /*body*/) override {
    const Page page = m_page();
    http::Head head;
    head.status = page.status;
    head.headers.Add("Content-Type", "text/plain");
    m_server.Respond(id, head, page.body);
  }
  void OnCallerDisconnected(http::ExchangeId /*id*/) override {}

 private:
  http::Server m_server;
  std::function<Page()> m_page;
};

// Objects that both roles use. Members are destroyed in reverse order, so each
// is declared after those that it uses.
struct ProcessContext {
  explicit ProcessContext(const GatewaySettings& settings)
      : random(RandomSeed()),
        incarnation(random.NextId()),
        log(settings.vm.Value(), &clock),
        sockets(&loop),
        pool(&sockets, &clock),
        peers(&loop, GatewayPeerOptions(settings, incarnation), &random) {
    WatchStopSignals(&loop);
    loop.Buffers().SetLimit(settings.MaxBufferedBytes());
    if (settings.max_connections > 0) {
      loop.Connections().SetMax(settings.max_connections);
    }
  }

  void CheckTimeouts(TimePoint now) {
    if (now < next_timeout_check) return;
    next_timeout_check = now + kTimeoutCheckInterval;
    sockets.CheckTimeouts(now);
    pool.CheckTimeouts(now);
    heap.Tick(now);
  }

  SystemClock clock;
  Random random;
  Incarnation incarnation;
  EventLogWriter log;
  EventLoop loop;
  TcpSockets sockets;
  http::ConnectionPool pool;
  PeerTransport peers;
  HeapTrimmer heap{&loop.Buffers()};
  TimePoint next_timeout_check{};
};

// Parses the settings file again and passes it to `apply` if it is valid. Does
// nothing unless SIGHUP was received since the last call.
void ReloadSettings(const std::string& path, EventLog* log,
                    const std::function<void(const GatewaySettings&)>& apply) {
  if (!ConsumeReloadRequest()) return;
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  FieldErrors errors;
  const auto settings = ParseGatewaySettings(text.str(), &errors);
  log->Write("settings_read", {{"accepted", settings.has_value()},
                               {"errors", FormatErrors(errors)}});
  if (settings.has_value()) apply(*settings);
}

int RunGatewayEntry(const GatewaySettings& settings, const std::string& path) {
  ProcessContext context(settings);
  const platform::PlatformRequestCodec request_codec;
  const platform::PlatformObjectCodec object_codec;
  const platform::PlatformFeedCodec configuration_calls(
      settings.store, platform::kConfigurationKind);
  const platform::PlatformFeedCodec upstream_calls(settings.store,
                                                   platform::kUpstreamKind);
  EntryBoard board(settings.zone);
  board.clock = &context.clock;
  board.random = &context.random;
  board.connections = &context.pool;
  board.codec = &request_codec;
  board.log = &context.log;
  board.retry_budget.SetLimits(settings.retry_limits);
  if (!settings.IsSeed()) board.retry_budget.DrawReserves(&context.random);
  BufferReporter buffers(&context.loop.Buffers(), &context.log, &board.metrics);
  ConnectionReporter connections(&context.loop.Connections(), &context.log,
                                 &board.metrics);
  const ResponseReporter responses(&context.pool, &context.log, &board.metrics);

  Reservations reservations({context.incarnation, settings.peer_port}, &board,
                            &context.peers);
  UpstreamPermits permits({settings.vm, settings.seeds, settings.peer_port},
                          &board, &context.peers);
  ReplicatedStreamOrigins origins(&board, &context.peers);
  PlainRequests plain(&board, &permits, &origins);
  StreamCalls streams(&board, &reservations, &permits, &origins);
  reservations.SetEvents(&streams);
  Gateway gateway(&board, &plain, &streams, &origins);
  TeamAdmission admission(
      {settings.vm, settings.seeds, settings.limit_tolerance}, &board,
      &context.peers, &board.routes.Teams());
  admission.SetEvents(&gateway);
  gateway.SetTeamAdmission(&admission);
  http::Server server(&context.sockets, &context.clock, &gateway);
  board.server = &server;

  PageServer readiness(&context.sockets, &context.clock, [&] {
    return gateway.IsReady()
               ? PageServer::Page{http::kOk, "ready\n"}
               : PageServer::Page{http::kUnavailable, "not ready\n"};
  });
  PageServer metrics(&context.sockets, &context.clock, [&] {
    buffers.UpdateGauges();
    connections.UpdateGauges();
    return PageServer::Page{http::kOk, board.metrics.PrometheusText()};
  });
  server.Listen(*ParseAddress(settings.callers));
  readiness.Listen(settings.readiness);
  if (!settings.metrics.empty()) metrics.Listen(settings.metrics);

  ConfigurationUpdater configuration_updater(&board, &object_codec);
  UpstreamDirectoryUpdater upstream_updater(&board.upstreams, &object_codec,
                                            &context.clock, &context.log);
  PeerRelay relay({settings.vm, settings.seeds, settings.peer_port,
                   platform::kConfigurationName},
                  &object_codec, &board.routes, &board.upstreams,
                  &board.poison_detector, &board.prompt_parts, &context.peers,
                  &context.clock, &context.log, &configuration_updater,
                  &upstream_updater);
  PeerEventDispatcher peer_dispatcher({&reservations, &origins},
                                      {&relay, &permits, &admission, &origins});
  context.peers.SetEvents(&peer_dispatcher);
  CachingConfigurationEvents caching_configurations(&configuration_updater,
                                                    &relay);
  CachingRegistrationEvents caching_registrations(&upstream_updater, &relay,
                                                  &object_codec);
  ObjectFeed configurations(FeedOptions("configuration", settings),
                            &configuration_calls, &context.pool, &context.clock,
                            &context.random, &context.log,
                            &caching_configurations);
  ObjectFeed registrations(UpstreamFeedOptions(settings), &upstream_calls,
                           &context.pool, &context.clock, &context.random,
                           &context.log, &caching_registrations);
  const FeedFreshness freshness(&configurations, &relay);
  board.freshness = &freshness;
  context.log.Write("started", {{"role", std::string("entry")},
                                {"zone", settings.zone.Value()}});

  for (;;) {
    context.loop.WakeAfter(kTickInterval);
    context.loop.RunOnce();
    const TimePoint now = context.clock.Now();
    configurations.Tick();
    registrations.Tick();
    relay.Tick();
    board.connected_entries = relay.ConnectedEntries();
    reservations.Tick();
    permits.Tick();
    admission.Tick();
    origins.Tick();
    gateway.Tick();
    context.peers.Flush(now);
    context.CheckTimeouts(now);
    server.CheckTimeouts(now);
    readiness.CheckTimeouts(now);
    metrics.CheckTimeouts(now);
    ReloadSettings(path, &context.log, [&](const GatewaySettings& reloaded) {
      board.retry_budget.SetLimits(reloaded.retry_limits);
    });
    if (!StopRequested()) continue;
    if (!gateway.IsLeaving()) gateway.Leave(settings.stop_time);
    const size_t unsent_bytes = context.sockets.TotalPendingBytes();
    if (!gateway.HasStopped(unsent_bytes)) continue;
    context.log.Write(
        "stopped",
        {{"cut_off", static_cast<int64_t>(server.OpenExchangeCount())},
         {"unsent_bytes", static_cast<int64_t>(unsent_bytes)}});
    return 0;
  }
}

int RunGatewayAgent(const GatewaySettings& settings, const std::string& path) {
  ProcessContext context(settings);
  const platform::PlatformEngineCodec engine_codec;
  const platform::PlatformObjectCodec object_codec;
  const platform::PlatformFeedCodec upstream_calls(settings.store,
                                                   platform::kUpstreamKind);
  BufferReporter buffers(&context.loop.Buffers(), &context.log,
                         /*metrics=*/nullptr);
  const ConnectionReporter connections(&context.loop.Connections(),
                                       &context.log, /*metrics=*/nullptr);
  const ResponseReporter responses(&context.pool, &context.log,
                                   /*metrics=*/nullptr);
  UpstreamDirectory directory;
  UpstreamDirectoryUpdater upstream_updater(&directory, &object_codec,
                                            &context.clock, &context.log);
  ObjectFeed registrations(AgentFeedOptions(settings), &upstream_calls,
                           &context.pool, &context.clock, &context.random,
                           &context.log, &upstream_updater);
  EngineAgent agent({settings.vm, settings.engine}, &engine_codec, &directory,
                    &context.pool, &context.peers, &context.clock,
                    &context.log);
  context.peers.SetEvents(&agent);
  context.log.Write(
      "started", {{"role", std::string("agent")}, {"engine", settings.engine}});
  for (;;) {
    context.loop.WakeAfter(kTickInterval);
    context.loop.RunOnce();
    const TimePoint now = context.clock.Now();
    registrations.Tick();
    agent.Tick();
    context.peers.Flush(now);
    context.CheckTimeouts(now);
    ReloadSettings(path, &context.log, [](const GatewaySettings&) {});
    if (!StopRequested()) continue;
    context.log.Write("stopped", {});
    return 0;
  }
}

}  // namespace

int RunGatewayProcess(const GatewaySettings& settings,
                      const std::string& path) {
  return settings.role == Role::kEntry ? RunGatewayEntry(settings, path)
                                       : RunGatewayAgent(settings, path);
}

}  // namespace burdockhill

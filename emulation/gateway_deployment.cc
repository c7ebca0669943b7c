#include "emulation/gateway_deployment.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace burdockhill::emulation {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kReconnectDelay = std::chrono::milliseconds(500);
constexpr uint16_t kPeerPort = 7660;
constexpr char kService[] = "llm";
constexpr char kPlainService[] = "plain";
constexpr int kEntriesPerSubnet = 200;
constexpr int kSlots = 64;
constexpr double kLengthSigma = 0.5;

std::string EntryAddress(int index) {
  return "10.1." + std::to_string(index / kEntriesPerSubnet) + "." +
         std::to_string(index % kEntriesPerSubnet + 1) + ":80";
}

std::string PlainAddress(int index) {
  return "10.0.2." + std::to_string(index + 1) + ":80";
}

// Processes are spread over availability zones in turn.
ZoneName ZoneOf(int index, int zones) {
  return ZoneName("z" + std::string(static_cast<size_t>(index % zones), '+'));
}

std::string RunnerHost(int index) {
  return "10.0.1." + std::to_string(index + 1);
}

RoutingConfiguration MakeConfiguration(RequestKind kind, Tokens memory) {
  RoutingConfiguration configuration;
  configuration.generation = Generation(1);
  Route route;
  route.name = RouteName("r");
  route.host = "h";
  route.path_prefix = "/";
  route.kind = kind;
  route.services = {{ServiceName(kService), 1}};
  route.timeout = std::chrono::seconds(14);
  route.latency_target = std::chrono::milliseconds(900);
  route.gap_target = std::chrono::milliseconds(300);
  route.max_attempts = 2;
  Route plain = route;
  plain.name = RouteName("plain");
  plain.path_prefix = "/plain/";
  plain.kind = RequestKind::kIdempotent;
  plain.services = {{ServiceName(kPlainService), 1}};
  plain.timeout = std::chrono::seconds(3);
  plain.latency_target = std::chrono::milliseconds(300);
  configuration.routes = {route, plain};
  Service plain_service;
  plain_service.name = ServiceName(kPlainService);
  Service service;
  service.name = ServiceName(kService);
  service.engine = EngineLimits{kSlots, memory};
  configuration.services = {service, plain_service};
  return configuration;
}

}  // namespace

// ---- Processes ----

struct GatewayDeployment::Entry {
  Entry(GatewayDeployment* deployment, int index,
        const RoutingConfiguration& routes)
      : link(deployment, MakeHello(index, deployment->m_options.zones)),
        random(deployment->m_options.seed + static_cast<uint64_t>(index)),
        pool(&deployment->m_socket_network, &deployment->m_clock),
        board(MakeBoard(&deployment->m_clock)),
        reservations({Incarnation(static_cast<uint64_t>(index) + 1), kPeerPort},
                     &board, &link),
        origins(&board, &link),
        permits({EntryVm(index), SeedHosts(deployment->m_options), kPeerPort},
                &board, &link),
        relay({EntryVm(index), SeedHosts(deployment->m_options), kPeerPort, ""},
              &objects, &board.routes, &board.upstreams, &board.poison_detector,
              &board.prompt_parts, &link, &deployment->m_clock,
              &deployment->m_log, &no_events, &no_events),
        server(&deployment->m_socket_network, &deployment->m_clock, &gateway) {
    board.random = &random;
    const bool is_seed = index < deployment->m_options.seeds;
    if (!is_seed) board.retry_budget.DrawReserves(&random);
    board.connections = &pool;
    board.codec = &deployment->m_requests;
    board.log = &deployment->m_log;
    board.server = &server;
    board.routes.Apply(routes);
    reservations.SetEvents(&streams);
    server.Listen(*ParseAddress(EntryAddress(index)));
  }

  static EntryBoard MakeBoard(const Clock* clock) {
    EntryBoard board{ZoneName("z")};
    board.clock = clock;
    return board;
  }

  static std::vector<std::string> SeedHosts(const Options& options) {
    std::vector<std::string> hosts;
    hosts.reserve(static_cast<size_t>(options.seeds));
    for (int i = 0; i < options.seeds; ++i) hosts.push_back(EntryVm(i).Value());
    return hosts;
  }

  static Hello MakeHello(int index, int zones) {
    Hello hello;
    hello.vm = EntryVm(index);
    hello.zone = ZoneOf(index, zones);
    hello.keeps_origins = true;
    return hello;
  }

  void Tick(TimePoint now) {
    relay.Tick();
    board.connected_entries = relay.ConnectedEntries();
    reservations.Tick();
    permits.Tick();
    origins.Tick();
    gateway.Tick();
    pool.CheckTimeouts(now);
    server.CheckTimeouts(now);
  }

  PeerEvents* Events() { return &dispatcher; }

  // The upstreams and routes do not come from a store.
  class NoFeedEvents : public FeedEvents {
    void OnList(const std::vector<FeedObject>&, StoreRevision) override {}
    void OnChange(const FeedObject&) override {}
    void OnStoreCallFailed() override {}
  };

  DeploymentLink link;
  NoFeedEvents no_events;
  Random random;
  http::ConnectionPool pool;
  EntryBoard board;
  Reservations reservations;
  ReplicatedStreamOrigins origins;
  UpstreamPermits permits;
  platform::PlatformObjectCodec objects;
  PeerRelay relay;
  PeerEventDispatcher dispatcher{{&reservations, &origins},
                                 {&relay, &permits, &origins}};
  PlainRequests plain{&board, &permits, &origins};
  StreamCalls streams{&board, &reservations, &permits, &origins};
  Gateway gateway{&board, &plain, &streams, &origins};
  http::Server server;
};

struct GatewayDeployment::Agent {
  Agent(GatewayDeployment* deployment, const std::string& host,
        const std::string& address,
        const std::vector<RegisteredUpstream>& upstreams)
      : link(deployment, MakeHello(host)),
        pool(&deployment->m_socket_network, &deployment->m_clock),
        agent({VmName(host), address}, &deployment->m_engine_calls, &directory,
              &pool, &link, &deployment->m_clock, &deployment->m_log) {
    directory.ApplyList(upstreams, 1, deployment->m_clock.Now());
  }

  static Hello MakeHello(const std::string& host) {
    Hello hello;
    hello.vm = VmName(host);
    hello.role = Role::kAgent;
    hello.keeps_origins = true;
    return hello;
  }

  void Tick(TimePoint now) {
    agent.Tick();
    pool.CheckTimeouts(now);
  }

  DeploymentLink link;
  UpstreamDirectory directory;
  http::ConnectionPool pool;
  EngineAgent agent;
};

class GatewayDeployment::Caller : public http::CallEvents {
 public:
  Caller(CallerResult* result, const Clock* clock)
      : m_result(result), m_clock(clock) {}

  bool OnResponseHead(http::CallId /*id*/, const http::Head& head) override {
    ++m_result->response_count;
    m_result->status = head.status;
    const std::string* retry_after = head.headers.Find("Retry-After");
    m_result->has_retry_after = retry_after != nullptr;
    if (retry_after != nullptr) {
      m_result->retry_after =
          Duration(static_cast<int64_t>(std::stod(*retry_after) * 1e6));
    }
    return true;
  }
  size_t OnResponseBody(http::CallId /*id*/, std::string_view bytes) override {
    const int64_t before = m_events.Count();
    m_events.Append(bytes);
    if (m_result->status == http::kOk && m_events.Count() > before) {
      RecordEvents(before);
    }
    return m_events.PartialSize();
  }
  void OnResponseEnd(http::CallId /*id*/) override {
    m_result->ended_at = m_clock->Now();
    m_result->complete = m_result->status == http::kOk;
  }
  void OnCallFailed(http::CallId /*id*/,
                    http::CallFailure /*failure*/) override {
    m_result->ended_at = m_clock->Now();
    m_result->failed = true;
  }

  http::CallId call;

 private:
  void RecordEvents(int64_t earlier_events) {
    const TimePoint now = m_clock->Now();
    if (earlier_events == 0) {
      m_result->first_event_at = now;
    } else {
      m_result->longest_gap =
          std::max(m_result->longest_gap, now - m_result->last_event_at);
    }
    m_result->last_event_at = now;
    m_result->event_count = m_events.Count();
  }

  CallerResult* m_result;
  const Clock* m_clock;
  http::SseEventSplitter m_events;
};

// ---- Messages ----

void DeploymentLink::Connect(const VmName& vm, const std::string& /*address*/) {
  if (m_self.role == Role::kEntry) {
    m_deployment->m_dialled_by[vm].insert(m_self.vm);
  }
  GatewayDeployment* owner = m_deployment;
  owner->m_queue.Schedule(
      owner->m_options.network_delay,
      [owner, vm, self = m_self] { owner->Dial(self, vm); });
}

void DeploymentLink::Send(const VmName& vm, Message message) {
  GatewayDeployment* owner = m_deployment;
  if (std::holds_alternative<PermitRequest>(message)) {
    ++owner->m_permit_requests;
  }
  if (const auto* prefill = std::get_if<ReservePrefill>(&message)) {
    owner->m_prefill_attempts.insert(prefill->attempt);
  }
  if (const auto* refused = std::get_if<AttemptRefused>(&message)) {
    ++(owner->m_prefill_attempts.contains(refused->attempt)
           ? owner->m_refused_prefills
           : owner->m_refused_decodes);
  }
  owner->m_queue.Schedule(
      owner->MessageDelay(m_self.vm, vm),
      [owner, vm, from = m_self.vm, sent = std::move(message)] {
        if (owner->IsCut(from, vm)) return;
        owner->Deliver(from, vm, sent);
      });
}

// ---- Deployment ----

GatewayDeployment::GatewayDeployment(const Options& options)
    : m_options(options),
      m_socket_network(&m_queue, options.network_delay),
      m_random(options.seed) {
  std::vector<RegisteredUpstream>& upstreams = m_registrations;
  const int runners = options.prefill_runners + options.decode_runners;
  for (int i = 0; i < runners; ++i) {
    ModelRunnerFake::Options runner;
    runner.address = RunnerHost(i) + ":80";
    runner.role = i < options.prefill_runners ? EngineRole::kPrefill
                                              : EngineRole::kDecode;
    runner.memory = options.kv_memory;
    runner.prefill_overhead = options.prefill_overhead;
    runner.tokens_per_event = options.tokens_per_event;
    runner.ignores_orders = options.ignores_orders;
    runner.loses_kv = i == 0 && options.first_runner_loses_kv;
    runner.lose_every_nth_prefill = options.lose_every_nth_prefill;
    m_runners.push_back(std::make_unique<ModelRunnerFake>(
        runner, &m_socket_network, &m_queue, &m_clock, &m_handles, &m_counts));
    if (runner.role == EngineRole::kDecode) {
      m_decode_addresses.push_back(runner.address);
    }
    RegisteredUpstream upstream;
    upstream.name = UpstreamName("runner-" + std::to_string(i));
    upstream.service = ServiceName(kService);
    upstream.address = runner.address;
    upstream.zone = ZoneOf(i, options.zones);
    upstream.version = SoftwareVersion("v1");
    upstream.role = runner.role;
    upstream.slots = kSlots;
    upstream.revision = 1;
    upstreams.push_back(upstream);
  }
  m_agents.resize(static_cast<size_t>(runners));
  for (int i = 0; i < runners; ++i) StartAgent(i);
  for (int i = 0; i < options.plain_upstreams; ++i) {
    m_plain.push_back(std::make_unique<PlainRunnerFake>(
        PlainAddress(i), &m_socket_network, &m_queue, &m_clock, &m_counts));
    RegisteredUpstream upstream;
    upstream.name = UpstreamName("plain-" + std::to_string(i));
    upstream.service = ServiceName(kPlainService);
    upstream.address = PlainAddress(i);
    upstream.zone = ZoneName("z");
    upstream.version = SoftwareVersion("v1");
    upstream.revision = 1;
    upstreams.push_back(upstream);
  }
  m_routes = MakeConfiguration(options.kind, Tokens(options.kv_memory));
  for (int i = 0; i < options.entries; ++i) AddEntry();
  RunFor(std::chrono::milliseconds(500));
}

GatewayDeployment::~GatewayDeployment() = default;

VmName GatewayDeployment::EntryVm(int index) {
  return VmName(ParseAddress(EntryAddress(index))->host);
}

void GatewayDeployment::StartEntry(int index) {
  auto entry = std::make_unique<Entry>(this, index, m_routes);
  m_peers[EntryVm(index)] = entry->Events();
  m_hellos[EntryVm(index)] = Entry::MakeHello(index, m_options.zones);
  entry->board.upstreams.ApplyList(m_registrations, 1, m_clock.Now());
  m_entries.at(static_cast<size_t>(index)) = std::move(entry);
}

ReplicatedStreamOrigins& GatewayDeployment::Origins(int entry) {
  return m_entries.at(static_cast<size_t>(entry))->origins;
}

void GatewayDeployment::AddEntry() {
  m_entries.emplace_back();
  StartEntry(EntryCount() - 1);
}

void GatewayDeployment::KillEntry(int index) {
  const VmName vm = EntryVm(index);
  m_socket_network.KillListeningProcess(EntryAddress(index));
  m_ended_entries.push_back(
      std::move(m_entries.at(static_cast<size_t>(index))));
  Disconnect(vm);
}

void GatewayDeployment::RestartEntry(int index) {
  KillEntry(index);
  StartEntry(index);
  Redial(EntryVm(index));
}

void GatewayDeployment::KillAgent(int index) {
  m_ended_agents.push_back(std::move(m_agents.at(static_cast<size_t>(index))));
  Disconnect(VmName(RunnerHost(index)));
}

void GatewayDeployment::RestartAgent(int index) {
  KillAgent(index);
  StartAgent(index);
  Redial(VmName(RunnerHost(index)));
}

void GatewayDeployment::StartAgent(int index) {
  const std::string host = RunnerHost(index);
  std::unique_ptr<Agent>& agent = m_agents.at(static_cast<size_t>(index));
  agent = std::make_unique<Agent>(this, host, host + ":80", m_registrations);
  m_peers[VmName(host)] = &agent->agent;
  m_hellos[VmName(host)] = Agent::MakeHello(host);
}

void GatewayDeployment::Disconnect(const VmName& vm) {
  m_peers.erase(vm);
  for (const auto& [other, events] : m_peers) events->OnPeerDown(vm);
}

void GatewayDeployment::Redial(const VmName& vm) {
  for (const VmName& other : m_dialled_by[vm]) {
    m_queue.Schedule(kReconnectDelay, [this, hello = m_hellos.at(other), vm] {
      Dial(hello, vm);
    });
  }
}

void GatewayDeployment::ThawEntry(int index) {
  const VmName vm = EntryVm(index);
  m_frozen.erase(vm);
  for (const HeldMessage& held : std::exchange(m_held, {})) {
    Deliver(held.from, held.to, held.message);
  }
}

Duration GatewayDeployment::MessageDelay(const VmName& from, const VmName& to) {
  Duration delay = m_options.network_delay;
  const bool slow = m_options.slow_messages > 0 &&
                    m_random.UniformBelow(m_options.slow_messages) == 0;
  if (slow) delay += m_options.extra_delay;
  // Messages of a connection arrive in order.
  TimePoint& last = m_last_arrival[{from, to}];
  last = std::max(last, m_clock.Now() + delay);
  return last - m_clock.Now();
}

void GatewayDeployment::Dial(const Hello& from, const VmName& to) {
  const auto peer = m_peers.find(to);
  const auto own = m_peers.find(from.vm);
  if (peer == m_peers.end() || own == m_peers.end() || IsCut(to, from.vm) ||
      m_frozen.contains(to) || m_frozen.contains(from.vm)) {
    return;
  }
  peer->second->OnPeerUp(from);
  own->second->OnPeerUp(m_hellos.at(to));
}

void GatewayDeployment::Deliver(const VmName& from, const VmName& to,
                                const Message& message) {
  if (m_frozen.contains(to)) {
    m_held.push_back({from, to, message});
    return;
  }
  const auto peer = m_peers.find(to);
  if (peer != m_peers.end()) peer->second->OnMessage(from, message);
}

void GatewayDeployment::TickAll() {
  const TimePoint now = m_clock.Now();
  for (const auto& agent : m_agents) {
    if (agent != nullptr) agent->Tick(now);
  }
  for (int i = 0; i < EntryCount(); ++i) {
    if (m_frozen.contains(EntryVm(i))) continue;
    Entry* entry = m_entries.at(static_cast<size_t>(i)).get();
    if (entry != nullptr) entry->Tick(now);
  }
}

void GatewayDeployment::UpdateRegistrations() {
  for (size_t i = 0; i < m_runners.size(); ++i) {
    RegisteredUpstream& registration = m_registrations[i];
    if (registration.role == m_runners[i]->Role()) continue;
    registration.role = m_runners[i]->Role();
    ++registration.revision.number;
    Register(registration);
  }
}

void GatewayDeployment::Register(const RegisteredUpstream& registration) {
  for (const auto& agent : m_agents) {
    if (agent != nullptr) agent->directory.ApplyUpdate(registration);
  }
  for (const auto& entry : m_entries) {
    if (entry != nullptr) entry->board.upstreams.ApplyUpdate(registration);
  }
}

void GatewayDeployment::RegisterRunnersAgain() {
  for (RegisteredUpstream& registration : m_registrations) {
    registration.name = UpstreamName(registration.name.Value() + "-again");
    ++registration.revision.number;
    Register(registration);
  }
}

void GatewayDeployment::RunFor(Duration time) {
  const TimePoint until = m_clock.Now() + time;
  while (m_clock.Now() < until) {
    m_queue.RunUntil(m_clock.Now() + kTickInterval, [] {});
    UpdateRegistrations();
    TickAll();
  }
}

void GatewayDeployment::SendRequest(const std::string& id) {
  const double normal = std::sqrt(-2 * std::log(1 - m_random.UniformDouble())) *
                        std::cos(2 * M_PI * m_random.UniformDouble());
  const auto prompt = static_cast<int64_t>(3000 + m_random.UniformBelow(4000));
  const int64_t spread =
      m_options.max_output_estimate - m_options.min_output_estimate;
  const int64_t estimate = m_options.min_output_estimate +
                           static_cast<int64_t>(m_random.UniformBelow(
                               static_cast<uint64_t>(spread)));
  const auto length = static_cast<int64_t>(std::clamp(
      static_cast<double>(estimate) * std::exp(kLengthSigma * normal),
      10.0 * static_cast<double>(m_options.tokens_per_event),
      130.0 * static_cast<double>(m_options.tokens_per_event)));
  const auto entry = static_cast<int>(m_random.UniformBelow(m_entries.size()));
  m_counts.stream_retries.CountRequest(m_clock.Now());
  Call(id, entry,
       "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
           "\r\nX-Token-Counts: " + std::to_string(prompt) + ",7930" +
           "\r\nX-Length-Hint: " + std::to_string(estimate) +
           "\r\nX-True-Length: " + std::to_string(length) +
           "\r\nX-Deadline-Ms: 14000\r\nContent-Length: 0\r\n\r\n");
}

void GatewayDeployment::Call(const std::string& id, int entry,
                             const std::string& request) {
  CallerResult& result = m_results[id];
  result.entry = entry;
  result.sent_at = m_clock.Now();
  auto caller = std::make_unique<Caller>(&result, &m_clock);
  caller->call =
      m_caller_pool.Start(EntryAddress(entry), request, caller.get(), {});
  m_callers[id] = std::move(caller);
}

void GatewayDeployment::SendPlainRequest(const std::string& id, int entry) {
  m_counts.plain_retries.CountRequest(m_clock.Now());
  Call(id, entry,
       "POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n");
}

void GatewayDeployment::GeneratePlainLoad(double per_second, Duration time,
                                          const std::function<int()>& choose) {
  const TimePoint start = m_clock.Now();
  const size_t first = m_results.size();
  size_t sent = 0;
  while (m_clock.Now() < start + time) {
    const double seconds =
        std::chrono::duration<double>(m_clock.Now() - start).count();
    while (static_cast<double>(sent) < seconds * per_second) {
      SendPlainRequest("p" + std::to_string(first + sent++), choose());
    }
    RunFor(kTickInterval);
  }
}

void GatewayDeployment::DisconnectCaller(const std::string& id) {
  m_caller_pool.Cancel(m_callers.at(id)->call);
  m_results.at(id).disconnected = true;
}

void GatewayDeployment::CrashDecodeRunner(int index) {
  const auto at = static_cast<size_t>(m_options.prefill_runners) +
                  static_cast<size_t>(index);
  m_runners.at(at)->Crash();
  m_socket_network.KillListeningProcess(
      m_decode_addresses.at(static_cast<size_t>(index)));
}

void GatewayDeployment::GenerateLoad(double per_second, Duration time) {
  const TimePoint until = m_clock.Now() + time;
  const size_t first = m_results.size();
  const TimePoint start = m_clock.Now();
  size_t sent = 0;
  while (m_clock.Now() < until) {
    const double seconds =
        std::chrono::duration<double>(m_clock.Now() - start).count();
    while (static_cast<double>(sent) < seconds * per_second) {
      SendRequest("q" + std::to_string(first + sent++));
    }
    RunFor(kTickInterval);
  }
}

int64_t GatewayDeployment::MemoryUsed() const {
  int64_t used = 0;
  for (const auto& runner : m_runners) used += runner->MemoryUsed();
  return used;
}

int GatewayDeployment::PrefillRunnerCount() const {
  return static_cast<int>(
      std::count_if(m_runners.begin(), m_runners.end(), [](const auto& runner) {
        return runner->Role() == EngineRole::kPrefill;
      }));
}

void GatewayDeployment::SetOutputEstimates(int64_t min, int64_t max) {
  m_options.min_output_estimate = min;
  m_options.max_output_estimate = max;
}

size_t GatewayDeployment::OpenRunCount() const {
  size_t runs = 0;
  for (const auto& runner : m_runners) runs += runner->RunCount();
  return runs;
}

size_t GatewayDeployment::OpenRequestCount() const {
  size_t open = 0;
  for (const auto& entry : m_entries) {
    if (entry != nullptr) open += entry->server.OpenExchangeCount();
  }
  return open;
}

}  // namespace burdockhill::emulation

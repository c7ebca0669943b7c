#include "emulation/entry_agent_deployment.h"

#include <algorithm>

namespace burdockhill::emulation {

namespace {
constexpr Duration kTickInterval = std::chrono::milliseconds(5);
constexpr Duration kReconnectInterval = std::chrono::milliseconds(500);
constexpr int64_t kBytesPerToken = 4;
}  // namespace

EntryAgentDeployment::EntryAgentDeployment(
    const EntryAgentDeploymentOptions& options)
    : m_options(options),
      m_random(options.seed),
      m_queue(&m_clock),
      m_network(&m_queue, &m_random),
      m_platform(&m_queue, &m_clock, &m_random),
      m_callers(&m_clock) {
  for (size_t z = 0; z < m_options.zones; ++z) {
    const ZoneName zone("zone-" + std::to_string(z));
    const bool is_far =
        !m_options.has_single_region && z + 1 == m_options.zones;
    const RegionName region(is_far ? "region-1" : "region-0");
    for (size_t i = 0; i < m_options.entries_per_zone; ++i) {
      Hello hello;
      hello.vm = VmName("entry-" + std::to_string(m_entries.size()));
      hello.role = Role::kEntry;
      hello.zone = zone;
      hello.region = region;
      m_entries.push_back(std::make_unique<EntryFake>(
          hello, &m_clock, &m_random, &m_network, &m_platform, &m_callers));
      m_network.AddNode(m_entries.back().get());
      RegisterVm(hello);
    }
    const auto add_model_upstreams = [&](bool prefill, size_t count) {
      for (size_t i = 0; i < count; ++i) {
        std::vector<standins::EngineOptions> engines(
            m_options.engines_per_upstream, m_options.engine);
        for (standins::EngineOptions& engine : engines) {
          engine.is_prefill = prefill;
          engine.seed = m_random.NextId();
        }
        AddUpstream((prefill ? "prefill-" : "decode-") + std::to_string(z) +
                        "-" + std::to_string(i),
                    zone, region, false, engines);
      }
    };
    add_model_upstreams(true, m_options.prefill_upstreams_per_zone);
    add_model_upstreams(false, m_options.decode_upstreams_per_zone);
    AddUpstream("app-" + std::to_string(z), zone, region, true, {});
  }
  WriteInitialResources();
  for (const auto& upstream : m_upstreams) upstream->Start();
  for (const auto& entry : m_entries) entry->Start();
}

void EntryAgentDeployment::AddUpstream(
    const std::string& vm, const ZoneName& zone, const RegionName& region,
    bool plain, const std::vector<standins::EngineOptions>& engines) {
  UpstreamFake::Options options;
  options.hello.vm = VmName(vm);
  options.hello.role = Role::kAgent;
  options.hello.zone = zone;
  options.hello.region = region;
  options.service = ServiceName(plain ? kPlainService : kModelService);
  options.plain = plain;
  options.engines = engines;
  m_upstreams.push_back(
      std::make_unique<UpstreamFake>(options, &m_queue, &m_clock, &m_random,
                                     &m_network, &m_directory, &m_executions));
  m_network.AddNode(m_upstreams.back().get());
  RegisterVm(options.hello);
}

void EntryAgentDeployment::RegisterVm(const Hello& hello) {
  ListedVm vm;
  vm.name = hello.vm;
  vm.role = hello.role;
  vm.peer_address = hello.vm.Value();
  vm.zone = hello.zone;
  vm.region = hello.region;
  m_platform.Vms().push_back(vm);
}

void EntryAgentDeployment::WriteInitialResources() {
  WriteResource("RoutingPolicy", "default", m_options.policy);
  WriteResource("ModelService", kModelService, "{}");
  WriteResource("PlainService", kPlainService,
                R"({"routes":[{"path_prefix":"/","methods":["GET"],)"
                R"("repeatable":true}],)"
                R"("duplicate_key":{"header":"Idempotency-Key"}})");
  for (const auto& upstream : m_upstreams) {
    const std::string& vm = upstream->Self().vm.Value();
    const bool plain = vm.starts_with("app-");
    WriteResource("Upstream", vm,
                  std::string(R"({"service":")") +
                      (plain ? kPlainService : kModelService) + R"(","vm":")" +
                      vm + R"("})");
  }
  WriteResource("Team", "shops",
                std::string(R"({"key_sha256":")") + kKeySha256 + R"(",)" +
                    m_options.team_limits + "}");
}

void EntryAgentDeployment::WriteResource(const std::string& kind,
                                         const std::string& name,
                                         const std::string& spec) {
  const ResourceKey key{kind, name};
  StoredObject object;
  uint64_t version = 0;
  m_platform.Model().Get(key, &object);
  m_platform.Model().Put(key, spec, object.version, &version);
}

void EntryAgentDeployment::RunFor(Duration time) {
  const TimePoint end = m_clock.Now() + time;
  while (m_clock.Now() < end) {
    const TimePoint next = std::min(end, m_clock.Now() + kTickInterval);
    m_queue.RunUntil(next, [] {});
    TickAll();
  }
}

void EntryAgentDeployment::TickAll() {
  if (m_clock.Now() >= m_next_reconnect_at) {
    m_next_reconnect_at = m_clock.Now() + kReconnectInterval;
    m_network.ReconnectAll();
  }
  m_platform.CompleteWatches();
  for (const auto& upstream : m_upstreams) {
    upstream->StepEngines();
    upstream->Tick();
  }
  for (const auto& entry : m_entries) entry->Tick();
}

bool EntryAgentDeployment::RunUntilReady(Duration limit) {
  const TimePoint end = m_clock.Now() + limit;
  while (m_clock.Now() < end) {
    RunFor(std::chrono::milliseconds(100));
    const bool ready =
        std::all_of(m_entries.begin(), m_entries.end(), [](const auto& entry) {
          if (!entry->IsUp() || entry->IsPaused()) return true;
          const auto configuration = entry->Core()->Board().configuration;
          if (configuration == nullptr) return false;
          const auto& views = entry->Core()->Board().upstreams;
          return configuration->teams.Teams().size() == 1 && !views.empty() &&
                 std::all_of(views.begin(), views.end(), [](const auto& item) {
                   return item.second.IsUsable() &&
                          !item.second.report->engines.empty() &&
                          item.second.report->engines.front().healthy;
                 });
        });
    if (ready) return true;
  }
  return false;
}

std::optional<RequestId> EntryAgentDeployment::SendRequest(
    size_t entry, CallerRequest request) {
  EntryFake& node = *m_entries.at(entry);
  if (!node.IsUp() || node.IsPaused()) return std::nullopt;
  request.id = RequestId(m_random.NextId());
  request.key = KeyDigest::FromHex(kKeySha256);
  m_callers.Add(request, entry);
  const RequestId id = request.id;
  node.Core()->Submit(std::move(request));
  return id;
}

std::optional<RequestId> EntryAgentDeployment::SendPrompt(
    size_t entry, const std::string& prompt, int64_t max_tokens) {
  CallerRequest request;
  request.service = ServiceName(kModelService);
  request.prompt = prompt;
  request.prompt_tokens =
      Tokens(static_cast<int64_t>(prompt.size()) / kBytesPerToken + 1);
  request.max_output = Tokens(max_tokens);
  return SendRequest(entry, std::move(request));
}

std::optional<RequestId> EntryAgentDeployment::SendCall(
    size_t entry, const std::string& method, const std::string& body,
    const std::string& key) {
  CallerRequest request;
  request.service = ServiceName(kPlainService);
  request.plain = true;
  request.method = method;
  request.path = "/orders";
  request.body = body;
  request.idempotency_key = key;
  return SendRequest(entry, std::move(request));
}

void EntryAgentDeployment::Close(RequestId id) {
  CallerView& view = m_callers.Views().at(id);
  if (!view.IsOpen()) return;
  view.disconnected = true;
  EntryFake* node = m_entries.at(view.entry).get();
  node->RunInEpoch(node->Epoch(),
                   [node, id] { node->Core()->OnCallerDisconnected(id); });
}

void EntryAgentDeployment::CrashEntry(size_t index) {
  for (auto& [id, view] : m_callers.Views()) {
    if (view.entry == index && view.IsOpen()) view.entry_crashed = true;
  }
  m_entries.at(index)->Crash();
}

std::vector<std::string> EntryAgentDeployment::RequestsHeldInEngines() const {
  std::vector<std::string> held;
  for (const auto& upstream : m_upstreams) {
    for (size_t i = 0; i < upstream->EngineCount(); ++i) {
      for (const std::string& id : upstream->Engine(i).HeldRequests()) {
        held.push_back(upstream->Self().vm.Value() + " " + id);
      }
    }
  }
  return held;
}

}  // namespace burdockhill::emulation

#include "soak/upstreams.h"

#include <algorithm>
#include <iostream>
#include <iterator>
#include <limits>
#include <utility>

namespace burdockhill::soak {

namespace {

using emulation::ModelRunnerFake;
using emulation::PlainRunnerFake;
using nlohmann::json;

constexpr int kPlainServices = 2;
// One engine in this many computes prompts.
constexpr int kEnginesPerPrefill = 4;
// A store that was restored has what upstreams and operators write after this.
constexpr Duration kWriteAgainDelay = std::chrono::milliseconds(1500);
// From the registration of an engine as draining to the end of its process.
constexpr Duration kDrainTime = std::chrono::milliseconds(2500);
// From the end of an engine's process to the start of the next.
constexpr Duration kReplaceTime = std::chrono::milliseconds(400);
constexpr int kMoreAttempts = 4;
constexpr int64_t kFirstBorn = 1000;
constexpr char kSecondService[] = "llm-2";
constexpr int64_t kIdleLimitsMs[] = {2000, 6000, 3000, 2500, 8000};

EngineRole RoleOf(int i) {
  return i % kEnginesPerPrefill == 0 ? EngineRole::kPrefill
                                     : EngineRole::kDecode;
}

// With class weights, every other group of engines serves another service. Its
// versions have names of their own, so that a stream of two services shows.
bool IsOfSecondService(const Environment& environment, int i) {
  return environment.Plays("weights") && i / kEnginesPerPrefill % 2 == 1;
}

std::string FirstVersionOf(const Environment& environment, int i) {
  const int group = i / kEnginesPerPrefill / (environment.Plays("weights") + 1);
  const bool is_second = environment.Plays("versions") && group % 2 == 1;
  return std::string(IsOfSecondService(environment, i) ? "other-" : "") +
         (is_second ? "v2" : "v1");
}

std::string OtherVersion(std::string version) {
  version.back() = version.back() == '1' ? '2' : '1';
  return version;
}

}  // namespace

Upstreams::Upstreams(const Environment& environment)
    : m_environment(environment),
      m_random(environment.seed),
      m_store(
          environment.sockets, environment.clock,
          environment.Host(0, environment.Plays("endless") ? 2 : 1) + ":7900") {
  if (environment.Plays("endless")) {
    m_store_proxy = std::make_unique<FaultProxy>(
        environment.sockets, environment.queue, environment.clock,
        environment.Host(0, 1) + ":7900", environment.Host(0, 2) + ":7900");
  }
  ChangeConfiguration();
  for (int i = 0; i < environment.engines; ++i) AddEngine(i);
  for (int i = 0; i < kPlainServices; ++i) AddPlain(i);
  if (environment.Plays("endless")) {
    const std::string address = PlainHost(kPlainServices) + ":8080";
    m_steady_service = std::make_unique<PlainRunnerFake>(
        address, environment.sockets, environment.queue, environment.clock,
        &m_counts);
    Register("steady", {{"service", "steady"},
                        {"address", address},
                        {"state", "ready"},
                        {"version", "v1"},
                        {"born", kFirstBorn}});
  }
  m_store.SaveCopy();
}

void Upstreams::ChangeConfiguration() {
  ++m_version;
  json services = json::array();
  services.push_back({{"name", "llm"},
                      {"maxConns", 300},
                      {"engine", {{"slots", 64}, {"kvTokens", 100000}}}});
  if (m_environment.Plays("weights")) {
    services.push_back(services.back());
    services.back()["name"] = kSecondService;
  }
  services.push_back({{"name", "plain"}, {"maxConns", 300}});
  if (m_environment.Plays("endless")) {
    services.push_back({{"name", "steady"}, {"maxConns", 300}});
  }
  json routes = json::array();
  const auto add = [&](const std::string& path, const char* kind,
                       bool resumable, const char* service) {
    routes.push_back(
        {{"name", path},
         {"host", "h"},
         {"pathPrefix", path},
         {"kind", kind},
         {"timeoutMs", 6000},
         {"targetLatencyMs", 900},
         {"targetGapMs", 300},
         {"maxAttempts", m_environment.Plays("budget") ? kMoreAttempts : 2},
         {"resumable", resumable},
         {"service", service}});
  };
  add("/once/", "unsafe", false, "plain");
  add("/safe/", "safe", false, "plain");
  add("/stream/", "streaming", false, "llm");
  add("/resume/", "streaming", true, "llm");
  if (m_environment.Plays("weights")) {
    const int weight = m_version % 2 == 0 ? 95 : 5;
    routes.back().erase("service");
    routes.back()["trafficSplit"] = {
        {{"service", "llm"}, {"weight", weight}},
        {{"service", kSecondService}, {"weight", 100 - weight}}};
  }
  add(NewestPath(), "safe", false, "plain");
  if (m_environment.Plays("endless")) add("/steady/", "safe", false, "steady");
  m_configuration = {
      {"version", m_version}, {"routes", routes}, {"services", services}};
  if (m_environment.Plays("idle-limits")) {
    const int64_t limit_ms =
        kIdleLimitsMs[m_random.UniformBelow(std::size(kIdleLimitsMs))];
    m_idle_limit = std::chrono::milliseconds(limit_ms);
    m_configuration["limits"] = {{"idleTimeoutMs", limit_ms}};
  }
  m_store.Put("config", "main", m_configuration);
}

void Upstreams::AddEngine(int i) {
  const std::string target_address = m_environment.Host(2, 1 + i) + ":8080";
  ModelRunnerFake::Options options;
  options.address = target_address;
  options.role = RoleOf(i);
  options.name = "e" + std::to_string(i);
  options.version = FirstVersionOf(m_environment, i);
  options.started_at_ms = kFirstBorn;
  Engine engine;
  engine.fake = std::make_unique<ModelRunnerFake>(
      options, m_environment.sockets, m_environment.queue, m_environment.clock,
      &m_handles, &m_counts);
  engine.name = options.name;
  m_engines.push_back(std::move(engine));
  m_proxies.push_back(std::make_unique<FaultProxy>(
      m_environment.sockets, m_environment.queue, m_environment.clock,
      EngineHost(i) + ":8080", target_address));
  RegisterEngine(i, "ready");
}

void Upstreams::AddPlain(int i) {
  const std::string target_address = m_environment.Host(4, 1 + i) + ":8080";
  m_plain_services.push_back(std::make_unique<PlainRunnerFake>(
      target_address, m_environment.sockets, m_environment.queue,
      m_environment.clock, &m_counts));
  m_proxies.push_back(std::make_unique<FaultProxy>(
      m_environment.sockets, m_environment.queue, m_environment.clock,
      PlainHost(i) + ":8080", target_address));
  RegisterPlain(i, "ready");
}

void Upstreams::RegisterPlain(int i, const std::string& state) {
  const std::string name = "p" + std::to_string(i);
  // An upstream that was leaving starts again.
  const bool starts = m_registrations.contains(name) && state == "ready";
  Register(name, {{"service", "plain"},
                  {"address", PlainHost(i) + ":8080"},
                  {"state", state},
                  {"version", "v1"},
                  {"born", starts ? kFirstBorn + m_writes + 1 : kFirstBorn}});
}

void Upstreams::RegisterEngine(int i, const std::string& state) {
  const Engine& engine = m_engines[i];
  Register(
      engine.name,
      {{"service",
        IsOfSecondService(m_environment, i) ? kSecondService : "llm"},
       {"address", EngineHost(i) + ":8080"},
       {"state", state},
       {"version", engine.fake->Version()},
       {"born", engine.fake->StartedAtMs()},
       {"stage", RoleOf(i) == EngineRole::kPrefill ? "prefill" : "decode"}});
}

void Upstreams::Register(const std::string& name, json spec) {
  spec["zone"] = "z";
  spec["slots"] = 64;
  spec["coldRemainingMs"] = 0;
  spec["seq"] = ++m_writes;
  m_registrations[name] = spec;
  m_store.Put("servers", name, spec);
}

void Upstreams::Release() {
  const auto i = static_cast<int>(m_random.UniformBelow(m_engines.size()));
  const bool is_planned = m_random.UniformBelow(3) != 0;
  const bool keeps_name = m_random.UniformBelow(2) == 0;
  Engine& engine = m_engines[i];
  if (!engine.is_ready) return;
  ++m_event_counts.releases;
  engine.is_ready = false;
  engine.since = m_environment.clock->Now();
  if (is_planned) RegisterEngine(i, "draining");
  m_environment.queue->Schedule(
      is_planned ? kDrainTime : Duration(0), [this, i, keeps_name] {
        m_proxies[i]->SetGone(true);
        m_environment.queue->Schedule(kReplaceTime, [this, i, keeps_name] {
          FinishRelease(i, keeps_name);
        });
      });
}

void Upstreams::FinishRelease(int i, bool keeps_name) {
  Engine& engine = m_engines[i];
  if (!keeps_name) {
    m_store.Delete("servers", engine.name);
    m_registrations.erase(engine.name);
    m_gone_names.push_back(engine.name);
    engine.name = "e" + std::to_string(i) + "-" + std::to_string(m_writes);
  }
  engine.fake->Restart(engine.name, OtherVersion(engine.fake->Version()),
                       kFirstBorn + m_writes + 1);
  m_proxies[i]->SetGone(false);
  engine.is_ready = true;
  engine.since = m_environment.clock->Now();
  RegisterEngine(i, "ready");
}

std::vector<int> Upstreams::ServingEngines(const std::string& version,
                                           Duration time) const {
  std::vector<int> serving;
  for (int i = 0; i < m_environment.engines; ++i) {
    const Engine& engine = m_engines[i];
    if (RoleOf(i) == EngineRole::kDecode && engine.is_ready &&
        engine.fake->Version() == version &&
        m_environment.clock->Now() - engine.since > time &&
        m_proxies[i]->IsSoundFor(time)) {
      serving.push_back(i);
    }
  }
  return serving;
}

std::vector<const emulation::RequestRate*> Upstreams::Rates(bool plain) {
  std::vector<const emulation::RequestRate*> rates;
  if (plain) {
    for (const auto& fake : m_plain_services) rates.push_back(&fake->Rate());
  } else {
    for (const Engine& engine : m_engines) {
      rates.push_back(&engine.fake->Rate());
    }
  }
  return rates;
}

int Upstreams::RunsOf(const std::string& request) const {
  const auto it = m_counts.starts_by_request.find(request);
  return it == m_counts.starts_by_request.end() ? 0 : it->second;
}

int64_t Upstreams::HeldTokens() const {
  int64_t tokens = 0;
  for (const Engine& engine : m_engines) tokens += engine.fake->MemoryUsed();
  return tokens;
}

int Upstreams::CutHeadCount() const {
  int count = 0;
  for (const auto& proxy : m_proxies) count += proxy->CutCount();
  return count;
}

int Upstreams::MalformedCount() const {
  int count = 0;
  for (const auto& proxy : m_proxies) count += proxy->MalformedCount();
  return count;
}

// What is in force is written again a while later.
void Upstreams::RestoreStore() {
  m_store.Restore();
  ++m_event_counts.restores;
  m_write_again_at = m_environment.clock->Now() + kWriteAgainDelay;
}

void Upstreams::WriteAll() {
  // A store that was restored has entries of processes that are gone.
  for (const std::string& name : m_gone_names) m_store.Delete("servers", name);
  for (auto& [name, spec] : m_registrations) {
    spec["seq"] = ++m_writes;
    m_store.Put("servers", name, spec);
  }
  m_store.Put("config", "main", m_configuration);
}

void Upstreams::Tick() {
  m_store.Tick();
  for (const auto& proxy : m_proxies) proxy->Tick();
  if (m_store_proxy != nullptr) m_store_proxy->Tick();
  if (m_write_again_at == TimePoint() ||
      m_environment.clock->Now() < m_write_again_at) {
    return;
  }
  m_write_again_at = TimePoint();
  WriteAll();
}

}  // namespace burdockhill::soak

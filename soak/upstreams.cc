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
constexpr Duration kPause = std::chrono::milliseconds(2000);
// A store that was restored has what upstreams and operators write after this.
constexpr Duration kWriteAgainDelay = std::chrono::milliseconds(1500);
// From the registration of an engine as draining to the end of its process.
constexpr Duration kDrainTime = std::chrono::milliseconds(2500);
// From the end of an engine's process to the start of the next.
constexpr Duration kReplaceTime = std::chrono::milliseconds(400);
constexpr Duration kMinSilence = std::chrono::milliseconds(700);
constexpr uint64_t kMaxMoreSilenceMs = 600;
constexpr Duration kMinEndless = std::chrono::milliseconds(1000);
constexpr uint64_t kMaxMoreEndlessMs = 1500;
constexpr uint64_t kEndlessPerStore = 5;
constexpr Duration kMoreSilence = std::chrono::milliseconds(1500);
constexpr Duration kLostAnswersTime = std::chrono::milliseconds(5000);
constexpr uint64_t kMaxHeadsToCut = 4;
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

void Upstreams::BeginEndless() {
  const auto& answers = EndlessAnswers();
  const Duration duration =
      kMinEndless +
      std::chrono::milliseconds(m_random.UniformBelow(kMaxMoreEndlessMs));
  m_endless_until = m_environment.clock->Now() + duration;
  std::cout << "ENDLESS for " << duration.count() / 1000 << " ms:";
  const auto begin = [&](FaultProxy* proxy, const std::string& name) {
    const EndlessAnswer& answer =
        answers[m_random.UniformBelow(answers.size())];
    proxy->SendEndless(answer, m_endless_until);
    std::cout << " " << name << " " << answer.name;
  };
  if (m_random.UniformBelow(kEndlessPerStore) == 0) {
    begin(m_store_proxy.get(), "store");
  } else {
    const size_t first = m_random.UniformBelow(m_proxies.size());
    for (size_t i = 0; i < m_proxies.size(); ++i) {
      const bool is_engine = i < m_engines.size();
      if (i != first && m_random.UniformBelow(2) != 0) continue;
      begin(m_proxies[i].get(),
            is_engine ? "e" + std::to_string(i)
                      : "p" + std::to_string(i - m_engines.size()));
    }
  }
  std::cout << "\n";
  ++m_event_counts.endless;
}

void Upstreams::EndEndless() {
  for (const auto& proxy : m_proxies) proxy->EndEndless();
  if (m_store_proxy != nullptr) m_store_proxy->EndEndless();
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

// Has an upstream state a limit until the load ends.
void Upstreams::LimitUpstream() {
  const size_t index =
      m_random.UniformBelow(m_engines.size() + m_plain_services.size());
  const bool plain = index >= m_engines.size();
  emulation::RequestRate& rate =
      plain ? m_plain_services[index - m_engines.size()]->Rate()
            : m_engines[index].fake->Rate();
  if (rate.Limit().has_value()) return;
  rate.SetLimit((plain ? 2.0 : 0.5) * (1 + m_random.UniformDouble()));
  m_limited.push_back({&rate, *rate.Limit(), m_environment.clock->Now(), {}});
}

void Upstreams::LiftLimits() {
  for (Limited& limited : m_limited) {
    limited.rate->SetLimit(std::nullopt);
    limited.until = m_environment.clock->Now();
  }
}

// Has the last plain service leave, or pause, unless it does already.
void Upstreams::MakeStatement(bool leaves) {
  const TimePoint now = m_environment.clock->Now();
  if (!m_statements.empty() && now < m_statements.back().until) return;
  const TimePoint until = leaves ? TimePoint::max() : now + kPause;
  m_statements.push_back({leaves, now, until});
  if (leaves) {
    StatingService().SetStatesLeaving(true);
  } else {
    StatingService().PauseUntil(until);
  }
}

// A new process takes the place of one that leaves.
void Upstreams::EndLeaving() {
  if (m_statements.empty() || !m_statements.back().leaves) return;
  Statement& statement = m_statements.back();
  statement.until = std::min(statement.until, m_environment.clock->Now());
  StatingService().SetStatesLeaving(false);
  RegisterPlain(kPlainServices - 1, "ready");
}

// With the budget, of half of the other upstreams too, and for longer; retries
// at plain services are many.
void Upstreams::Silence(FaultProxy* proxy, TimePoint until) {
  proxy->SilenceUntil(until);
  if (!m_environment.Plays("budget")) return;
  for (const auto& other : m_proxies) {
    if (m_random.UniformBelow(2) == 0) {
      other->SilenceUntil(until + kMoreSilence);
    }
  }
  // The plain services run each try for a while, and its answer is lost.
  for (size_t i = m_engines.size(); i < m_proxies.size(); ++i) {
    FaultProxy* plain = m_proxies[i].get();
    plain->CutHeads(std::numeric_limits<int>::max(), /*position=*/0.5,
                    /*reset=*/true);
    m_environment.queue->Schedule(kLostAnswersTime,
                                  [plain] { plain->CutHeads(0, 0, false); });
  }
}

// Returns false if the run plays no such fault, or it is another one's turn.
bool Upstreams::InjectFaultOfClass() {
  const bool is_engine = m_random.UniformBelow(2) == 0;
  FaultProxy& proxy =
      *m_proxies[is_engine ? m_random.UniformBelow(m_engines.size())
                           : m_random.UniformBelow(m_proxies.size())];
  const uint64_t number = m_random.UniformBelow(kMaxMoreSilenceMs);
  switch (m_random.UniformBelow(m_environment.is_calm ? 4 : 8)) {
    case 0:
      if (m_environment.is_calm) ChangeConfiguration();
      return m_environment.is_calm;
    case 1:
      if (m_environment.Plays("versions")) Release();
      return m_environment.Plays("versions");
    case 2:
      if (!m_environment.Plays("heads")) return false;
      proxy.CutHeads(static_cast<int>(1 + number % kMaxHeadsToCut),
                     m_random.UniformDouble(), number % 2 == 0);
      return true;
    case 3:
      if (!m_environment.Plays("silence")) return false;
      ++m_event_counts.silences;
      Silence(&proxy, m_environment.clock->Now() + kMinSilence +
                          std::chrono::milliseconds(number));
      return true;
    default:
      return false;
  }
}

void Upstreams::InjectFault() {
  if (m_environment.Plays("endless") &&
      m_environment.clock->Now() >= m_endless_until &&
      m_random.UniformBelow(2) == 0) {
    return BeginEndless();
  }
  if (InjectFaultOfClass() || m_environment.is_calm) return;
  FaultProxy& proxy = *m_proxies[m_random.UniformBelow(m_proxies.size())];
  switch (m_random.UniformBelow(22)) {
    case 0:
      return proxy.CloseAll(/*reset=*/true);
    case 9:
      return proxy.CloseAll(/*reset=*/false);
    case 1:
      return proxy.SetFault(FaultProxy::Fault::kDropAll);
    case 2:
      return proxy.SetFault(FaultProxy::Fault::kDropResponses);
    case 3:
      return m_store.SetOutage(Store::Outage::kSilent);
    case 4:
      return m_store.SetOutage(Store::Outage::kErrors);
    case 5:
      return m_store.DiscardHistory();
    case 6:
      return RegisterPlain(
          0, m_random.UniformBelow(2) == 0 ? "draining" : "ready");
    case 7:
      return proxy.SetDelay(
          std::chrono::milliseconds(m_random.UniformBelow(400)));
    case 8:
      return ChangeConfiguration();
    case 10:
      return m_store.SaveCopy();
    case 11:
      return RestoreStore();
    case 12:
      return LimitUpstream();
    case 13:
      return MakeStatement(/*leaves=*/m_random.UniformBelow(2) == 0);
    case 14:
      return proxy.SetRepeats(true);
    case 15:
      return WriteUnreadableEntry();
    default:
      return ClearFaults();
  }
}

// Entries that cannot be read stay in the store for good.
void Upstreams::WriteUnreadableEntry() {
  const uint64_t number = m_random.UniformBelow(10);
  m_store.PutUnreadable("servers", "a" + std::to_string(number), number);
  m_store.PutUnreadable("config", "odd", number);
}

void Upstreams::ClearFaults() {
  EndLeaving();
  for (const auto& proxy : m_proxies) {
    proxy->SetRepeats(false);
    proxy->SetFault(FaultProxy::Fault::kNone);
    proxy->SetDelay(Duration(0));
  }
  m_store.SetOutage(Store::Outage::kNone);
  RegisterPlain(0, "ready");
}

void Upstreams::EndFaults() {
  ClearFaults();
  EndEndless();
  for (const auto& proxy : m_proxies) proxy->CutHeads(0, 0, false);
  LiftLimits();
  WriteAll();
}

}  // namespace burdockhill::soak

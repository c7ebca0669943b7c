// Environment of the daemons in a soak test: the store, upstreams behind
// fault-injecting proxies, and callers. Checks at the end what callers and
// upstreams saw. soak/run starts the daemons and sends them signals.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <thread>

#include "burdockhill/src/http/connection_pool.h"
#include "burdockhill/src/http/sse_event_splitter.h"
#include "burdockhill/src/transport/event_loop.h"
#include "burdockhill/src/transport/tcp_sockets.h"
#include "emulation/plain_runner_fake.h"
#include "soak/fault_proxy.h"
#include "soak/store.h"

ABSL_FLAG(uint64_t, seed, 1, "Seed of the faults and the load.");
ABSL_FLAG(int, seconds, 15, "Duration of the load.");
ABSL_FLAG(int, entries, 2, "Entries that soak/run has started.");
ABSL_FLAG(int, engines, 4, "Engines, whose agents soak/run has started.");
ABSL_FLAG(int, net, 0,
          "Second number of the loopback addresses, 127.NET.x.y; runs with "
          "different ones do not disturb each other.");
ABSL_FLAG(double, rate, 12, "Requests per second.");
ABSL_FLAG(
    std::string, signals, "",
    "File to which soak/run writes the signals that it sends, a line each: "
    "the daemon's name and the signal.");

namespace burdockhill::soak {
namespace {

using emulation::EventQueue;
using emulation::ModelRunnerFake;
using emulation::PlainRunnerFake;
using nlohmann::json;

constexpr int kPlainServices = 2;
// Time in which the daemons start and read the store for the first time.
// Without that they can serve nothing.
constexpr Duration kStartTime = std::chrono::milliseconds(2500);
// Time from the last fault to the check. Longer than the timeout of every
// request, so that all requests have ended.
constexpr Duration kCheckDelay = std::chrono::seconds(12);
// Time from the last fault until requests to the newest route must succeed: the
// last graceful stop is over, restarted entries have reached the store, and all
// have the configuration.
constexpr Duration kSettleDelay = std::chrono::seconds(9);
// Time from the first statement of a limit until it must be kept, the time in
// which requests are counted, and what is allowed besides one and a half times
// the limit.
constexpr Duration kLimitSettleDelay = std::chrono::seconds(4);
constexpr Duration kLimitWindow = std::chrono::seconds(4);
constexpr double kLimitSlackFactor = 1.5;
constexpr int64_t kLimitSlackRequests = 5;
// An upstream that has stated to an entry that it leaves, or wants no requests,
// gets none from that entry after this. The second is lenient by two requests.
constexpr Duration kLeavingDelay = std::chrono::milliseconds(2500);
constexpr Duration kPauseDelay = std::chrono::milliseconds(500);
constexpr int kPauseSlackRequests = 2;
constexpr Duration kPause = std::chrono::milliseconds(2000);
// Some answers of plain services are larger than a socket takes, and are read
// with a pause in the middle.
constexpr uint64_t kRequestsPerLargeAnswer = 25;
constexpr size_t kLargeAnswerBytes = 7'000'000;
constexpr Duration kReadingPauseStart = std::chrono::milliseconds(45);
constexpr uint64_t kMaxReadingPauseMs = 2000;
// A store that was restored has what upstreams and operators write after this.
constexpr Duration kWriteAgainDelay = std::chrono::milliseconds(1500);
// One engine in this many computes prompts.
constexpr int kEnginesPerPrefill = 4;

std::string Host(int subnet, int i) {
  return "127." + std::to_string(absl::GetFlag(FLAGS_net)) + "." +
         std::to_string(subnet) + "." + std::to_string(i);
}
std::string EntryAddress(int i) { return Host(0, 11 + i) + ":8000"; }
std::string EngineHost(int i) { return Host(1, 1 + i); }
std::string PlainHost(int i) { return Host(3, 1 + i); }

enum class CallKind { kNonIdempotent, kIdempotent, kStream, kResumableStream };
constexpr const char* kPaths[] = {"/once/", "/safe/", "/stream/", "/resume/"};

// One request and what its caller received.
class Caller : public http::CallEvents {
 public:
  Caller(CallKind kind, std::string id) : kind(kind), id(std::move(id)) {}

  bool OnResponseHead(http::CallId /*call*/, const http::Head& head) override {
    ++responses;
    status = head.status;
    const std::string* name = head.headers.Find("X-Request-Id");
    id_matches = name != nullptr && *name == id;
    sealed = head.headers.Find("X-Response-Seal") != nullptr;
    return true;
  }
  void OnResponseBody(http::CallId /*call*/, std::string_view bytes) override {
    body.append(bytes);
  }
  void OnResponseEnd(http::CallId /*call*/) override { ended = true; }
  void OnCallFailed(http::CallId /*call*/,
                    http::CallFailure /*failure*/) override {
    failed = true;
  }

  // Whether every event arrived once, in order, and belongs to this request.
  bool HasCompleteStream() const {
    int64_t expected = 1;
    size_t at = 0;
    while (at < body.size()) {
      const std::string event =
          "id: " + std::to_string(expected) + "\ndata: " + id + "\n\n";
      if (body.compare(at, event.size(), event) != 0) return false;
      at += event.size();
      ++expected;
    }
    return expected > 1;
  }

  CallKind kind;
  std::string id;
  int entry = 0;
  http::CallId call;
  int responses = 0;
  int status = 0;
  bool id_matches = false;
  bool sealed = false;
  bool ended = false;
  bool failed = false;
  bool cancelled = false;
  bool is_on_newest_route = false;  // Sent after all faults have ended.
  size_t answer_padding = 0;
  std::string body;
};

class Soak {
 public:
  Soak()
      : m_random(absl::GetFlag(FLAGS_seed)),
        m_store(&m_sockets, &m_manual_clock, Host(0, 1) + ":7900") {
    ChangeConfiguration();
    for (int i = 0; i < absl::GetFlag(FLAGS_engines); ++i) AddEngine(i);
    for (int i = 0; i < kPlainServices; ++i) AddPlain(i);
  }

  // Writes a new configuration version. Besides the permanent routes, each
  // version has one route of its own, which shows that it is in force.
  void ChangeConfiguration() {
    ++m_version;
    json services = json::array();
    services.push_back({{"name", "llm"},
                        {"maxConns", 300},
                        {"engine", {{"slots", 64}, {"kvTokens", 100000}}}});
    services.push_back({{"name", "plain"}, {"maxConns", 300}});
    json routes = json::array();
    const auto add = [&](const std::string& path, const char* kind,
                         bool resumable, const char* service) {
      routes.push_back({{"name", path},
                        {"host", "h"},
                        {"pathPrefix", path},
                        {"kind", kind},
                        {"timeoutMs", 6000},
                        {"targetLatencyMs", 900},
                        {"targetGapMs", 300},
                        {"maxAttempts", 2},
                        {"resumable", resumable},
                        {"service", service}});
    };
    add("/once/", "unsafe", false, "plain");
    add("/safe/", "safe", false, "plain");
    add("/stream/", "streaming", false, "llm");
    add("/resume/", "streaming", true, "llm");
    add(NewestPath(), "safe", false, "plain");
    m_configuration = {
        {"version", m_version}, {"routes", routes}, {"services", services}};
    m_store.Put("config", "main", m_configuration);
  }

  int Run() {
    m_store.SaveCopy();
    const TimePoint start = m_system_clock.Now();
    const auto load_duration =
        std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    while (m_system_clock.Now() - start < load_duration) {
      RunIteration();
      SendDueRequests(m_system_clock.Now() - start);
      if (m_system_clock.Now() - start > kStartTime) InjectFault();
      WriteAgainIfDue();
    }
    ClearFaults();
    LiftLimits();
    for (const auto& [name, spec] : m_registrations) {
      m_store.Put("servers", name, spec);
    }
    m_store.Put("config", "main", m_configuration);
    const TimePoint cleared_at = m_system_clock.Now();
    while (m_system_clock.Now() - cleared_at < kSettleDelay) RunIteration();
    for (int i = 0; i < absl::GetFlag(FLAGS_entries); ++i) {
      SendRequest(CallKind::kIdempotent, NewestPath(), i);
    }
    while (m_system_clock.Now() - cleared_at < kCheckDelay) RunIteration();
    return CheckResults();
  }

 private:
  // An upstream that states a rate limit.
  struct Limited {
    emulation::RequestRate* rate = nullptr;
    double limit = 0;
    TimePoint since{};
    TimePoint until{};
  };

  // A time in which the last plain service states something in its answers.
  struct Statement {
    bool leaves = false;  // Otherwise it pauses.
    TimePoint since{};
    TimePoint until{};
  };

  void AddEngine(int i) {
    const std::string target_address = Host(2, 1 + i) + ":8080";
    ModelRunnerFake::Options options;
    options.address = target_address;
    options.role = i % kEnginesPerPrefill == 0 ? EngineRole::kPrefill
                                               : EngineRole::kDecode;
    m_engines.push_back(std::make_unique<ModelRunnerFake>(
        options, &m_sockets, &m_queue, &m_manual_clock, &m_handles, &m_counts));
    m_proxies.push_back(
        std::make_unique<FaultProxy>(&m_sockets, &m_queue, &m_manual_clock,
                                     EngineHost(i) + ":8080", target_address));
    Register("e" + std::to_string(i), "llm", EngineHost(i), "ready",
             i % kEnginesPerPrefill == 0 ? "prefill" : "decode");
  }

  void AddPlain(int i) {
    const std::string target_address = Host(4, 1 + i) + ":8080";
    m_plain_services.push_back(std::make_unique<PlainRunnerFake>(
        target_address, &m_sockets, &m_queue, &m_manual_clock, &m_counts));
    m_proxies.push_back(
        std::make_unique<FaultProxy>(&m_sockets, &m_queue, &m_manual_clock,
                                     PlainHost(i) + ":8080", target_address));
    Register("p" + std::to_string(i), "plain", PlainHost(i), "ready", "");
  }

  void Register(const std::string& name, const std::string& service,
                const std::string& host, const std::string& state,
                const std::string& stage) {
    json spec = {{"service", service},  {"address", host + ":8080"},
                 {"zone", "z"},         {"slots", 64},
                 {"state", state},      {"born", 1000},
                 {"seq", ++m_writes},   {"version", "v1"},
                 {"coldRemainingMs", 0}};
    // An upstream that was leaving starts again.
    if (m_registrations.contains(name) && state == "ready") {
      spec["born"] = 1000 + m_writes;
    }
    if (!stage.empty()) spec["stage"] = stage;
    m_registrations[name] = spec;
    m_store.Put("servers", name, spec);
  }

  // Restores the store; what is in force is written again a while later.
  void RestoreStore() {
    m_store.Restore();
    ++m_restores;
    m_write_again_at = m_system_clock.Now() + kWriteAgainDelay;
  }

  void WriteAgainIfDue() {
    if (m_write_again_at == TimePoint() ||
        m_system_clock.Now() < m_write_again_at) {
      return;
    }
    m_write_again_at = TimePoint();
    for (auto& [name, spec] : m_registrations) {
      spec["seq"] = ++m_writes;
      m_store.Put("servers", name, spec);
    }
    m_store.Put("config", "main", m_configuration);
  }

  // Has an upstream state a limit until the load ends.
  void LimitUpstream() {
    const size_t index =
        m_random.UniformBelow(m_engines.size() + m_plain_services.size());
    const bool plain = index >= m_engines.size();
    emulation::RequestRate& rate =
        plain ? m_plain_services[index - m_engines.size()]->Rate()
              : m_engines[index]->Rate();
    if (rate.Limit().has_value()) return;
    rate.SetLimit((plain ? 2.0 : 0.5) * (1 + m_random.UniformDouble()));
    m_limited.push_back({&rate, *rate.Limit(), m_manual_clock.Now()});
  }

  void LiftLimits() {
    for (Limited& limited : m_limited) {
      limited.rate->SetLimit(std::nullopt);
      limited.until = m_manual_clock.Now();
    }
  }

  PlainRunnerFake& StatingService() { return *m_plain_services.back(); }

  // Has the last plain service leave, or pause, unless it does already.
  void MakeStatement(bool leaves) {
    const TimePoint now = m_manual_clock.Now();
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
  void EndLeaving() {
    if (m_statements.empty() || !m_statements.back().leaves) return;
    Statement& statement = m_statements.back();
    statement.until = std::min(statement.until, m_manual_clock.Now());
    StatingService().SetStatesLeaving(false);
    const int last = kPlainServices - 1;
    Register("p" + std::to_string(last), "plain", PlainHost(last), "ready", "");
  }

  const Caller* CallerOf(const emulation::RequestRate::Arrival& arrival) const {
    const size_t index = std::stoul(arrival.request.substr(1));
    return index < m_callers.size() ? m_callers[index].get() : nullptr;
  }

  // Of entries that ran all the time and always reached the service.
  void CheckStatement(const Statement& statement) {
    if (m_proxies.back()->HadFault()) return;
    std::map<int, TimePoint> told_at;
    std::map<int, int> late;
    for (const auto& arrival : StatingService().Rate().Arrivals()) {
      const Caller* caller = CallerOf(arrival);
      if (caller == nullptr || m_restarted_entries.contains(caller->entry) ||
          arrival.at < statement.since || arrival.at >= statement.until) {
        continue;
      }
      const TimePoint told =
          told_at.try_emplace(caller->entry, arrival.at).first->second;
      const Duration delay = statement.leaves ? kLeavingDelay : kPauseDelay;
      if (arrival.at - told > delay) ++late[caller->entry];
    }
    for (const auto& [entry, requests] : late) {
      if (!statement.leaves && requests <= kPauseSlackRequests) continue;
      ++m_violations;
      std::cout << "VIOLATION an upstream that had stated that it "
                << (statement.leaves ? "leaves" : "pauses") << " got "
                << requests << " requests from entry " << entry + 1 << "\n";
    }
  }

  // Requests by way of entries that were killed or paused do not count.
  void CheckLimit(const Limited& limited) {
    const auto counts = [&](const emulation::RequestRate::Arrival& arrival) {
      const size_t index = std::stoul(arrival.request.substr(1));
      return index >= m_callers.size() ||
             !m_disturbed_entries.contains(m_callers[index]->entry);
    };
    const int64_t most = limited.rate->MostInWindow(
        kLimitWindow, limited.since + kLimitSettleDelay, limited.until, counts);
    const double window = std::chrono::duration<double>(kLimitWindow).count();
    if (static_cast<double>(most) <=
        kLimitSlackFactor * limited.limit * window + kLimitSlackRequests) {
      return;
    }
    ++m_violations;
    std::cout << "VIOLATION an upstream that states " << limited.limit
              << " requests a second got " << most << " in 4 s\n";
  }

  void RunIteration() {
    m_loop.WakeAfter(std::chrono::milliseconds(5));
    m_loop.RunOnce();
    m_queue.RunUntil(
        m_manual_started_at + (m_system_clock.Now() - m_system_started_at),
        [] {});
    m_store.Tick();
    m_pool.CheckTimeouts(m_system_clock.Now());
    m_sockets.CheckTimeouts(m_system_clock.Now());
  }

  void SendDueRequests(Duration elapsed) {
    const double due = std::chrono::duration<double>(elapsed).count() *
                       absl::GetFlag(FLAGS_rate);
    while (static_cast<double>(m_callers.size()) < due) {
      const auto kind = static_cast<CallKind>(m_random.UniformBelow(4));
      const auto entry = static_cast<int>(m_random.UniformBelow(
          static_cast<uint64_t>(absl::GetFlag(FLAGS_entries))));
      SendRequest(kind, kPaths[static_cast<int>(kind)], entry);
      MaybeCancelRequest();
    }
  }

  void SendRequest(CallKind kind, const std::string& path, int entry) {
    const std::string id = "r" + std::to_string(m_callers.size());
    auto caller = std::make_unique<Caller>(kind, id);
    caller->entry = entry;
    caller->is_on_newest_route = path == NewestPath();
    const bool plain =
        kind == CallKind::kNonIdempotent || kind == CallKind::kIdempotent;
    const bool large = plain && !caller->is_on_newest_route &&
                       m_random.UniformBelow(kRequestsPerLargeAnswer) == 0;
    if (large) caller->answer_padding = kLargeAnswerBytes;
    caller->call = m_pool.Start(
        EntryAddress(entry),
        "POST " + path + "x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
            "\r\nX-Token-Counts: 3000,2000\r\nX-Length-Hint: 1200"
            "\r\nX-True-Length: 1220\r\nX-Deadline-Ms: 6000"
            "\r\nX-Answer-Bytes: " +
            std::to_string(caller->answer_padding) +
            "\r\nContent-Length: 2\r\n\r\nhi",
        caller.get(), {});
    if (large) PauseReading(caller->call);
    m_callers.push_back(std::move(caller));
  }

  void PauseReading(http::CallId call) {
    const Duration pause =
        std::chrono::milliseconds(m_random.UniformBelow(kMaxReadingPauseMs));
    m_queue.Schedule(kReadingPauseStart,
                     [this, call] { m_pool.SetReading(call, false); });
    m_queue.Schedule(kReadingPauseStart + pause,
                     [this, call] { m_pool.SetReading(call, true); });
  }

  std::string NewestPath() const {
    return "/version-" + std::to_string(m_version) + "/";
  }

  void MaybeCancelRequest() {
    if (m_random.UniformBelow(12) != 0) return;
    Caller& caller = *m_callers[m_random.UniformBelow(m_callers.size())];
    if (caller.ended || caller.failed) return;
    m_pool.Cancel(caller.call);
    caller.cancelled = true;
  }

  // Begins or ends a random fault, about twice a second.
  void InjectFault() {
    if (m_random.UniformBelow(80) != 0) return;
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
        return Register("p0", "plain", PlainHost(0),
                        m_random.UniformBelow(2) == 0 ? "draining" : "ready",
                        "");
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
  void WriteUnreadableEntry() {
    const uint64_t number = m_random.UniformBelow(10);
    m_store.PutUnreadable("servers", "a" + std::to_string(number), number);
    m_store.PutUnreadable("config", "odd", number);
  }

  void ClearFaults() {
    EndLeaving();
    for (const auto& proxy : m_proxies) {
      proxy->SetRepeats(false);
      proxy->SetFault(FaultProxy::Fault::kNone);
      proxy->SetDelay(Duration(0));
    }
    m_store.SetOutage(Store::Outage::kNone);
    Register("p0", "plain", PlainHost(0), "ready", "");
  }

  void Report(const Caller& caller, const char* violation) {
    ++m_violations;
    std::cout << "VIOLATION " << caller.id << " "
              << kPaths[static_cast<int>(caller.kind)] << ": " << violation
              << " (status " << caller.status << ", runs "
              << m_counts.starts_by_request[caller.id] << ")\n";
  }

  void CheckCaller(const Caller& caller) {
    const int runs = m_counts.starts_by_request[caller.id];
    const bool at_most_once = caller.kind == CallKind::kNonIdempotent ||
                              caller.kind == CallKind::kStream;
    if (at_most_once && runs > 1) Report(caller, "executed more than once");
    if (caller.cancelled) return;
    if (caller.responses > 1) Report(caller, "answered more than once");
    if (at_most_once && caller.status == http::kUnavailable && runs > 0) {
      Report(caller, "reported as not executed, but was executed");
    }
    if (caller.status == http::kOk && caller.ended) {
      ++m_served_count;
      if (!caller.id_matches || !caller.sealed) Report(caller, "wrong id/seal");
      const bool stream = caller.kind == CallKind::kStream ||
                          caller.kind == CallKind::kResumableStream;
      if (stream && !caller.HasCompleteStream()) {
        Report(caller, "stream events are missing, repeated or out of order");
        std::cout << caller.body.substr(0, 600) << "\n";
      }
      const std::string body = "answer to " + caller.id + " hi" +
                               std::string(caller.answer_padding, 'x');
      if (!stream && caller.body != body) {
        Report(caller, "response body is wrong");
      }
    }
    if (!caller.ended && !caller.failed) Report(caller, "never answered");
    const bool plain = caller.kind == CallKind::kNonIdempotent ||
                       caller.kind == CallKind::kIdempotent;
    if (plain && caller.failed && runs > 0 &&
        !m_disturbed_entries.contains(caller.entry)) {
      Report(caller,
             "executed, and cut off by an entry that only had planned "
             "stops");
    }
    if (caller.is_on_newest_route && caller.status != http::kOk) {
      Report(caller,
             "newest configuration is not in force after all faults ended");
    }
  }

  // Entries are numbered from 0 here, and from 1 in the file.
  void ReadSignals() {
    std::ifstream file(absl::GetFlag(FLAGS_signals));
    constexpr std::string_view kEntry = "entry-";
    std::string name;
    std::string signal;
    while (file >> name >> signal) {
      if (!name.starts_with(kEntry) || signal == "HUP") continue;
      const int entry = std::stoi(name.substr(kEntry.size())) - 1;
      m_restarted_entries.insert(entry);
      if (signal != "TERM") m_disturbed_entries.insert(entry);
    }
  }

  int CheckResults() {
    ReadSignals();
    for (const auto& caller : m_callers) CheckCaller(*caller);
    for (const Limited& limited : m_limited) CheckLimit(limited);
    for (const Statement& statement : m_statements) CheckStatement(statement);
    int64_t held_tokens = 0;
    for (const auto& engine : m_engines) held_tokens += engine->MemoryUsed();
    if (held_tokens > 0 || !m_handles.empty()) {
      ++m_violations;
      std::cout << "VIOLATION KV cache memory is still held: " << held_tokens
                << " tokens, " << m_handles.size() << " handles\n";
    }
    if (m_served_count * 4 < static_cast<int>(m_callers.size())) {
      ++m_violations;
      std::cout << "VIOLATION fewer than a quarter were served\n";
    }
    std::cout << "seed " << absl::GetFlag(FLAGS_seed) << ": "
              << m_callers.size() << " requests, " << m_served_count
              << " served, " << m_limited.size() << " limits, "
              << m_statements.size() << " statements, " << m_restores
              << " restores, " << m_violations << " violations\n";
    return m_violations == 0 ? 0 : 1;
  }

  SystemClock m_system_clock;
  // Advances as the system clock does, one event-loop iteration behind. The two
  // start at different times: the system clock counts from the machine's boot.
  ManualClock m_manual_clock;
  TimePoint m_system_started_at = m_system_clock.Now();
  TimePoint m_manual_started_at = m_manual_clock.Now();
  EventLoop m_loop;
  TcpSockets m_sockets{&m_loop};
  EventQueue m_queue{&m_manual_clock};
  Random m_random;
  emulation::KvHandles m_handles;
  emulation::RunnerCounters m_counts;
  Store m_store;
  uint64_t m_version = 0;
  // As upstreams and operators have written them last.
  std::map<std::string, json> m_registrations;
  json m_configuration;
  int64_t m_writes = 0;
  TimePoint m_write_again_at{};
  std::vector<Limited> m_limited;
  std::vector<std::unique_ptr<ModelRunnerFake>> m_engines;
  std::vector<std::unique_ptr<PlainRunnerFake>> m_plain_services;
  std::vector<std::unique_ptr<FaultProxy>> m_proxies;
  http::ConnectionPool m_pool{&m_sockets, &m_system_clock};
  std::vector<std::unique_ptr<Caller>> m_callers;
  std::set<int> m_disturbed_entries;  // That were killed or paused.
  std::set<int> m_restarted_entries;  // Those, and those that were stopped.
  std::vector<Statement> m_statements;
  int m_served_count = 0;
  int m_restores = 0;
  int m_violations = 0;
};

}  // namespace
}  // namespace burdockhill::soak

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return burdockhill::soak::Soak().Run();
}

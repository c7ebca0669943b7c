// Environment of the daemons in a soak test: the store, upstreams behind
// fault-injecting proxies, and callers. Checks at the end what callers and
// upstreams saw. soak/run starts the daemons and sends them signals.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <thread>

#include "burdockhill/src/gateway/sse_event_splitter.h"
#include "burdockhill/src/http/connection_pool.h"
#include "burdockhill/src/transport/event_loop.h"
#include "burdockhill/src/transport/tcp_sockets.h"
#include "emulation/plain_runner_fake.h"
#include "soak/fault_proxy.h"
#include "soak/store.h"

ABSL_FLAG(uint64_t, seed, 1, "Seed of the faults and the load.");
ABSL_FLAG(int, seconds, 15, "Duration of the load.");
ABSL_FLAG(int, entries, 2, "Entries that soak/run has started.");

namespace burdockhill::soak {
namespace {

using emulation::EventQueue;
using emulation::ModelRunnerFake;
using emulation::PlainRunnerFake;
using nlohmann::json;

constexpr int kEngines = 4;
constexpr int kPlain = 2;
// Time from the last fault to the check. Longer than the timeout of every
// request, so that all requests have ended.
constexpr Duration kQuietEnd = std::chrono::seconds(12);
// Time from the last fault until requests to the newest route must succeed: the
// last graceful stop is over, restarted entries have reached the store, and all
// have the configuration.
constexpr Duration kSettleTime = std::chrono::seconds(9);
constexpr double kRequestsPerSecond = 12;

std::string EntryAddress(int i) {
  return "127.0.0." + std::to_string(11 + i) + ":8000";
}
std::string EngineHost(int i) { return "127.0.1." + std::to_string(1 + i); }
std::string PlainHost(int i) { return "127.0.3." + std::to_string(1 + i); }

enum class Kind { kOnce, kSafe, kStream, kResumable };
constexpr const char* kPaths[] = {"/once/", "/safe/", "/stream/", "/resume/"};

// One request and what its caller received.
class Caller : public http::CallEvents {
 public:
  Caller(Kind kind, std::string id) : kind(kind), id(std::move(id)) {}

  bool OnResponseHead(http::CallId /*call*/, const http::Head& head) override {
    ++answers;
    status = head.status;
    const std::string* name = head.headers.Find("X-Request-Id");
    own = name != nullptr && *name == id;
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
  bool HasWholeStream() const {
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

  Kind kind;
  std::string id;
  http::CallId call;
  int answers = 0;
  int status = 0;
  bool own = false;
  bool sealed = false;
  bool ended = false;
  bool failed = false;
  bool left = false;
  bool newest = false;  // Sent after all faults have ended.
  std::string body;
};

class Soak {
 public:
  Soak()
      : m_random(absl::GetFlag(FLAGS_seed)),
        m_store(&m_sockets, &m_clock, "127.0.0.1:7900") {
    ChangeConfiguration();
    for (int i = 0; i < kEngines; ++i) AddEngine(i);
    for (int i = 0; i < kPlain; ++i) AddPlain(i);
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
    m_store.Put(
        "config", "main",
        {{"version", m_version}, {"routes", routes}, {"services", services}});
  }

  int Run() {
    const TimePoint start = m_real.Now();
    const auto load = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    while (m_real.Now() - start < load) {
      Turn();
      Ask(m_real.Now() - start);
      Harm();
    }
    Heal();
    const TimePoint healed = m_real.Now();
    while (m_real.Now() - healed < kSettleTime) Turn();
    for (int i = 0; i < absl::GetFlag(FLAGS_entries); ++i) {
      Send(Kind::kSafe, NewestPath(), i);
    }
    while (m_real.Now() - healed < kQuietEnd) Turn();
    return Check();
  }

 private:
  void AddEngine(int i) {
    const std::string inner = "127.0.2." + std::to_string(1 + i) + ":8080";
    ModelRunnerFake::Options options;
    options.address = inner;
    options.role = i == 0 ? EngineRole::kPrefill : EngineRole::kDecode;
    m_engines.push_back(std::make_unique<ModelRunnerFake>(
        options, &m_sockets, &m_queue, &m_clock, &m_handles, &m_counts));
    m_proxies.push_back(std::make_unique<FaultProxy>(
        &m_sockets, &m_queue, &m_clock, EngineHost(i) + ":8080", inner));
    Register("e" + std::to_string(i), "llm", EngineHost(i), "ready",
             i == 0 ? "prefill" : "decode");
  }

  void AddPlain(int i) {
    const std::string inner = "127.0.4." + std::to_string(1 + i) + ":8080";
    m_plain.push_back(std::make_unique<PlainRunnerFake>(
        inner, &m_sockets, &m_queue, &m_clock, &m_counts));
    m_proxies.push_back(std::make_unique<FaultProxy>(
        &m_sockets, &m_queue, &m_clock, PlainHost(i) + ":8080", inner));
    Register("p" + std::to_string(i), "plain", PlainHost(i), "ready", "");
  }

  void Register(const std::string& name, const std::string& service,
                const std::string& host, const std::string& state,
                const std::string& stage) {
    json spec = {{"service", service},
                 {"address", host + ":8080"},
                 {"zone", "z"},
                 {"slots", 64},
                 {"state", state}};
    if (!stage.empty()) spec["stage"] = stage;
    m_store.Put("servers", name, spec);
  }

  void Turn() {
    m_loop.WakeAfter(std::chrono::milliseconds(5));
    m_loop.RunOnce();
    m_queue.RunUntil(m_real.Now(), [] {});
    m_store.Step();
    m_pool.CheckTimeouts(m_real.Now());
    m_sockets.CloseLingering(m_real.Now());
  }

  void Ask(Duration passed) {
    const double due =
        std::chrono::duration<double>(passed).count() * kRequestsPerSecond;
    while (static_cast<double>(m_callers.size()) < due) {
      const auto kind = static_cast<Kind>(m_random.UniformBelow(4));
      const auto entry = static_cast<int>(m_random.UniformBelow(
          static_cast<uint64_t>(absl::GetFlag(FLAGS_entries))));
      Send(kind, kPaths[static_cast<int>(kind)], entry);
      LeaveSometimes();
    }
  }

  void Send(Kind kind, const std::string& path, int entry) {
    const std::string id = "r" + std::to_string(m_callers.size());
    auto caller = std::make_unique<Caller>(kind, id);
    caller->newest = path == NewestPath();
    caller->call = m_pool.Start(
        EntryAddress(entry),
        "POST " + path + "x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
            "\r\nX-Token-Counts: 3000,2000\r\nX-Length-Hint: 1200"
            "\r\nX-True-Length: 1220\r\nX-Deadline-Ms: 6000"
            "\r\nContent-Length: 2\r\n\r\nhi",
        caller.get(), {});
    m_callers.push_back(std::move(caller));
  }

  std::string NewestPath() const {
    return "/version-" + std::to_string(m_version) + "/";
  }

  void LeaveSometimes() {
    if (m_random.UniformBelow(12) != 0) return;
    Caller& caller = *m_callers[m_random.UniformBelow(m_callers.size())];
    if (caller.ended || caller.failed) return;
    m_pool.Cancel(caller.call);
    caller.left = true;
  }

  // Begins or ends a random fault, on one of 80 iterations on average.
  void Harm() {
    if (m_random.UniformBelow(80) != 0) return;
    FaultProxy& proxy = *m_proxies[m_random.UniformBelow(m_proxies.size())];
    switch (m_random.UniformBelow(12)) {
      case 0:
        return proxy.ResetAll();
      case 1:
        return proxy.SetFault(FaultProxy::Fault::kSilence);
      case 2:
        return proxy.SetFault(FaultProxy::Fault::kSilenceAnswers);
      case 3:
        return m_store.SetOutage(Store::Outage::kSilent);
      case 4:
        return m_store.SetOutage(Store::Outage::kBusy);
      case 5:
        return m_store.ForgetHistory();
      case 6:
        return Register("p0", "plain", PlainHost(0),
                        m_random.UniformBelow(2) == 0 ? "draining" : "ready",
                        "");
      case 7:
        return proxy.SetDelay(
            std::chrono::milliseconds(m_random.UniformBelow(400)));
      case 8:
        return ChangeConfiguration();
      default:
        return Heal();
    }
  }

  void Heal() {
    for (const auto& proxy : m_proxies) {
      proxy->SetFault(FaultProxy::Fault::kNone);
      proxy->SetDelay(Duration(0));
    }
    m_store.SetOutage(Store::Outage::kNone);
    Register("p0", "plain", PlainHost(0), "ready", "");
  }

  void Complain(const Caller& caller, const char* what) {
    ++m_violations;
    std::cout << "VIOLATION " << caller.id << " "
              << kPaths[static_cast<int>(caller.kind)] << ": " << what
              << " (status " << caller.status << ", runs "
              << m_counts.starts_by_request[caller.id] << ")\n";
  }

  void CheckCaller(const Caller& caller) {
    const int runs = m_counts.starts_by_request[caller.id];
    const bool once =
        caller.kind == Kind::kOnce || caller.kind == Kind::kStream;
    if (once && runs > 1) Complain(caller, "executed more than once");
    if (caller.left) return;
    if (caller.answers > 1) Complain(caller, "answered more than once");
    if (once && caller.status == http::kUnavailable && runs > 0) {
      Complain(caller, "reported as not executed, but was executed");
    }
    if (caller.status == http::kOk && caller.ended) {
      ++m_served;
      if (!caller.own || !caller.sealed)
        Complain(caller, "response lacks the request id or the seal");
      const bool stream =
          caller.kind == Kind::kStream || caller.kind == Kind::kResumable;
      if (stream && !caller.HasWholeStream()) {
        Complain(caller, "stream events are missing, repeated or out of order");
        std::cout << caller.body.substr(0, 600) << "\n";
      }
      if (!stream && caller.body != "answer to " + caller.id + " hi") {
        Complain(caller, "response body is wrong");
      }
    }
    if (!caller.ended && !caller.failed) Complain(caller, "never answered");
    if (caller.newest && caller.status != http::kOk) {
      Complain(caller,
               "newest configuration is not in force after all faults ended");
    }
  }

  int Check() {
    for (const auto& caller : m_callers) CheckCaller(*caller);
    int64_t memory = 0;
    for (const auto& engine : m_engines) memory += engine->MemoryUsed();
    if (memory > 0 || !m_handles.empty()) {
      ++m_violations;
      std::cout << "VIOLATION KV cache memory is still held: " << memory
                << " tokens, " << m_handles.size() << " handles\n";
    }
    if (m_served * 4 < static_cast<int>(m_callers.size())) {
      ++m_violations;
      std::cout << "VIOLATION fewer than a quarter were served\n";
    }
    std::cout << "seed " << absl::GetFlag(FLAGS_seed) << ": "
              << m_callers.size() << " requests, " << m_served << " served, "
              << m_violations << " violations\n";
    return m_violations == 0 ? 0 : 1;
  }

  SystemClock m_real;
  // Follows the system clock, one event-loop iteration behind.
  ManualClock m_clock;
  EventLoop m_loop;
  TcpSockets m_sockets{&m_loop};
  EventQueue m_queue{&m_clock};
  Random m_random;
  emulation::KvHandles m_handles;
  emulation::RunnerCounters m_counts;
  Store m_store;
  uint64_t m_version = 0;
  std::vector<std::unique_ptr<ModelRunnerFake>> m_engines;
  std::vector<std::unique_ptr<PlainRunnerFake>> m_plain;
  std::vector<std::unique_ptr<FaultProxy>> m_proxies;
  http::ConnectionPool m_pool{&m_sockets, &m_real};
  std::vector<std::unique_ptr<Caller>> m_callers;
  int m_served = 0;
  int m_violations = 0;
};

}  // namespace
}  // namespace burdockhill::soak

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return burdockhill::soak::Soak().Run();
}

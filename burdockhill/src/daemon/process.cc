#include "burdockhill/src/daemon/process.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "burdockhill/src/adapters/caller_api.h"
#include "burdockhill/src/adapters/engine_client.h"
#include "burdockhill/src/adapters/operators_api.h"
#include "burdockhill/src/adapters/platform_client.h"
#include "burdockhill/src/agent/agent_core.h"
#include "burdockhill/src/daemon/heap.h"
#include "burdockhill/src/daemon/logging.h"
#include "burdockhill/src/daemon/process_support.h"
#include "burdockhill/src/daemon/stop_signal.h"
#include "burdockhill/src/entry/entry_core.h"
#include "burdockhill/src/gateway/settings.h"
#include "burdockhill/src/transport/event_loop.h"
#include "burdockhill/src/transport/peer_transport.h"

namespace burdockhill {

namespace {

// Longest time between two calls of Tick() of the core.
constexpr Duration kTickInterval = std::chrono::milliseconds(20);
// How long a process stays up after its last request when it shuts down, so
// that peers learn that it leaves and callers read the end of their responses.
// So long before the drain limit, requests in flight are answered with errors.
constexpr Duration kShutdownLinger = std::chrono::milliseconds(300);

HttpServer::Options ServerOptions(const std::string& address,
                                  size_t max_body_bytes) {
  HttpServer::Options options;
  options.address = *ParseAddress(address);
  options.max_body_bytes = max_body_bytes;
  return options;
}

// Minimum interval between iterations of the event loop, which lets one
// iteration serve several of many callers. Short compared with the time between
// two tokens of a stream.
Duration MinIterationInterval(size_t open_requests) {
  constexpr Duration kMaxInterval = std::chrono::microseconds(1500);
  constexpr int64_t kRequestsPerMicrosecond = 1;
  constexpr size_t kUnthrottledRequests = 200;
  if (open_requests <= kUnthrottledRequests) return Duration(0);
  return std::min(kMaxInterval, Duration(static_cast<int64_t>(open_requests) /
                                         kRequestsPerMicrosecond));
}

// Limits what a process keeps for others, and logs what it ends because of it.
class BufferLog : public BufferObserver {
 public:
  BufferLog(BufferBudget* budget, std::string component)
      : m_budget(budget), m_component(std::move(component)) {
    m_budget->SetLimit(GatewaySettings().MaxBufferedBytes());
    m_budget->SetObserver(this);
  }
  ~BufferLog() override { m_budget->SetObserver(nullptr); }
  BufferLog(const BufferLog&) = delete;
  BufferLog& operator=(const BufferLog&) = delete;

  void OnBufferOverflow(const BufferOverflow& overflow) override {
    LogWarning(
        m_component,
        "Ended: " + std::string(BufferKindName(overflow.kind)) + " of " +
            overflow.source + " has " + std::to_string(overflow.bytes) +
            " bytes; the bound " +
            (overflow.is_bound_of_process ? "of the process is " : "is ") +
            std::to_string(overflow.bound) + ", and the process keeps " +
            std::to_string(m_budget->TotalBytes()) + " bytes.");
  }

 private:
  BufferBudget* m_budget;
  std::string m_component;
};

// Logs the connections that are closed or refused since there are too many.
class ConnectionLog : public ConnectionObserver {
 public:
  ConnectionLog(ConnectionLimit* limit, std::string component)
      : m_limit(limit), m_component(std::move(component)) {
    m_limit->SetObserver(this);
  }
  ~ConnectionLog() override { m_limit->SetObserver(nullptr); }
  ConnectionLog(const ConnectionLog&) = delete;
  ConnectionLog& operator=(const ConnectionLog&) = delete;

  void OnConnectionsShed(const Address& address, size_t count) override {
    LogWarning(m_component, "Closed " + std::to_string(count) + " of the " +
                                ClientsOf(address) + ": " +
                                std::to_string(m_limit->Open()) +
                                " connections are open.");
  }
  void OnConnectionRefused(const Address& address) override {
    LogWarning(m_component,
               "Refused a connection of the " + ClientsOf(address) + ": " +
                   std::to_string(m_limit->Open()) + " connections are open.");
  }

 private:
  ConnectionLimit* m_limit;
  std::string m_component;
};

// Logs the malformed responses that an HttpClient rejects.
class ResponseLog : public http::ResponseObserver {
 public:
  ResponseLog(HttpClient* client, std::string component)
      : m_client(client), m_component(std::move(component)) {
    m_client->SetObserver(this);
  }
  ~ResponseLog() override { m_client->SetObserver(nullptr); }
  ResponseLog(const ResponseLog&) = delete;
  ResponseLog& operator=(const ResponseLog&) = delete;

  void OnResponseRejected(const http::RejectedResponse& response) override {
    LogWarning(m_component,
               "Rejected the response of " + response.source + " to " +
                   response.request + ": " +
                   std::string(http::MalformationName(response.reason)) + ".");
  }

 private:
  HttpClient* m_client;
  std::string m_component;
};

// Runs the event loop until a stop was requested and either `core` is idle or
// the drain limit has passed. Returns the exit code.
template <typename Core>
int RunLoop(const Settings& settings, const std::string& component,
            EventLoop* loop, PeerTransport* peers, Core* core,
            HttpServer* stream_server,
            const std::function<size_t()>& open_requests,
            const std::function<void()>& end_requests) {
  const SystemClock clock;
  HeapTrimmer heap(&loop->Buffers());
  bool leaving = false;
  bool requests_ended = false;
  TimePoint drain_deadline{};
  TimePoint idle_since{};
  for (;;) {
    loop->SetMinIterationInterval(MinIterationInterval(open_requests()));
    loop->WakeAfter(kTickInterval);
    loop->RunOnce();
    core->Tick();
    const TimePoint now = clock.Now();
    heap.Tick(now);
    peers->Flush(now);
    stream_server->Flush();
    if (!StopRequested()) continue;
    if (!leaving) {
      leaving = true;
      drain_deadline = now + settings.drain_limit;
      core->Leave();
      LogInfo(component, "Shutting down; new requests are refused.");
    }
    const bool idle = core->IsIdle() && !stream_server->HasUnsentBytes();
    if (!idle) idle_since = TimePoint();
    if (idle && idle_since == TimePoint()) idle_since = now;
    if (idle && !requests_ended && now - idle_since > kShutdownLinger) {
      LogInfo(component, "Stopped; no request was aborted.");
      return 0;
    }
    if (now > drain_deadline - kShutdownLinger &&
        !std::exchange(requests_ended, true)) {
      end_requests();
    }
    if (now > drain_deadline) {
      LogWarning(component,
                 "Stopped at the drain limit with requests in flight.");
      return 3;
    }
  }
}

constexpr size_t kMaxCallerBodyBytes = size_t{1} << 20;
constexpr size_t kMaxOperatorBodyBytes = 4096;

}  // namespace

int RunEntry(const Settings& settings) {
  const SystemClock clock;
  Random random(RandomSeed());
  const Incarnation incarnation(random.NextId());
  EventLoop loop;
  const BufferLog buffer_log(&loop.Buffers(), "entry");
  const ConnectionLog connection_log(&loop.Connections(), "entry");
  WatchStopSignals(&loop);
  PeerTransport peers(&loop, PeerOptions(settings, incarnation), &random);
  HttpClient client(&loop);
  const ResponseLog response_log(&client, "entry");
  PlatformClient platform(
      &client, *ParseAddress(settings.platform),
      [](const std::string& message) { LogWarning("store", message); });
  CallerApi callers(&random);
  OperatorsApi operators;
  EntryCore core({settings.vm, settings.zone, settings.region, incarnation},
                 &clock, &random, &peers, &platform, &callers);
  peers.SetEvents(&core);
  callers.SetCore(&core);
  AddEntryPages(&operators, &core);
  HttpServer caller_server(
      &loop, ServerOptions(settings.callers, kMaxCallerBodyBytes), &callers);
  HttpServer operator_server(
      &loop, ServerOptions(settings.operators, kMaxOperatorBodyBytes),
      &operators);
  callers.SetServer(&caller_server);
  operators.SetServer(&operator_server);
  LogInfo("entry", "Started as " + settings.vm.Value() + " in zone " +
                       settings.zone.Value() + ".");
  return RunLoop(
      settings, "entry", &loop, &peers, &core, &caller_server,
      [&] { return caller_server.OpenExchangeCount(); },
      [&] { core.EndRequests(); });
}

int RunAgent(const Settings& settings) {
  const SystemClock clock;
  Random random(RandomSeed());
  const Incarnation incarnation(random.NextId());
  EventLoop loop;
  const BufferLog buffer_log(&loop.Buffers(), "agent");
  const ConnectionLog connection_log(&loop.Connections(), "agent");
  WatchStopSignals(&loop);
  PeerTransport peers(&loop, PeerOptions(settings, incarnation), &random);
  HttpClient client(&loop);
  const ResponseLog response_log(&client, "agent");
  EngineClient engines(&client, settings);
  OperatorsApi operators;
  AgentIdentity self;
  self.vm = settings.vm;
  self.zone = settings.zone;
  self.region = settings.region;
  self.incarnation = incarnation;
  self.upstream = settings.upstream;
  self.service = settings.service;
  self.serves_plain = settings.serves_plain;
  std::vector<std::pair<EngineName, std::string>> back_ends;
  for (const BackEnd& back_end : settings.back_ends) {
    back_ends.emplace_back(back_end.name, back_end.address);
  }
  AgentCore core(self, back_ends, &clock, &peers, &engines);
  core.SetBuffers(&loop.Buffers());
  peers.SetEvents(&core);
  engines.SetEvents(&core);
  AddAgentPages(&operators, &core);
  HttpServer operator_server(
      &loop, ServerOptions(settings.operators, kMaxOperatorBodyBytes),
      &operators);
  operators.SetServer(&operator_server);
  LogInfo("agent", "Started for upstream " + settings.upstream.Value() +
                       " in zone " + settings.zone.Value() + ".");
  return RunLoop(
      settings, "agent", &loop, &peers, &core, &operator_server,
      [&] { return core.Board().attempts.Size(); }, [] {});
}

}  // namespace burdockhill

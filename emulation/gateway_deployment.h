#ifndef BURDOCKHILL_EMULATION_GATEWAY_DEPLOYMENT_H_
#define BURDOCKHILL_EMULATION_GATEWAY_DEPLOYMENT_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "burdockhill/gateway.h"
#include "emulation/model_runner_fake.h"
#include "emulation/socket_network_fake.h"
#include "platform/platform.h"

namespace burdockhill::emulation {

class GatewayDeployment;

// Discards all events.
class NullEventLog : public EventLog {
 public:
  void Write(std::string_view /*event*/, LogFields /*fields*/) override {}
};

// Delivers the peer messages of one process to the other processes.
class DeploymentLink : public PeerLink {
 public:
  DeploymentLink(GatewayDeployment* deployment, Hello self)
      : m_deployment(deployment), m_self(std::move(self)) {}
  void Connect(const VmName& vm, const std::string& address) override;
  void Disconnect(const VmName& /*vm*/) override {}
  void Send(const VmName& vm, Message message) override;

 private:
  GatewayDeployment* m_deployment;
  Hello m_self;
};

// What one caller received, and when.
struct CallerResult {
  TimePoint sent_at{};
  TimePoint first_event_at{};
  TimePoint last_event_at{};
  TimePoint ended_at{};
  Duration longest_gap{0};
  int status = 0;
  int response_count = 0;  // Must not exceed one.
  int64_t event_count = 0;
  bool complete = false;
  bool failed = false;
  bool has_retry_after = false;
  bool disconnected = false;
};

// Emulated deployment with the entries and agents of the gateway and model
// runners of one service. Runs the production controllers in one process with a
// manual clock; the network has a constant delay. Upstreams and routes are
// fixed, so there is no store.
class GatewayDeployment {
 public:
  struct Options {
    int entries = 3;
    int prefill_runners = 3;
    int decode_runners = 6;
    RequestKind kind = RequestKind::kStream;
    int lose_every_nth_prefill = 0;  // See ModelRunnerFake::Options.
    bool first_runner_loses_kv = false;
    // Range of the callers' output estimates, in tokens; uniformly distributed.
    int64_t min_output_estimate = 3000;
    int64_t max_output_estimate = 5500;
    // Of all runners; see ModelRunnerFake::Options.
    int64_t kv_memory = 100000;  // tokens
    Duration prefill_overhead{0};
    int64_t tokens_per_event = 61;
    bool ignores_orders = false;
    uint64_t seed = 1;
  };

  explicit GatewayDeployment(const Options& options);
  ~GatewayDeployment();

  // Sends a caller's request to a random entry. The true output length is the
  // estimate times a log-normal factor with median 1 and sigma 0.5, limited to
  // 10 to 130 events.
  void SendRequest(const std::string& id);
  // Closes the connection of the caller of request `id`.
  void DisconnectCaller(const std::string& id);
  void CrashDecodeRunner(int index);
  // Registers each runner under a second, newer name, as after a restart while
  // the registry still has the old name.
  void RegisterRunnersAgain();

  TimePoint Now() const { return m_clock.Now(); }
  void RunFor(Duration time);
  // Sends `per_second` requests a second for `time`, while the emulation runs.
  void GenerateLoad(double per_second, Duration time);

  std::map<std::string, CallerResult>& Results() { return m_results; }
  RunnerCounters& Counts() { return m_counts; }
  int64_t MemoryUsed() const;
  size_t OpenRunCount() const;
  int PrefillRunnerCount() const;
  // Changes the outputs of later requests.
  void SetOutputEstimates(int64_t min, int64_t max);
  size_t OpenKvHandleCount() const { return m_handles.size(); }
  size_t OpenRequestCount() const;

 private:
  friend class DeploymentLink;
  struct Entry;
  struct Agent;
  class Caller;

  void TickAll();
  // Registers each runner whose role has changed with its new role.
  void UpdateRegistrations();
  void Register(const RegisteredUpstream& registration);

  Options m_options;
  ManualClock m_clock;
  EventQueue m_queue{&m_clock};
  SocketNetworkFake m_socket_network;
  Random m_random;
  NullEventLog m_log;
  platform::PlatformRequestCodec m_requests;
  platform::PlatformEngineCodec m_engine_calls;
  KvHandles m_handles;
  RunnerCounters m_counts;
  std::map<VmName, PeerEvents*> m_peers;
  std::vector<std::unique_ptr<ModelRunnerFake>> m_runners;
  std::vector<RegisteredUpstream> m_registrations;  // Of each runner.
  std::vector<std::string> m_decode_addresses;
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::vector<std::unique_ptr<Agent>> m_agents;
  std::map<std::string, std::unique_ptr<Caller>> m_callers;
  std::map<std::string, CallerResult> m_results;
  http::ConnectionPool m_caller_pool{&m_socket_network, &m_clock};
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_GATEWAY_DEPLOYMENT_H_

#ifndef BURDOCKHILL_EMULATION_GATEWAY_DEPLOYMENT_H_
#define BURDOCKHILL_EMULATION_GATEWAY_DEPLOYMENT_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "burdockhill/gateway.h"
#include "emulation/model_runner_fake.h"
#include "emulation/plain_runner_fake.h"
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
  int entry = 0;  // To which it was sent.
  TimePoint sent_at{};
  Duration retry_after{0};  // As the response says; zero if it does not.
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
    int plain_upstreams = 0;
    // Entries and runners are spread over so many availability zones in turn.
    int zones = 1;
    // The first entries are seeds, to which the others connect.
    int seeds = 3;
    // Of messages between processes. One in `slow_messages` takes longer by
    // `extra_delay`, as after a packet loss; zero for none.
    Duration network_delay = std::chrono::milliseconds(1);
    uint64_t slow_messages = 0;
    Duration extra_delay = std::chrono::milliseconds(250);
    uint64_t seed = 1;
  };

  explicit GatewayDeployment(const Options& options);
  ~GatewayDeployment();

  // Sends a caller's request to a random entry. The true output length is the
  // estimate times a log-normal factor with median 1 and sigma 0.5, limited to
  // 10 to 130 events.
  void SendRequest(const std::string& id);
  // Sends a caller's request for the plain service to this entry.
  void SendPlainRequest(const std::string& id, int entry);
  // Closes the connection of the caller of request `id`.
  void DisconnectCaller(const std::string& id);
  void CrashDecodeRunner(int index);
  // Registers each runner under a second, newer name, as after a restart while
  // the registry still has the old name.
  void RegisterRunnersAgain();

  // Ends the process of an entry, or of the agent beside a runner. A process
  // that is restarted begins at once; its peers dial it again after a time.
  void KillEntry(int index);
  void RestartEntry(int index);
  void KillAgent(int index);
  void RestartAgent(int index);
  // An entry that joins, at an address of its own.
  void AddEntry();
  // The messages between this entry and its peers are lost from now on.
  void CutEntry(int index) { m_cut.insert(EntryVm(index)); }
  void HealEntry(int index) { m_cut.erase(EntryVm(index)); }
  // The entry does not run until it is thawed, and then gets the messages that
  // were sent to it meanwhile.
  void FreezeEntry(int index) { m_frozen.insert(EntryVm(index)); }
  void ThawEntry(int index);

  TimePoint Now() const { return m_clock.Now(); }
  void RunFor(Duration time);
  // Sends `per_second` requests a second for `time`, while the emulation runs.
  void GenerateLoad(double per_second, Duration time);

  // Sends `per_second` plain requests a second for `time` to entries that
  // `choose` picks.
  void GeneratePlainLoad(double per_second, Duration time,
                         const std::function<int()>& choose);

  RequestRate& PlainRate(int index) { return m_plain.at(index)->Rate(); }
  PlainRunnerFake& Plain(int index) { return *m_plain.at(index); }
  RequestRate& RunnerRate(int index) { return m_runners.at(index)->Rate(); }
  // Messages between entries that ask for a permit.
  int64_t PermitRequestCount() const { return m_permit_requests; }
  // Reservations of decode memory that agents have refused.
  int64_t RefusedDecodeCount() const { return m_refused_decodes; }
  // Reservations of prefill that agents have refused.
  int64_t RefusedPrefillCount() const { return m_refused_prefills; }
  ReplicatedStreamOrigins& Origins(int entry);
  Random& Randomness() { return m_random; }
  int EntryCount() const { return static_cast<int>(m_entries.size()); }
  int AgentCount() const { return static_cast<int>(m_agents.size()); }

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

  static VmName EntryVm(int index);
  void TickAll();
  void StartEntry(int index);
  void StartAgent(int index);
  // A process has ended.
  void Disconnect(const VmName& vm);
  // Those that have dialled the VM dial it again.
  void Redial(const VmName& vm);
  void Call(const std::string& id, int entry, const std::string& request);
  bool IsCut(const VmName& one, const VmName& other) const {
    return m_cut.contains(one) || m_cut.contains(other);
  }
  void Dial(const Hello& from, const VmName& to);
  Duration MessageDelay(const VmName& from, const VmName& to);
  // Passes a message to a peer that runs.
  void Deliver(const VmName& from, const VmName& to, const Message& message);
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
  std::map<VmName, Hello> m_hellos;  // Of all processes so far.
  // Connections between entries that one side dials again when they are lost,
  // by the dialled VM.
  std::map<VmName, std::set<VmName>> m_dialled_by;
  int64_t m_permit_requests = 0;
  int64_t m_refused_decodes = 0;
  int64_t m_refused_prefills = 0;
  std::set<AttemptId> m_prefill_attempts;
  std::map<std::pair<VmName, VmName>, TimePoint> m_last_arrival;
  std::set<VmName> m_cut;
  std::set<VmName> m_frozen;
  struct HeldMessage {
    VmName from;
    VmName to;
    Message message;
  };
  std::vector<HeldMessage> m_held;  // For frozen entries.
  RoutingConfiguration m_routes;
  std::vector<std::unique_ptr<PlainRunnerFake>> m_plain;
  std::vector<std::unique_ptr<ModelRunnerFake>> m_runners;
  std::vector<RegisteredUpstream> m_registrations;  // Of each runner.
  std::vector<std::string> m_decode_addresses;
  std::vector<std::unique_ptr<Entry>> m_entries;
  // Kept, since connections that they opened still deliver events to them.
  std::vector<std::unique_ptr<Entry>> m_ended_entries;
  std::vector<std::unique_ptr<Agent>> m_agents;
  std::vector<std::unique_ptr<Agent>> m_ended_agents;
  std::map<std::string, std::unique_ptr<Caller>> m_callers;
  std::map<std::string, CallerResult> m_results;
  http::ConnectionPool m_caller_pool{&m_socket_network, &m_clock};
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_GATEWAY_DEPLOYMENT_H_

#ifndef BURDOCKHILL_EMULATION_REGISTRY_WORLD_H_
#define BURDOCKHILL_EMULATION_REGISTRY_WORLD_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "burdockhill/gateway.h"
#include "emulation/model_runner_fake.h"
#include "emulation/wire_fake.h"
#include "platform/platform.h"

namespace burdockhill::emulation {

class RegistryWorld;

// Drops what is logged; a test looks at what callers get.
class NoLog : public EventLog {
 public:
  void Write(std::string_view /*event*/, LogFields /*fields*/) override {}
};

// Messages between the processes of one world.
class WorldLink : public PeerLink {
 public:
  WorldLink(RegistryWorld* world, Hello self)
      : m_world(world), m_self(std::move(self)) {}
  void Connect(const VmName& vm, const std::string& address) override;
  void Disconnect(const VmName& /*vm*/) override {}
  void Send(const VmName& vm, Message message) override;

 private:
  RegistryWorld* m_world;
  Hello m_self;
};

// What one caller got.
struct CallerResult {
  TimePoint asked{};
  TimePoint first_event{};
  TimePoint last_event{};
  TimePoint ended{};
  Duration longest_gap{0};
  int status = 0;
  int answers = 0;  // Must never exceed one.
  int64_t events = 0;
  bool complete = false;
  bool broken = false;
  bool has_retry_after = false;
  bool left = false;
};

// Entries, agents and model runners of one service, run by the real
// controllers under a paused clock; the network has a constant delay.
class RegistryWorld {
 public:
  struct Options {
    int entries = 3;
    int prefill_runners = 3;
    int decode_runners = 6;
    RequestKind kind = RequestKind::kStream;
    int lost_prefill_answers = 0;  // One in this many; zero for none.
    // Callers' estimates of their output lengths, tokens; evenly spread.
    int64_t least_estimate = 3000;
    int64_t most_estimate = 5500;
    uint64_t seed = 1;
  };

  explicit RegistryWorld(const Options& options);
  ~RegistryWorld();

  // Starts a caller's request at some entry. Output lengths scatter around the
  // estimate as a log-normal with a spread of one half.
  void Ask(const std::string& id);
  // The caller with that id closes its connection.
  void Leave(const std::string& id);
  void CrashDecodeRunner(int index);

  void Run(Duration time);
  // Asks `per_second` requests a second for `time`.
  void Load(double per_second, Duration time);

  std::map<std::string, CallerResult>& Results() { return m_results; }
  RunnerCounts& Counts() { return m_counts; }
  int64_t MemoryUsed() const;
  size_t OpenRuns() const;
  size_t OpenHandles() const { return m_handles.size(); }
  size_t OpenRequests() const;

 private:
  friend class WorldLink;
  struct Entry;
  struct Agent;
  class Caller;

  void StepAll();

  Options m_options;
  ManualClock m_clock;
  EventQueue m_queue{&m_clock};
  WireFake m_wire;
  Random m_random;
  NoLog m_log;
  platform::PlatformRequestCodec m_requests;
  platform::PlatformEngineCodec m_engine_calls;
  KvHandles m_handles;
  RunnerCounts m_counts;
  std::map<VmName, PeerEvents*> m_peers;
  std::vector<std::unique_ptr<ModelRunnerFake>> m_runners;
  std::vector<std::string> m_decode_addresses;
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::vector<std::unique_ptr<Agent>> m_agents;
  std::map<std::string, std::unique_ptr<Caller>> m_callers;
  std::map<std::string, CallerResult> m_results;
  http::ConnectionPool m_caller_pool{&m_wire, &m_clock};
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_REGISTRY_WORLD_H_

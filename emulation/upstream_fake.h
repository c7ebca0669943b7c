#ifndef BURDOCKHILL_EMULATION_UPSTREAM_FAKE_H_
#define BURDOCKHILL_EMULATION_UPSTREAM_FAKE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "burdockhill/agent.h"
#include "emulation/event_queue.h"
#include "emulation/network_fake.h"
#include "emulation/node.h"
#include "standins/engine_model.h"

namespace burdockhill::emulation {

class UpstreamFake;

// Engines by address; used to find the engine that exports a KV cache.
using EngineDirectory = std::map<std::string, standins::EngineModel*>;

// Faults of an upstream's back ends.
struct BackEndFaults {
  bool unreachable = false;    // Calls fail at once.
  bool hangs = false;          // Calls are lost without an error.
  bool loses_cancels = false;  // Cancels are dropped unconfirmed.
};

// Number of executions of each plain call other than GET, by request body, over
// all upstreams.
struct ExecutionLog {
  std::map<std::string, int64_t> by_body;
};

// An upstream VM with its agent process and its engines, or one plain back end.
// Engines keep running when the agent crashes or is paused.
class UpstreamFake : public Node, public EngineLink {
 public:
  struct Options {
    Hello hello;
    ServiceName service;
    bool plain = false;
    std::vector<standins::EngineOptions> engines;
    Duration call_time = std::chrono::milliseconds(30);
  };

  UpstreamFake(const Options& options, EventQueue* queue, ManualClock* clock,
               Random* random, NetworkFake* network, EngineDirectory* directory,
               ExecutionLog* executions);

  // Node:
  PeerEvents* Events() override { return m_core.get(); }
  void Tick() override;

  void Start();
  void Crash();
  // Restarts an engine without its state. The agent's calls to it fail.
  void CrashEngine(size_t index);

  AgentCore* Core() { return m_core.get(); }
  standins::EngineModel& Engine(size_t index) { return *m_engines[index]; }
  size_t EngineCount() const { return m_engines.size(); }
  BackEndFaults& Faults() { return m_faults; }
  // Commands, cancels excepted, that have reached a back end.
  uint64_t CommandCount() const { return m_command_count; }
  // Advances the engines, whether the agent is up or not.
  void StepEngines();

  // EngineLink:
  void Prefill(const EngineName& engine,
               const PrefillCommand& command) override;
  void Decode(const EngineName& engine, const DecodeCommand& command) override;
  void Cancel(const EngineName& engine, const AttemptId& attempt) override;
  void CancelOrphanedRequest(const EngineName& engine,
                             const std::string& request) override;
  void PollState(const EngineName& engine) override;
  void Call(const EngineName& engine, const CallService& call) override;

 private:
  standins::EngineModel& FindEngine(const EngineName& name);
  // Runs `command` at the back end after the network delay. Runs `failed`
  // instead if the back end is unreachable, and neither if it hangs.
  void SendToBackEnd(std::function<void()> command,
                     std::function<void()> failed);
  // Delivers an event to the agent, unless it crashes in the meantime.
  void NotifyAgent(std::function<void(AgentCore*)> event);
  // Reports to the agent that the command for `attempt` failed. `ran`: the back
  // end may have run it.
  void Fail(const AttemptId& attempt, bool ran);
  std::string EngineAddress(size_t index) const;

  Options m_options;
  EventQueue* m_queue;
  ManualClock* m_clock;
  Random* m_random;
  LinkFake m_link;
  EngineDirectory* m_directory;
  ExecutionLog* m_executions;
  NetworkFake* m_network;
  std::vector<std::unique_ptr<standins::EngineModel>> m_engines;
  // Open attempts of each engine; they fail when the engine crashes.
  std::vector<std::set<AttemptId>> m_attempts;
  BackEndFaults m_faults;
  uint64_t m_command_count = 0;
  std::unique_ptr<AgentCore> m_core;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_UPSTREAM_FAKE_H_

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

// Finds the engine that exports a KV cache, by its address.
using EngineDirectory = std::map<std::string, standins::EngineModel*>;

// What is wrong with an engine or plain service.
struct BackEndFaults {
  bool unreachable = false;    // Nothing gets there; callers are told.
  bool hangs = false;          // Nothing gets there; nobody is told.
  bool loses_cancels = false;  // Cancels are neither obeyed nor confirmed.
};

// Executions of plain calls that are not reads, by body, over all upstreams.
struct ExecutionLog {
  std::map<std::string, int64_t> by_body;
};

// An upstream VM: its agent process, and beside it engines that go on whatever
// happens to the agent.
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
  void Step() override;

  void Start();
  void Crash();
  // The engine loses all it has; the agent sees its connections break.
  void CrashEngine(size_t index);

  AgentCore* Core() { return m_core.get(); }
  standins::EngineModel& Engine(size_t index) { return *m_engines[index]; }
  size_t EngineCount() const { return m_engines.size(); }
  BackEndFaults& Faults() { return m_faults; }
  // Orders that reached a back end since the start of the test.
  uint64_t OrdersTaken() const { return m_orders_taken; }
  // Steps the engines; they do not depend on the agent.
  void StepEngines();

  // EngineLink:
  void Prefill(const EngineName& engine, const PrefillCommand& order) override;
  void Decode(const EngineName& engine, const DecodeCommand& order) override;
  void Cancel(const EngineName& engine, const AttemptId& attempt) override;
  void CancelOrphanedRequest(const EngineName& engine,
                             const std::string& request) override;
  void PollState(const EngineName& engine) override;
  void Call(const EngineName& engine, const CallService& call) override;

 private:
  standins::EngineModel& ModelOf(const EngineName& name);
  // Carries `order` to the back end, if it is reachable.
  void Deliver(std::function<void()> order, std::function<void()> failed);
  // Brings an event to the agent that is alive now.
  void Tell(std::function<void(AgentCore*)> event);
  void TellFailed(const AttemptId& attempt, bool ran);
  std::string AddressOf(size_t index) const;

  Options m_options;
  EventQueue* m_queue;
  ManualClock* m_clock;
  Random* m_random;
  LinkFake m_link;
  EngineDirectory* m_directory;
  ExecutionLog* m_executions;
  NetworkFake* m_network;
  std::vector<std::unique_ptr<standins::EngineModel>> m_engines;
  // Orders in each engine, so that a crash can break their connections.
  std::vector<std::set<AttemptId>> m_open;
  BackEndFaults m_faults;
  uint64_t m_orders_taken = 0;
  std::unique_ptr<AgentCore> m_core;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_UPSTREAM_FAKE_H_

#ifndef BURDOCKHILL_EMULATION_ENTRY_AGENT_DEPLOYMENT_H_
#define BURDOCKHILL_EMULATION_ENTRY_AGENT_DEPLOYMENT_H_

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "emulation/caller_log.h"
#include "emulation/entry_fake.h"
#include "emulation/event_queue.h"
#include "emulation/network_fake.h"
#include "emulation/store_fake.h"
#include "emulation/upstream_fake.h"

namespace burdockhill::emulation {

// Size of an emulated deployment. Each availability zone has entries, prefill
// and decode upstreams, and one VM of a plain service.
struct EntryAgentDeploymentOptions {
  uint64_t seed = 1;
  size_t zones = 2;
  size_t entries_per_zone = 1;
  size_t prefill_upstreams_per_zone = 1;
  size_t decode_upstreams_per_zone = 2;
  size_t engines_per_upstream = 1;
  // If false, the last zone is in a region of its own.
  bool has_single_region = true;
  standins::EngineOptions engine;  // For prefill and decode engines.
  std::string team_limits =
      R"("requests_per_second":10000,"burst":10000,"max_concurrent":10000)";
  std::string policy = R"({"first_token_limit_ms":5000})";
};

// Emulated deployment: the production controllers of several entries and agents
// in one process, with fakes at their interfaces and a manual clock. Runs are
// deterministic: the same seed and the same calls give the same result.
class EntryAgentDeployment {
 public:
  static constexpr char kModelService[] = "digest-llm";
  static constexpr char kPlainService[] = "booking-app";
  static constexpr char kKeySha256[] =
      "0000000000000000000000000000000000000000000000000000000000000000";

  explicit EntryAgentDeployment(const EntryAgentDeploymentOptions& options);

  // Advances the clock by `time` and runs everything that is due.
  void RunFor(Duration time);

  // Runs until every entry that is up and not paused has a configuration and
  // usable, healthy upstreams. Returns false if that takes longer than `limit`.
  bool RunUntilReady(Duration limit = std::chrono::seconds(30));

  // Sends a request to an entry. Returns nullopt if the entry is down or
  // paused.
  std::optional<RequestId> SendRequest(size_t entry, CallerRequest request);
  std::optional<RequestId> SendPrompt(size_t entry, const std::string& prompt,
                                      int64_t max_tokens);
  std::optional<RequestId> SendCall(size_t entry, const std::string& method,
                                    const std::string& body,
                                    const std::string& key = {});
  // Closes the caller's connection.
  void Close(RequestId id);

  void CrashEntry(size_t index);

  // Writes a resource to the store, as an operator would.
  void WriteResource(const std::string& kind, const std::string& name,
                     const std::string& spec);

  std::vector<std::unique_ptr<EntryFake>>& Entries() { return m_entries; }
  std::vector<std::unique_ptr<UpstreamFake>>& Upstreams() {
    return m_upstreams;
  }
  CallerLog& Callers() { return m_callers; }
  NetworkFake& Network() { return m_network; }
  PlatformFake& Platform() { return m_platform; }
  ExecutionLog& Executions() { return m_executions; }
  const ManualClock& GetClock() const { return m_clock; }
  Random& RandomSource() { return m_random; }

  // Requests that run or wait in any engine, as "VM ENGINE-REQUEST-ID".
  std::vector<std::string> RequestsHeldInEngines() const;

 private:
  void AddUpstream(const std::string& vm, const ZoneName& zone,
                   const RegionName& region, bool plain,
                   const std::vector<standins::EngineOptions>& engines);
  void RegisterVm(const Hello& hello);
  void WriteInitialResources();
  void TickAll();

  EntryAgentDeploymentOptions m_options;
  ManualClock m_clock;
  Random m_random;
  EventQueue m_queue;
  NetworkFake m_network;
  PlatformFake m_platform;
  CallerLog m_callers;
  EngineDirectory m_directory;
  ExecutionLog m_executions;
  std::vector<std::unique_ptr<EntryFake>> m_entries;
  std::vector<std::unique_ptr<UpstreamFake>> m_upstreams;
  TimePoint m_next_reconnect_at{};
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_ENTRY_AGENT_DEPLOYMENT_H_

#ifndef BURDOCKHILL_SOAK_UPSTREAMS_H_
#define BURDOCKHILL_SOAK_UPSTREAMS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "burdockhill/src/base/random.h"
#include "emulation/plain_runner_fake.h"
#include "soak/environment.h"
#include "soak/fault_proxy.h"
#include "soak/store.h"

namespace burdockhill::soak {

// The engines and plain services behind fault-injecting proxies, and what they
// and the operators write to the store.
class Upstreams {
 public:
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
  struct Counts {
    int releases = 0;
    int silences = 0;
    int restores = 0;
    int endless = 0;
  };

  explicit Upstreams(const Environment& environment);

  // Begins or ends a random fault.
  void InjectFault();
  void Tick();
  // Ends all answers without end.
  void EndEndless();
  // Ends all faults and has everything in force written once more.
  void EndFaults();

  std::string NewestPath() const {
    return "/version-" + std::to_string(m_version) + "/";
  }
  // Decode engines of this version that are ready and sound, for so long.
  std::vector<int> ServingEngines(const std::string& version,
                                  Duration time) const;
  // The newest limit on the idle time of callers' connections.
  Duration IdleLimit() const { return m_idle_limit; }
  // Of the plain services, or of the engines.
  std::vector<const emulation::RequestRate*> Rates(bool plain);
  int RunsOf(const std::string& request) const;
  int64_t HeldTokens() const;
  size_t HeldHandles() const { return m_handles.size(); }
  int CutHeadCount() const;
  int MalformedCount() const;
  const Counts& EventCounts() const { return m_event_counts; }
  const std::vector<Limited>& LimitedUpstreams() const { return m_limited; }
  const std::vector<Statement>& Statements() const { return m_statements; }
  emulation::PlainRunnerFake& StatingService() {
    return *m_plain_services.back();
  }
  bool StatingServiceHadFault() const { return m_proxies.back()->HadFault(); }

 private:
  using PlainRunnerFake = emulation::PlainRunnerFake;

  struct Engine {
    std::unique_ptr<emulation::ModelRunnerFake> fake;
    std::string name;
    bool is_ready = true;
    TimePoint since{};  // When it has become ready or ceased to be.
  };

  // Writes a new configuration version. Besides the permanent routes, each
  // version has one route of its own, which shows that it is in force.
  void ChangeConfiguration();
  void AddEngine(int i);
  void AddPlain(int i);
  void RegisterPlain(int i, const std::string& state);
  void RegisterEngine(int i, const std::string& state);
  void Register(const std::string& name, nlohmann::json spec);
  std::string EngineHost(int i) const { return m_environment.Host(1, 1 + i); }
  std::string PlainHost(int i) const { return m_environment.Host(3, 1 + i); }
  bool InjectFaultOfClass();
  // Has some upstreams, or the store, send without end.
  void BeginEndless();
  void Silence(FaultProxy* proxy, TimePoint until);
  // Replaces an engine by a process of another software version.
  void Release();
  void FinishRelease(int i, bool keeps_name);
  void RestoreStore();
  void LimitUpstream();
  void LiftLimits();
  void MakeStatement(bool leaves);
  void EndLeaving();
  void WriteUnreadableEntry();
  void ClearFaults();
  void WriteAll();

  const Environment& m_environment;
  Random m_random;
  Store m_store;
  std::unique_ptr<FaultProxy> m_store_proxy;
  emulation::KvHandles m_handles;
  emulation::RunnerCounters m_counts;
  uint64_t m_version = 0;
  Duration m_idle_limit{0};
  // As upstreams and operators have written them last.
  std::map<std::string, nlohmann::json> m_registrations;
  std::vector<std::string> m_gone_names;
  nlohmann::json m_configuration;
  int64_t m_writes = 0;
  TimePoint m_write_again_at{};
  std::vector<Limited> m_limited;
  std::vector<Statement> m_statements;
  std::vector<Engine> m_engines;
  std::vector<std::unique_ptr<PlainRunnerFake>> m_plain_services;
  // Those of the engines come first.
  std::vector<std::unique_ptr<FaultProxy>> m_proxies;
  // Of the route that always has a sound upstream.
  std::unique_ptr<PlainRunnerFake> m_steady_service;
  TimePoint m_endless_until{};
  Counts m_event_counts;
};

}  // namespace burdockhill::soak

#endif  // BURDOCKHILL_SOAK_UPSTREAMS_H_

// Module entry: unit tests of its parts.

#include "burdockhill/entry.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <utility>
#include <vector>

#include "burdockhill/src/entry/agent_subset.h"
#include "burdockhill/src/entry/configuration_coordinator.h"
#include "burdockhill/src/entry/entry_configuration.h"
#include "burdockhill/src/entry/prefix_directory.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(TeamRate) {
  RateLimit limit;
  TimePoint now{seconds(1)};
};

TEST(TeamRate, AccumulatesPermitsUpToItsBurst) {
  limit.Configure(10.0, 5.0);
  for (int i = 0; i < 5; ++i) CHECK(limit.TryAcquire(now));
  CHECK(!limit.TryAcquire(now));
  now += seconds(100);
  for (int i = 0; i < 5; ++i) CHECK(limit.TryAcquire(now));
  CHECK(!limit.TryAcquire(now));
}

TEST(TeamRate, ReportsTheTimeUntilAPermitIsAvailable) {
  limit.Configure(10.0, 1.0);
  CHECK(limit.TryAcquire(now));
  CHECK(!limit.TryAcquire(now));
  CHECK(limit.TimeUntilAvailable() <= milliseconds(100));
  now += limit.TimeUntilAvailable() + Duration(1);
  CHECK(limit.TryAcquire(now));
}

TEST_GROUP(Prefixes) {
  PrefixDirectory directory;
  ServiceName service{"m"};
  VmName vm{"runner"};
  std::string prompt = std::string(5000, 'a');
};

TEST(Prefixes, LongestSharedPrefixCounts) {
  directory.Record(service, prompt, vm);
  std::string other = prompt.substr(0, 2000) + std::string(4000, 'b');
  LONGS_EQUAL(1024, directory.ExpectedReuse(service, prompt, vm).Value());
  LONGS_EQUAL(256, directory.ExpectedReuse(service, other, vm).Value());
  LONGS_EQUAL(0, directory.ExpectedReuse(service, prompt, VmName("x")).Value());
  LONGS_EQUAL(0, directory.ExpectedReuse(ServiceName("n"), prompt, vm).Value());
}

TEST(Prefixes, ReportedReuseRemovesLongerPrefixes) {
  directory.Record(service, prompt, vm);
  directory.RemoveUncached(service, prompt, vm, Tokens(256));
  LONGS_EQUAL(256, directory.ExpectedReuse(service, prompt, vm).Value());
  directory.RemoveUncached(service, prompt, vm, Tokens(0));
  LONGS_EQUAL(0, directory.ExpectedReuse(service, prompt, vm).Value());
}

TEST_GROUP(AgentSubset) {
  Configuration configuration;
  std::vector<ListedVm> listed;

  void AddAgents(const std::string& service, Pool pool, size_t count) {
    for (size_t i = 0; i < count; ++i) {
      ListedVm vm;
      vm.name = VmName(service + "-" + std::to_string(listed.size()));
      vm.role = Role::kAgent;
      vm.region = RegionName("r");
      listed.push_back(vm);
      Upstream upstream;
      upstream.name = UpstreamName(vm.name.Value());
      upstream.service = ServiceName(service);
      upstream.vm = vm.name;
      upstream.pool = pool;
      configuration.upstreams[upstream.name] = upstream;
    }
  }
};

TEST(AgentSubset, ChoosesAllAgentsOfASmallPool) {
  AddAgents("m", Pool::kPrefill, 2);
  AddAgents("m", Pool::kDecode, 4);
  LONGS_EQUAL(6, ChooseAgents(VmName("e"), configuration, listed).size());
}

TEST(AgentSubset, IsBoundedAndEvenAtTheExpectedSize) {
  // Expected size of one region in two years: 28 models on 385 agents (392
  // here), 170 entries.
  for (int m = 0; m < 28; ++m) {
    AddAgents("m" + std::to_string(m), Pool::kPrefill, 4);
    AddAgents("m" + std::to_string(m), Pool::kDecode, 10);
  }
  std::map<VmName, size_t> entries_by_agent;
  for (int e = 0; e < 170; ++e) {
    const auto chosen = ChooseAgents(VmName("entry-" + std::to_string(e)),
                                     configuration, listed);
    LONGS_EQUAL(size_t{28} * 2 * kAgentsPerPool, chosen.size());
    for (const VmName& vm : chosen) ++entries_by_agent[vm];
  }
  LONGS_EQUAL(listed.size(), entries_by_agent.size());
  for (const auto& [vm, count] : entries_by_agent) CHECK(count >= 40);
}

TEST(AgentSubset, ChangesLittleWhenAVmIsAdded) {
  AddAgents("m", Pool::kDecode, 50);
  const auto before = ChooseAgents(VmName("e"), configuration, listed);
  AddAgents("m", Pool::kDecode, 1);
  const auto after = ChooseAgents(VmName("e"), configuration, listed);
  size_t unchanged = 0;
  for (const VmName& vm : before) unchanged += after.count(vm);
  CHECK(unchanged + 1 >= before.size());
}

namespace {

// A store whose calls the test completes, at any time and in any order.
class ScriptedStore : public ObjectStore {
 public:
  struct Write {
    ResourceKey key;
    std::string value;
    uint64_t expected_version = 0;
    PutDone done;
  };

  void Get(const ResourceKey& key, GetDone done) override {
    reads.emplace_back(key, std::move(done));
  }
  void Put(const ResourceKey& key, const std::string& value,
           uint64_t expected_version, PutDone done) override {
    writes.push_back({key, value, expected_version, std::move(done)});
  }
  void Delete(const ResourceKey& /*key*/, uint64_t /*expected_version*/,
              PutDone /*done*/) override {}
  void Watch(const std::vector<std::string>& /*kinds*/, uint64_t /*since*/,
             WatchDone done) override {
    watches.push_back(std::move(done));
  }
  void ListVms(ListDone /*done*/) override {}

  // The callback of the oldest pending read of `key`; null if there is none.
  GetDone PopRead(const ResourceKey& key) {
    for (auto it = reads.begin(); it != reads.end(); ++it) {
      if (it->first != key) continue;
      GetDone done = std::move(it->second);
      reads.erase(it);
      return done;
    }
    return nullptr;
  }

  std::vector<std::pair<ResourceKey, GetDone>> reads;
  std::vector<Write> writes;
  std::vector<WatchDone> watches;
};

class RecordingPeers : public PeerLink {
 public:
  void Connect(const VmName& /*vm*/, const std::string& /*address*/) override {}
  void Disconnect(const VmName& /*vm*/) override {}
  void Send(const VmName& vm, Message message) override {
    sent.emplace_back(vm, std::move(message));
  }
  std::vector<std::pair<VmName, Message>> sent;
};

}  // namespace

TEST_GROUP(Coordinator) {
  void setup() override {
    m_board.self.vm = VmName("e");
    m_board.self.incarnation = Incarnation(1);
    ListedVm self;
    self.name = m_board.self.vm;
    m_board.listed_vms = {self};
  }

  void AdvanceAndTick(Duration elapsed) {
    m_board.now += elapsed;
    m_coordinator.Tick();
  }

  // Completes the pending read or write of the lease.
  void CompleteLeaseCall(StoreStatus status) {
    if (ObjectStore::GetDone read = m_store.PopRead(m_lease_key)) {
      return read(status, StoredObject());
    }
    for (auto it = m_store.writes.begin(); it != m_store.writes.end(); ++it) {
      if (it->key != m_lease_key) continue;
      const ObjectStore::PutDone done = std::move(it->done);
      m_store.writes.erase(it);
      return done(status, ++m_version);
    }
  }
  void AcquireLease() {
    AdvanceAndTick(seconds(4));
    CompleteLeaseCall(StoreStatus::kNotFound);
    CompleteLeaseCall(StoreStatus::kOk);
    AdvanceAndTick(milliseconds(1));
    CHECK(m_coordinator.HoldsLease());
  }

  const ResourceKey m_lease_key{kLeaseKind, "configuration"};
  uint64_t m_version = 100;
  Random m_random{1};
  ScriptedStore m_store;
  RecordingPeers m_peers;
  EntryBlackboard m_board{&m_random};
  ConfigurationCoordinator m_coordinator{&m_board, &m_peers, &m_store};
};

TEST(Coordinator, IgnoresAnswersOfAnEarlierTerm) {
  AcquireLease();
  const auto late_read = m_store.PopRead(ConfigurationStateKey());
  CHECK(late_read != nullptr);
  // The lease is lost to a conflict and acquired again, so the state is read
  // again. The answer to the first read then arrives last and must not count.
  AdvanceAndTick(seconds(4));
  CompleteLeaseCall(StoreStatus::kConflict);
  CHECK_FALSE(m_coordinator.HoldsLease());
  AcquireLease();
  ConfigurationStateObject state;
  state.accepted = Generation(7);
  StoredObject object;
  object.version = 50;
  object.value = FormatState(state);
  const auto read = m_store.PopRead(ConfigurationStateKey());
  CHECK(read != nullptr);
  read(StoreStatus::kOk, object);
  StoredObject content;
  content.value = ComposeConfiguration({});
  m_store.PopRead(ConfigurationContentKey(Generation(7)))(StoreStatus::kOk,
                                                          content);
  late_read(StoreStatus::kNotFound, StoredObject());
  AdvanceAndTick(milliseconds(1));
  LONGS_EQUAL(1, m_store.watches.size());
  StoredObject policy;
  policy.key = {"RoutingPolicy", "default"};
  policy.version = 60;
  policy.value = R"({"first_token_limit_ms":4000})";
  m_store.watches.front()(StoreStatus::kOk, {policy}, 60);
  AdvanceAndTick(milliseconds(1));
  for (const auto& write : std::exchange(m_store.writes, {})) {
    if (write.key == ConfigurationContentKey(Generation(8))) {
      write.done(StoreStatus::kOk, 61);
    }
  }
  LONGS_EQUAL(1, m_store.writes.size());
  CHECK(m_store.writes.front().key == ConfigurationStateKey());
  LONGS_EQUAL(50, m_store.writes.front().expected_version);
}

TEST_GROUP(EntryConfiguration){};

// A lost offer is repeated when the next load report shows that the agent is
// behind.
TEST(EntryConfiguration, RepeatsTheOfferToAnAgentThatIsBehind) {
  Random random(1);
  ScriptedStore store;
  RecordingPeers peers;
  EntryBlackboard board(&random);
  board.in_force = Generation(5);
  board.staged = Generation(5);
  board.in_force_content =
      ConfigurationContent::Parse(ComposeConfiguration({}));
  burdockhill::EntryConfiguration configuration(&board, &peers, &store);
  LoadReport report;
  report.in_force = Generation(4);
  report.staged = Generation(5);
  for (size_t reports = 1; reports <= 2; ++reports) {
    configuration.OnLoadReport(VmName("a"), report);
    LONGS_EQUAL(reports, peers.sent.size());
    const auto* offer =
        std::get_if<ConfigurationOffer>(&peers.sent.back().second);
    CHECK(offer != nullptr);
    LONGS_EQUAL(5, offer->generation.Value());
  }
  report.in_force = Generation(5);
  configuration.OnLoadReport(VmName("a"), report);
  LONGS_EQUAL(2, peers.sent.size());
}

// Module entry: parts of the entry by themselves.

#include "burdockhill/entry.h"

#include <CppUTest/TestHarness.h>

#include <map>

#include "burdockhill/src/entry/agent_subset.h"
#include "burdockhill/src/entry/prefix_directory.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(TenantRate) {
  RateLimit limit;
  TimePoint now{seconds(1)};
};

TEST(TenantRate, SavesUpToItsBurst) {
  limit.Configure(10.0, 5.0);
  for (int i = 0; i < 5; ++i) CHECK(limit.Take(now));
  CHECK(!limit.Take(now));
  now += seconds(100);
  for (int i = 0; i < 5; ++i) CHECK(limit.Take(now));
  CHECK(!limit.Take(now));
}

TEST(TenantRate, SaysWhenToComeBack) {
  limit.Configure(10.0, 1.0);
  CHECK(limit.Take(now));
  CHECK(!limit.Take(now));
  CHECK(limit.TimeToNext() <= milliseconds(100));
  now += limit.TimeToNext() + Duration(1);
  CHECK(limit.Take(now));
}

TEST_GROUP(Prefixes) {
  PrefixDirectory directory;
  ServiceName service{"m"};
  VmName vm{"runner"};
  std::string prompt = std::string(5000, 'a');
};

TEST(Prefixes, LongestSharedStartCounts) {
  directory.Record(service, prompt, vm);
  std::string other = prompt.substr(0, 2000) + std::string(4000, 'b');
  LONGS_EQUAL(1024, directory.ExpectedReuse(service, prompt, vm).Value());
  LONGS_EQUAL(256, directory.ExpectedReuse(service, other, vm).Value());
  LONGS_EQUAL(0, directory.ExpectedReuse(service, prompt, VmName("x")).Value());
  LONGS_EQUAL(0, directory.ExpectedReuse(ServiceName("n"), prompt, vm).Value());
}

TEST(Prefixes, TheEnginesWordCorrectsThem) {
  directory.Record(service, prompt, vm);
  directory.Correct(service, prompt, vm, Tokens(256));
  LONGS_EQUAL(256, directory.ExpectedReuse(service, prompt, vm).Value());
  directory.Correct(service, prompt, vm, Tokens(0));
  LONGS_EQUAL(0, directory.ExpectedReuse(service, prompt, vm).Value());
}

TEST_GROUP(AgentSubset) {
  Configuration configuration;
  std::vector<ListedVm> listed;

  void AddRunners(const std::string& service, Pool pool, size_t count) {
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

TEST(AgentSubset, TakesAllOfASmallPool) {
  AddRunners("m", Pool::kPrefill, 2);
  AddRunners("m", Pool::kDecode, 4);
  LONGS_EQUAL(6, ChooseAgents(VmName("e"), configuration, listed).size());
}

TEST(AgentSubset, IsBoundedAndEvenAtTheTwoYearSize) {
  // One region: 28 models on 385 runners, 170 entries.
  for (int m = 0; m < 28; ++m) {
    AddRunners("m" + std::to_string(m), Pool::kPrefill, 4);
    AddRunners("m" + std::to_string(m), Pool::kDecode, 10);
  }
  std::map<VmName, size_t> entries_of;
  for (int e = 0; e < 170; ++e) {
    const auto chosen = ChooseAgents(VmName("entry-" + std::to_string(e)),
                                     configuration, listed);
    LONGS_EQUAL(size_t{28} * 2 * kAgentsPerPool, chosen.size());
    for (const VmName& vm : chosen) ++entries_of[vm];
  }
  LONGS_EQUAL(listed.size(), entries_of.size());
  for (const auto& [vm, count] : entries_of) CHECK(count >= 40);
}

TEST(AgentSubset, ChangesLittleWhenAVmIsAdded) {
  AddRunners("m", Pool::kDecode, 50);
  const auto before = ChooseAgents(VmName("e"), configuration, listed);
  AddRunners("m", Pool::kDecode, 1);
  const auto after = ChooseAgents(VmName("e"), configuration, listed);
  size_t kept = 0;
  for (const VmName& vm : before) kept += after.count(vm);
  CHECK(kept + 1 >= before.size());
}

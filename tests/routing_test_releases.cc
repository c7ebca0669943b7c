// Tests of routing: roles of engines while a service runs several versions of
// the engines' software.

#include <algorithm>
#include <cstdlib>
#include <map>
#include <optional>

#include "tests/routing_test_support.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kStep = milliseconds(500);
constexpr Duration kRoleChangeTime = seconds(4);
// From the report that an engine leaves to the start of the next one there.
constexpr Duration kRestartTime = seconds(8);
constexpr Duration kMinOrderInterval = seconds(2);

// The engines of a service and their agents. Each VM has one engine, which may
// be replaced by another.
class SimulatedService {
 public:
  explicit SimulatedService(const PoolRates& rates) : m_rates(rates) {}

  // A VM whose engines start in `role`.
  void AddVm(const std::string& vm, EngineRole role,
             const std::string& version) {
    m_vms[vm].start_role = role;
    m_vms[vm].balance.SetRates(m_rates);
    StartEngine(vm, version);
  }
  void AddVms(const std::string& vms, EngineRole role,
              const std::string& version) {
    for (const char vm : vms) AddVm(std::string(1, vm), role, version);
  }
  void StartEngine(const std::string& vm, const std::string& version) {
    Vm& state = m_vms[vm];
    ++state.starts;
    state.engine =
        MakeEngine(vm + std::to_string(state.starts), state.start_role);
    state.engine.address = vm + ":80";
    state.engine.version = SoftwareVersion(version);
    state.changed_at.reset();
    Register(&state);
  }
  void Leave(const std::string& vm) {
    m_vms[vm].engine.leaving = true;
    Register(&m_vms[vm]);
  }
  void End(const std::string& vm) {
    m_directory.ApplyRemoval(m_vms[vm].engine.name, {++m_revision}, m_now);
    m_vms[vm].engine.name = UpstreamName();
  }

  void RunFor(Duration time) {
    for (const TimePoint end = m_now + time; m_now < end; m_now += kStep) {
      for (auto& [name, vm] : m_vms) Tick(&vm);
      for (const auto& [version, count] : Count()) {
        if (count.decode == 0) m_without_decode[version] += kStep;
      }
    }
  }
  // Replaces the engines of these VMs, one each `interval`.
  void Replace(const std::string& vms, const std::string& version,
               Duration interval) {
    const TimePoint begin = m_now;
    const TimePoint end =
        begin + interval * static_cast<int>(vms.size() - 1) + kRestartTime;
    for (; m_now <= end; RunFor(kStep)) {
      for (size_t i = 0; i < vms.size(); ++i) {
        const std::string vm(1, vms[i]);
        const TimePoint leave_at = begin + interval * static_cast<int>(i);
        if (m_now == leave_at) Leave(vm);
        if (m_now != leave_at + kRestartTime) continue;
        End(vm);
        StartEngine(vm, version);
      }
    }
  }

  struct PoolSizes {
    int prefill = 0;
    int decode = 0;
    PoolSizes() = default;
    PoolSizes(int prefill_count, int decode_count)
        : prefill(prefill_count), decode(decode_count) {}
    bool operator==(const PoolSizes&) const = default;
  };
  // By version, without engines that leave or change their role.
  std::map<std::string, PoolSizes> Count() const {
    std::map<std::string, PoolSizes> counts;
    for (const auto& [name, vm] : m_vms) {
      if (!vm.engine.name.IsValid() || vm.engine.leaving) continue;
      PoolSizes& count = counts[vm.engine.version.Value()];
      if (vm.changed_at.has_value()) continue;
      ++(*vm.engine.role == EngineRole::kDecode ? count.decode : count.prefill);
    }
    return counts;
  }
  int Orders() const { return m_orders; }
  // The most that one engine got.
  int MostOrdersOfAnEngine() const {
    int most = 0;
    for (const auto& [engine, orders] : m_orders_by_engine) {
      most = std::max(most, orders);
    }
    return most;
  }
  // How long the version had engines and none of them could decode.
  Duration WithoutDecode(const std::string& version) const {
    const auto found = m_without_decode.find(version);
    return found == m_without_decode.end() ? Duration(0) : found->second;
  }

 private:
  struct Vm {
    EngineRole start_role = EngineRole::kDecode;
    RegisteredUpstream engine;  // Without a name if there is none.
    int starts = 0;
    PoolBalance balance;
    std::optional<TimePoint> changed_at;  // End of a change of role.
    EngineRole next_role = EngineRole::kDecode;
    TimePoint next_order_at{};
  };

  void Register(Vm* vm) {
    vm->engine.revision = ++m_revision;
    m_directory.ApplyUpdate(vm->engine);
  }
  void Tick(Vm* vm) {
    if (!vm->engine.name.IsValid()) return;
    if (vm->changed_at.has_value() && m_now >= *vm->changed_at) {
      vm->changed_at.reset();
      vm->engine.role = vm->next_role;
      Register(vm);
    }
    const std::optional<EngineRole> role =
        vm->balance.DecideRole(m_directory, vm->engine.name, m_now);
    if (!role.has_value() || vm->changed_at.has_value() ||
        m_now < vm->next_order_at) {
      return;
    }
    vm->next_order_at = m_now + kMinOrderInterval;
    vm->changed_at = m_now + kRoleChangeTime;
    vm->next_role = *role;
    ++m_orders;
    ++m_orders_by_engine[vm->engine.name];
  }

  PoolRates m_rates;
  TimePoint m_now{seconds(100)};
  uint64_t m_revision = 0;
  UpstreamDirectory m_directory;
  std::map<std::string, Vm> m_vms;
  int m_orders = 0;
  std::map<UpstreamName, int> m_orders_by_engine;
  std::map<std::string, Duration> m_without_decode;
};

}  // namespace

TEST_GROUP(EngineReleases) {
  int WantedOf(int engines) const {
    return PoolBalance::BestPrefillCount(m_rates, engines);
  }

  // Three prefill engines of nine are the best split.
  PoolRates m_rates{10, 3.5};
  SimulatedService m_service{m_rates};
};

TEST(EngineReleases, TheOnlyEngineOfAVersionDecodes) {
  m_service.AddVms("ab", EngineRole::kPrefill, "1");
  m_service.AddVms("cdefgh", EngineRole::kDecode, "1");
  m_service.AddVms("z", EngineRole::kPrefill, "2");
  m_service.RunFor(seconds(10));
  CHECK(m_service.Count()["2"] == SimulatedService::PoolSizes(0, 1));
}

TEST(EngineReleases, TheOnlyEngineOfAVersionKeepsDecoding) {
  m_service.AddVms("a", EngineRole::kDecode, "2");
  m_service.AddVms("bcdefghi", EngineRole::kDecode, "1");
  m_service.RunFor(seconds(60));
  CHECK(m_service.Count()["2"] == SimulatedService::PoolSizes(0, 1));
  LONGS_EQUAL(WantedOf(8), m_service.Count()["1"].prefill);
}

// Other versions' decode engines are of no use to it. The rest of its split
// follows once the numbers of engines are steady.
TEST(EngineReleases, AVersionOfPrefillEnginesGetsADecodeEngine) {
  m_service.AddVms("abc", EngineRole::kPrefill, "1");
  m_service.AddVms("defghi", EngineRole::kDecode, "2");
  m_service.RunFor(seconds(10));
  CHECK(m_service.Count()["1"].decode >= 1);
  LONGS_EQUAL(1, m_service.Orders());
  m_service.RunFor(seconds(10));
  CHECK(m_service.Count()["1"] == SimulatedService::PoolSizes(1, 2));
  LONGS_EQUAL(2, m_service.Orders());
}

// Each version gets its best split with as few orders as possible, and all
// versions together have as many prefill engines as one version would have.
TEST(EngineReleases, EachVersionHasASplitOfItsOwn) {
  const std::string all = "abcdefghi";
  for (const std::string roles : {"PPPDDDDDD", "DDDDDDPPP", "PDDPDDPDD"}) {
    for (size_t first = 2; first <= 7; ++first) {
      SimulatedService service(m_rates);
      std::map<std::string, int> prefill;
      for (size_t i = 0; i < all.size(); ++i) {
        const std::string version = i < first ? "1" : "2";
        const bool is_prefill = roles[i] == 'P';
        if (is_prefill) ++prefill[version];
        service.AddVm(all.substr(i, 1),
                      is_prefill ? EngineRole::kPrefill : EngineRole::kDecode,
                      version);
      }
      service.RunFor(seconds(120));
      const int engines = static_cast<int>(first);
      std::map<std::string, SimulatedService::PoolSizes> count =
          service.Count();
      PoolBalance split;
      split.SetRates(m_rates);
      LONGS_EQUAL(split.TargetPrefillCount(engines, prefill["1"]),
                  count["1"].prefill);
      LONGS_EQUAL(split.TargetPrefillCount(9 - engines, prefill["2"]),
                  count["2"].prefill);
      CHECK(count["1"].prefill + count["2"].prefill >= WantedOf(9));
      LONGS_EQUAL(std::abs(count["1"].prefill - prefill["1"]) +
                      std::abs(count["2"].prefill - prefill["2"]),
                  service.Orders());
    }
  }
}

// Nobody knows which engines could use the KV caches that they compute.
TEST(EngineReleases, EnginesOfUnknownVersionDecode) {
  m_service.AddVms("ab", EngineRole::kPrefill, "");
  m_service.AddVms("cd", EngineRole::kDecode, "");
  m_service.AddVms("e", EngineRole::kPrefill, "1");
  m_service.AddVms("fg", EngineRole::kDecode, "1");
  m_service.RunFor(seconds(60));
  CHECK(m_service.Count()[""] == SimulatedService::PoolSizes(0, 4));
  CHECK(m_service.Count()["1"] == SimulatedService::PoolSizes(1, 2));
  LONGS_EQUAL(2, m_service.Orders());
}

// Nine engines are replaced one after the other. No version is without a decode
// engine for longer than it takes to change one role, no engine is sent back
// and forth, and there are no more orders than prefill engines.
TEST(EngineReleases, AReleaseOneByOneCausesFewOrders) {
  for (const char* prefill : {"abc", "ghi", "adg"}) {
    for (const int interval : {2, 5, 10, 20}) {
      SimulatedService service(m_rates);
      for (const char vm : std::string("abcdefghi")) {
        const bool is_prefill =
            std::string(prefill).find(vm) != std::string::npos;
        service.AddVm(std::string(1, vm),
                      is_prefill ? EngineRole::kPrefill : EngineRole::kDecode,
                      "1");
      }
      service.RunFor(seconds(30));
      LONGS_EQUAL(0, service.Orders());
      service.Replace("abcdefghi", "2", seconds(interval));
      service.RunFor(seconds(90));
      const std::string text = std::string(prefill) + " each " +
                               std::to_string(interval) +
                               " s: " + std::to_string(service.Orders()) +
                               " orders, of one engine " +
                               std::to_string(service.MostOrdersOfAnEngine());
      CHECK_TEXT(service.Orders() <= 6, text.c_str());
      CHECK_TEXT(service.MostOrdersOfAnEngine() <= 2, text.c_str());
      CHECK_TEXT(service.WithoutDecode("1") <= seconds(10), text.c_str());
      CHECK_TEXT(service.WithoutDecode("2") <= seconds(10), text.c_str());
      CHECK(service.Count()["2"] == SimulatedService::PoolSizes(3, 6));
    }
  }
}

TEST(EngineReleases, AReplacementOfAllAtOnceCausesNoOrders) {
  m_service.AddVms("abc", EngineRole::kPrefill, "1");
  m_service.AddVms("defghi", EngineRole::kDecode, "1");
  m_service.RunFor(seconds(30));
  m_service.Replace("abcdefghi", "2", Duration(0));
  m_service.RunFor(seconds(90));
  LONGS_EQUAL(0, m_service.Orders());
}

// An order at a time of change is given only where a version cannot decode; the
// splits follow when the release has stopped.
TEST(EngineReleases, AfterAHalfEachVersionIsSplitOnce) {
  for (const char* half : {"abcde", "efghi"}) {
    SimulatedService service(m_rates);
    service.AddVms("abc", EngineRole::kPrefill, "1");
    service.AddVms("defghi", EngineRole::kDecode, "1");
    service.RunFor(seconds(30));
    service.Replace(half, "2", Duration(0));
    service.RunFor(seconds(120));
    LONGS_EQUAL(1, service.MostOrdersOfAnEngine());
    for (const auto& [version, count] : service.Count()) {
      LONGS_EQUAL(WantedOf(count.prefill + count.decode), count.prefill);
    }
  }
}

TEST(EngineReleases, AVersionThatLeavesCausesNoOrders) {
  m_service.AddVms("ab", EngineRole::kPrefill, "1");
  m_service.AddVms("cdef", EngineRole::kDecode, "1");
  m_service.AddVms("ghi", EngineRole::kPrefill, "2");
  for (const char* vm : {"g", "h", "i"}) m_service.Leave(vm);
  m_service.RunFor(seconds(90));
  LONGS_EQUAL(0, m_service.Orders());
}

// The remaining engine decodes from the first crash on, and the other one
// starts as a decode engine, so that later crashes leave one that decodes.
TEST(EngineReleases, CrashesOfAVersionOfTwoCauseOneOrder) {
  for (const bool has_other_version : {true, false}) {
    SimulatedService service(m_rates);
    if (has_other_version) {
      service.AddVms("ab", EngineRole::kPrefill, "1");
      service.AddVms("cdef", EngineRole::kDecode, "1");
    }
    service.AddVms("y", EngineRole::kPrefill, "2");
    service.AddVms("z", EngineRole::kDecode, "2");
    service.RunFor(seconds(60));
    LONGS_EQUAL(0, service.Orders());
    for (int crash = 0; crash < 5; ++crash) {
      service.End("z");
      service.RunFor(seconds(6));
      service.StartEngine("z", "2");
      service.RunFor(seconds(14));
    }
    LONGS_EQUAL(1, service.Orders());
    CHECK(service.WithoutDecode("2") <= seconds(10));
  }
}

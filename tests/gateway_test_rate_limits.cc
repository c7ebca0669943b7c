// Module gateway: rate limits that upstreams state for all entries together.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "emulation/gateway_deployment.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using burdockhill::emulation::GatewayDeployment;
using burdockhill::emulation::RequestRate;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Of the platform's rule: the window, what a limit allows in it, and the time
// after the first statement from which it holds.
constexpr Duration kWindow = seconds(4);
constexpr Duration kSettlingTime = seconds(4);
constexpr double kSlackFactor = 1.5;
constexpr int64_t kSlackRequests = 5;

int64_t Allowed(double limit) {
  const double window = std::chrono::duration<double>(kWindow).count();
  return static_cast<int64_t>(kSlackFactor * limit * window) + kSlackRequests;
}

// Fails if more requests than its limit allows have reached the upstream in any
// window, of those that `counts` accepts.
template <typename Filter>
void CheckKept(const RequestRate& rate, double limit, TimePoint from,
               TimePoint to, const Filter& counts) {
  const int64_t most = rate.MostInWindow(kWindow, from, to, counts);
  const std::string text = std::to_string(most) + " requests in 4 s, allowed " +
                           std::to_string(Allowed(limit));
  CHECK_TEXT(most <= Allowed(limit), text.c_str());
}

void CheckKept(const RequestRate& rate, double limit, TimePoint from,
               TimePoint to) {
  CheckKept(rate, limit, from, to,
            [](const RequestRate::Arrival&) { return true; });
}

// Fails unless the upstream has got most of what its limit allows.
void CheckUsed(const RequestRate& rate, double limit, TimePoint from,
               TimePoint to) {
  const double allowed =
      limit * std::chrono::duration<double>(to - from).count();
  const int64_t count = rate.CountBetween(from, to);
  const std::string text =
      std::to_string(count) + " requests of " + std::to_string(allowed);
  CHECK_TEXT(static_cast<double>(count) >= 0.85 * allowed - 1, text.c_str());
}

}  // namespace

TEST_GROUP(RateLimits){};

TEST(RateLimits, UpstreamsGetNoMoreThanTheyStateFromAllEntriesTogether) {
  GatewayDeployment::Options options;
  options.entries = 6;
  options.plain_upstreams = 3;
  GatewayDeployment deployment(options);
  deployment.PlainRate(0).SetLimit(5.7);
  deployment.PlainRate(1).SetLimit(3.8);
  const TimePoint start = deployment.Now();
  deployment.GeneratePlainLoad(64, seconds(20), [&] {
    return static_cast<int>(deployment.Randomness().UniformBelow(6));
  });
  const TimePoint end = deployment.Now();
  CheckKept(deployment.PlainRate(0), 5.7, start + kSettlingTime, end);
  CheckKept(deployment.PlainRate(1), 3.8, start + kSettlingTime, end);
}

TEST(RateLimits, OneEntryThatGetsAllRequestsUsesTheWholeLimit) {
  for (const int entry : {0, 5}) {  // A seed, and an entry that is none.
    GatewayDeployment::Options options;
    options.entries = 6;
    options.plain_upstreams = 1;
    GatewayDeployment deployment(options);
    deployment.PlainRate(0).SetLimit(6);
    deployment.GeneratePlainLoad(30, seconds(4), [&] { return entry; });
    const TimePoint start = deployment.Now();
    deployment.GeneratePlainLoad(30, seconds(20), [&] { return entry; });
    const TimePoint end = deployment.Now();
    CheckKept(deployment.PlainRate(0), 6, start, end);
    CheckUsed(deployment.PlainRate(0), 6, start, end);
  }
}

TEST(RateLimits, FleetsOfAnySizeUseTheLimitAndKeepIt) {
  for (const int entries : {2, 7, 340}) {
    GatewayDeployment::Options options;
    options.entries = entries;
    options.seeds = std::min(entries, 3);
    options.plain_upstreams = 2;
    GatewayDeployment deployment(options);
    deployment.PlainRate(0).SetLimit(3.8);
    deployment.PlainRate(1).SetLimit(20);
    const auto any = [&] {
      return static_cast<int>(
          deployment.Randomness().UniformBelow(static_cast<uint64_t>(entries)));
    };
    deployment.GeneratePlainLoad(60, seconds(4), any);
    const TimePoint start = deployment.Now();
    deployment.GeneratePlainLoad(60, seconds(12), any);
    for (const int upstream : {0, 1}) {
      const RequestRate& rate = deployment.PlainRate(upstream);
      CheckKept(rate, *rate.Limit(), start, deployment.Now());
      CheckUsed(rate, *rate.Limit(), start, deployment.Now());
    }
  }
}

TEST(RateLimits, RequestsThatNoUpstreamCanTakeAreRejectedAtOnce) {
  GatewayDeployment::Options options;
  options.entries = 6;
  options.plain_upstreams = 2;
  GatewayDeployment deployment(options);
  deployment.PlainRate(0).SetLimit(5);
  deployment.PlainRate(1).SetLimit(5);
  const auto any = [&] {
    return static_cast<int>(deployment.Randomness().UniformBelow(6));
  };
  deployment.GeneratePlainLoad(60, seconds(10), any);
  deployment.RunFor(seconds(3));
  int rejected = 0;
  Duration longest_hint{0};
  for (const auto& [id, result] : deployment.Results()) {
    if (result.status == http::kOk) continue;
    LONGS_EQUAL(http::kUnavailable, result.status);
    ++rejected;
    CHECK(result.retry_after > Duration(0));
    CHECK(result.ended_at - result.sent_at <= milliseconds(300));
    longest_hint = std::max(longest_hint, result.retry_after);
  }
  CHECK(rejected > 300);
  // Later callers are told later times, so that not all return at once.
  CHECK(longest_hint > seconds(2));
}

TEST(RateLimits, CallersWhoReturnWhenToldAreServed) {
  GatewayDeployment::Options options;
  options.entries = 6;
  options.plain_upstreams = 1;
  GatewayDeployment deployment(options);
  deployment.PlainRate(0).SetLimit(8);
  const auto any = [&] {
    return static_cast<int>(deployment.Randomness().UniformBelow(6));
  };
  // Makes the limit known; a burst follows, and then nothing but its returns.
  deployment.GeneratePlainLoad(8, seconds(2), any);
  const TimePoint burst_at = deployment.Now();
  deployment.GeneratePlainLoad(200, milliseconds(150), any);
  deployment.RunFor(milliseconds(500));
  std::vector<std::pair<TimePoint, std::string>> returns;
  for (const auto& [id, result] : deployment.Results()) {
    if (result.sent_at < burst_at || result.status == http::kOk) continue;
    returns.emplace_back(result.ended_at + result.retry_after, id + "-again");
  }
  CHECK(returns.size() >= 20);
  std::sort(returns.begin(), returns.end());
  for (const auto& [at, id] : returns) {
    if (at > deployment.Now()) deployment.RunFor(at - deployment.Now());
    deployment.SendPlainRequest(id, any());
  }
  deployment.RunFor(seconds(1));
  size_t served = 0;
  for (const auto& [at, id] : returns) {
    if (deployment.Results().at(id).status == http::kOk) ++served;
  }
  CHECK_TEXT(4 * served >= 3 * returns.size(),
             (std::to_string(served) + " of " + std::to_string(returns.size()) +
              " served")
                 .c_str());
}

TEST(RateLimits, RequestsDoNotWaitForAPermitIfAnotherUpstreamIsFree) {
  GatewayDeployment::Options options;
  options.entries = 3;
  options.plain_upstreams = 2;
  GatewayDeployment deployment(options);
  deployment.PlainRate(0).SetLimit(4);
  const TimePoint start = deployment.Now();
  deployment.GeneratePlainLoad(30, seconds(15), [&] {
    return static_cast<int>(deployment.Randomness().UniformBelow(3));
  });
  CheckUsed(deployment.PlainRate(0), 4, start + kSettlingTime,
            deployment.Now());
  deployment.RunFor(seconds(1));
  for (const auto& [id, result] : deployment.Results()) {
    LONGS_EQUAL(http::kOk, result.status);
    // The call takes 30 ms; the rest are network and event loops.
    CHECK(result.ended_at - result.sent_at <= milliseconds(80));
  }
}

TEST(RateLimits, PermitsCostFewMessages) {
  GatewayDeployment::Options options;
  options.entries = 340;
  options.plain_upstreams = 1;
  GatewayDeployment deployment(options);
  deployment.PlainRate(0).SetLimit(5);
  const auto any = [&] {
    return static_cast<int>(deployment.Randomness().UniformBelow(340));
  };
  deployment.GeneratePlainLoad(1500, seconds(2), any);
  const int64_t before = deployment.PermitRequestCount();
  const TimePoint start = deployment.Now();
  deployment.GeneratePlainLoad(1500, seconds(4), any);
  CheckUsed(deployment.PlainRate(0), 5, start, deployment.Now());
  // Each entry asks once in two seconds, twice as often at most.
  constexpr int64_t kMostAsked = int64_t{4} * 340;
  const int64_t asked = deployment.PermitRequestCount() - before;
  CHECK_TEXT(asked <= kMostAsked, std::to_string(asked).c_str());
}

TEST(RateLimits, RetriesCountAgainstTheLimitOfTheUpstreamThatTheyReach) {
  GatewayDeployment::Options options;
  options.entries = 6;
  options.plain_upstreams = 2;
  GatewayDeployment deployment(options);
  deployment.Plain(0).SetStatus(500);
  deployment.PlainRate(1).SetLimit(4);
  const TimePoint start = deployment.Now();
  deployment.GeneratePlainLoad(40, seconds(15), [&] {
    return static_cast<int>(deployment.Randomness().UniformBelow(6));
  });
  CheckKept(deployment.PlainRate(1), 4, start + kSettlingTime,
            deployment.Now());
  deployment.RunFor(seconds(3));
  for (const auto& [id, result] : deployment.Results()) {
    LONGS_EQUAL(1, result.response_count);
    // The failure of the upstream, not a refusal: it may have run.
    CHECK(result.status == http::kOk || result.status == 500 ||
          result.status == http::kUnavailable);
  }
}

TEST(RateLimits, ChangedAndLiftedLimitsTakeEffectEverywhere) {
  GatewayDeployment::Options options;
  options.entries = 6;
  options.plain_upstreams = 1;
  GatewayDeployment deployment(options);
  const auto any = [&] {
    return static_cast<int>(deployment.Randomness().UniformBelow(6));
  };
  RequestRate& rate = deployment.PlainRate(0);
  for (const RateLimitValue limit : {RateLimitValue(20), RateLimitValue(2),
                                     RateLimitValue(0), RateLimitValue(12)}) {
    rate.SetLimit(limit);
    // A probe every four seconds shows that a limit of zero has changed.
    deployment.GeneratePlainLoad(40, seconds(6), any);
    const TimePoint start = deployment.Now();
    deployment.GeneratePlainLoad(40, seconds(10), any);
    CheckKept(rate, *limit, start, deployment.Now());
    CheckUsed(rate, *limit, start, deployment.Now());
  }
  rate.SetLimit(std::nullopt);
  deployment.GeneratePlainLoad(40, seconds(1), any);
  const TimePoint start = deployment.Now();
  deployment.GeneratePlainLoad(40, seconds(4), any);
  CHECK(rate.CountBetween(start, deployment.Now()) >= 155);
}

TEST(RateLimits, ErrorsThatStateNoLimitDoNotLiftOne) {
  GatewayDeployment::Options options;
  options.plain_upstreams = 1;
  GatewayDeployment deployment(options);
  const auto any = [&] {
    return static_cast<int>(deployment.Randomness().UniformBelow(3));
  };
  RequestRate& rate = deployment.PlainRate(0);
  rate.SetLimit(4);
  deployment.GeneratePlainLoad(30, seconds(4), any);
  for (const int status : {404, 500}) {
    rate.SetLimit(std::nullopt);
    deployment.Plain(0).SetStatus(status);
    const TimePoint start = deployment.Now();
    deployment.GeneratePlainLoad(30, seconds(5), any);
    CheckKept(rate, 4, start, deployment.Now());
  }
}

// Entries that are restarted, frozen or cut off do not count during that time
// and some seconds after it.
class FaultLog {
 public:
  void Begin(int entry, TimePoint now) {
    m_faults[entry].push_back({now, TimePoint::max()});
  }
  // Ends the faults of all entries.
  void EndAll(TimePoint now) {
    for (auto& [entry, faults] : m_faults) {
      for (Fault& fault : faults) fault.to = std::min(fault.to, now);
    }
  }
  bool IsCalm(int entry, TimePoint at) const {
    const auto found = m_faults.find(entry);
    return found == m_faults.end() ||
           std::none_of(found->second.begin(), found->second.end(),
                        [&](const Fault& fault) {
                          return at >= fault.from &&
                                 at - kSettlingTime < fault.to;
                        });
  }

 private:
  struct Fault {
    TimePoint from;
    TimePoint to;
  };

  std::map<int, std::vector<Fault>> m_faults;
};

TEST(RateLimits, HoldWhileEntriesJoinRestartFreezeAndAreCutOff) {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    GatewayDeployment::Options options;
    options.entries = 5;
    options.plain_upstreams = 2;
    options.seed = seed;
    GatewayDeployment deployment(options);
    deployment.PlainRate(0).SetLimit(6);
    deployment.PlainRate(1).SetLimit(6);
    Random& random = deployment.Randomness();
    FaultLog faults;
    std::set<int> frozen;
    const auto any_running = [&] {
      for (;;) {
        const auto entry = static_cast<int>(random.UniformBelow(
            static_cast<uint64_t>(deployment.EntryCount())));
        if (!frozen.contains(entry)) return entry;
      }
    };
    deployment.GeneratePlainLoad(40, seconds(4), any_running);
    const TimePoint start = deployment.Now();
    for (int round = 0; round < 16; ++round) {
      const int entry = any_running();
      const uint64_t fault = random.UniformBelow(4);
      if (fault == 0) {
        deployment.AddEntry();
      } else {
        faults.Begin(entry, deployment.Now());
      }
      if (fault == 1) deployment.RestartEntry(entry);
      if (fault == 2) deployment.CutEntry(entry);
      if (fault == 3 && frozen.size() < 2) {
        deployment.FreezeEntry(entry);
        frozen.insert(entry);
      }
      deployment.GeneratePlainLoad(40, random.Jitter(milliseconds(1500)),
                                   any_running);
      if (round % 3 != 2) continue;
      for (const int one : std::exchange(frozen, {})) deployment.ThawEntry(one);
      for (int i = 0; i < deployment.EntryCount(); ++i) deployment.HealEntry(i);
      faults.EndAll(deployment.Now());
    }
    for (const int upstream : {0, 1}) {
      CheckKept(deployment.PlainRate(upstream), 6, start, deployment.Now(),
                [&](const RequestRate::Arrival& arrival) {
                  const int entry =
                      deployment.Results().at(arrival.request).entry;
                  return faults.IsCalm(entry, arrival.at);
                });
      CHECK(deployment.PlainRate(upstream).CountBetween(
                start, deployment.Now()) >= 48);
    }
  }
}

TEST(RateLimits, HoldOnSlowAndLossyNetworks) {
  for (const uint64_t slow_messages : {0, 30, 5, 2}) {
    GatewayDeployment::Options options;
    options.entries = 12;
    options.plain_upstreams = 2;
    options.network_delay = milliseconds(12);
    options.slow_messages = slow_messages;
    GatewayDeployment deployment(options);
    deployment.PlainRate(0).SetLimit(6);
    deployment.PlainRate(1).SetLimit(15);
    const auto any = [&] {
      return static_cast<int>(deployment.Randomness().UniformBelow(12));
    };
    deployment.GeneratePlainLoad(80, seconds(4), any);
    const TimePoint start = deployment.Now();
    deployment.GeneratePlainLoad(80, seconds(20), any);
    const double used_part = slow_messages == 2 ? 0.3 : 0.7;
    for (const int upstream : {0, 1}) {
      const RequestRate& rate = deployment.PlainRate(upstream);
      CheckKept(rate, *rate.Limit(), start, deployment.Now());
      CHECK(static_cast<double>(rate.CountBetween(start, deployment.Now())) >=
            used_part * *rate.Limit() * 20);
    }
  }
}

TEST(RateLimits, ServiceGoesOnWithoutTheCoordinator) {
  for (const bool freeze : {false, true}) {
    GatewayDeployment::Options options;
    options.entries = 6;
    options.plain_upstreams = 1;
    GatewayDeployment deployment(options);
    deployment.PlainRate(0).SetLimit(8);
    const auto not_seed = [&] {
      return 3 + static_cast<int>(deployment.Randomness().UniformBelow(3));
    };
    deployment.GeneratePlainLoad(30, seconds(4), not_seed);
    for (const int seed : {0, 1, 2}) {
      if (freeze) {
        deployment.FreezeEntry(seed);
      } else {
        deployment.RestartEntry(seed);
      }
      const TimePoint start = deployment.Now();
      deployment.GeneratePlainLoad(30, seconds(6), not_seed);
      // Two thirds of the entries are left in the end, without a seed.
      CHECK(deployment.PlainRate(0).CountBetween(start, deployment.Now()) >=
            (freeze ? 10 : 40));
      CheckKept(deployment.PlainRate(0), 8, start, deployment.Now());
    }
  }
}

TEST(RateLimits, EntriesWithoutAnySeedKeepTheLimitTogether) {
  GatewayDeployment::Options options;
  options.entries = 40;
  options.plain_upstreams = 1;
  GatewayDeployment deployment(options);
  deployment.PlainRate(0).SetLimit(6);
  const auto not_seed = [&] {
    return 3 + static_cast<int>(deployment.Randomness().UniformBelow(37));
  };
  deployment.GeneratePlainLoad(100, seconds(3), not_seed);
  for (const int seed : {0, 1, 2}) deployment.CutEntry(seed);
  const TimePoint start = deployment.Now();
  deployment.GeneratePlainLoad(100, seconds(20), not_seed);
  CheckKept(deployment.PlainRate(0), 6, start, deployment.Now());
  // Half of the limit is shared out, and some permits lapse.
  CHECK(deployment.PlainRate(0).CountBetween(start, deployment.Now()) >= 30);
}

TEST(RateLimits, EnginesGetNoMoreThanTheyStateFromAllEntriesTogether) {
  GatewayDeployment::Options options;
  options.entries = 6;
  options.prefill_runners = 2;
  GatewayDeployment deployment(options);
  deployment.RunnerRate(0).SetLimit(1.0);  // A prefill engine.
  deployment.RunnerRate(2).SetLimit(0.3);  // A decode engine.
  const TimePoint start = deployment.Now();
  deployment.GenerateLoad(12, seconds(30));
  const TimePoint end = deployment.Now();
  CheckKept(deployment.RunnerRate(0), 1.0, start + kSettlingTime, end);
  CheckKept(deployment.RunnerRate(2), 0.3, start + kSettlingTime, end);
  CHECK(deployment.RunnerRate(0).CountBetween(start, end) >= 20);
  CHECK(deployment.RunnerRate(2).CountBetween(start, end) >= 6);
}

TEST(RateLimits, StreamsThatNoEngineCanTakeAreRejectedAtOnce) {
  GatewayDeployment::Options options;
  options.entries = 4;
  options.prefill_runners = 2;
  options.decode_runners = 2;
  GatewayDeployment deployment(options);
  for (const int runner : {2, 3}) deployment.RunnerRate(runner).SetLimit(0.5);
  deployment.GenerateLoad(6, seconds(4));
  const TimePoint start = deployment.Now();
  deployment.GenerateLoad(6, seconds(20));
  const TimePoint end = deployment.Now();
  deployment.RunFor(seconds(5));
  for (const int runner : {2, 3}) {
    CheckKept(deployment.RunnerRate(runner), 0.5, start, end);
    CHECK(deployment.RunnerRate(runner).CountBetween(start, end) >= 7);
  }
  for (const auto& [id, result] : deployment.Results()) {
    if (result.status != http::kUnavailable) continue;
    CHECK(result.retry_after > Duration(0));
    CHECK(result.ended_at - result.sent_at <= milliseconds(900));
  }
}

TEST(RateLimits, ResumedStreamsAndLostKvCachesNeedPermitsToo) {
  GatewayDeployment::Options options;
  options.entries = 4;
  options.kind = RequestKind::kResumableStream;
  options.first_runner_loses_kv = true;
  GatewayDeployment deployment(options);
  for (int runner = 3; runner < 9; ++runner) {
    deployment.RunnerRate(runner).SetLimit(0.6);
  }
  deployment.GenerateLoad(5, seconds(5));
  const TimePoint start = deployment.Now();
  deployment.GenerateLoad(5, seconds(5));
  deployment.CrashDecodeRunner(0);
  deployment.CrashDecodeRunner(1);
  deployment.GenerateLoad(5, seconds(15));
  for (int runner = 3; runner < 9; ++runner) {
    CheckKept(deployment.RunnerRate(runner), 0.6, start, deployment.Now());
  }
}

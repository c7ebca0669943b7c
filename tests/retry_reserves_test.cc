// The reserves of all entries of an emulated deployment, against the budget
// that the entries share.

#include <CppUTest/TestHarness.h>

#include "emulation/gateway_deployment.h"
#include "tests/retry_reserves_support.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using burdockhill::emulation::GatewayDeployment;
using std::chrono::seconds;

TEST_GROUP(RetryReserves){};

TEST(RetryReserves, KilledEntriesDoNotRepeatBeyondTheBudget) {
  for (const uint64_t seed : {1, 2, 3}) {
    GatewayDeployment deployment(MakePlainDeployment(31, seed));
    FailPlainCalls(deployment);
    Random& random = deployment.Randomness();
    deployment.RunFor(seconds(10));
    for (int kill = 0; kill < 5; ++kill) {
      deployment.GeneratePlainLoad(40, seconds(2), [&] {
        return static_cast<int>(random.UniformBelow(31));
      });
      for (int i = 0; i < 31; ++i) deployment.RestartEntry(i);
    }
    deployment.RunFor(seconds(4));
    CHECK(WorstRetryExcess(deployment.Counts().plain_retries) <= kRetrySlack);
  }
}

TEST(RetryReserves, ManyEntriesDoNotRepeatBeyondTheBudget) {
  GatewayDeployment deployment(MakePlainDeployment(120, 1));
  FailPlainCalls(deployment);
  Random& random = deployment.Randomness();
  deployment.RunFor(seconds(10));
  deployment.GeneratePlainLoad(60, seconds(8), [&] {
    return static_cast<int>(random.UniformBelow(120));
  });
  deployment.RunFor(seconds(4));
  CHECK(WorstRetryExcess(deployment.Counts().plain_retries) <= kRetrySlack);
}

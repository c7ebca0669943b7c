// The reserves of all entries of an emulated deployment, against the budget
// that the entries share.

#include <CppUTest/TestHarness.h>

#include <string>

#include "emulation/gateway_deployment.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using burdockhill::emulation::GatewayDeployment;
using burdockhill::emulation::RetryLedger;
using std::chrono::seconds;

namespace {

constexpr double kSlack = 56;
constexpr seconds kWindow{10};
constexpr double kRatio = 0.2;

void CheckWithinBudget(const RetryLedger& retries) {
  CHECK(retries.RetryCount() > 0);
  CHECK(retries.WorstExcess(kWindow, kRatio) <= kSlack);
}

GatewayDeployment::Options MakeOptions(int entries, uint64_t seed) {
  GatewayDeployment::Options options;
  options.entries = entries;
  options.seed = seed;
  return options;
}

}  // namespace

TEST_GROUP(RetryReserves){};

TEST(RetryReserves, KilledEntriesDoNotRepeatBeyondTheBudget) {
  for (const uint64_t seed : {1, 2, 3}) {
    GatewayDeployment::Options options = MakeOptions(31, seed);
    options.plain_upstreams = 4;
    GatewayDeployment deployment(options);
    for (int i = 0; i < 4; ++i) deployment.Plain(i).SetStatus(500);
    Random& random = deployment.Randomness();
    deployment.RunFor(seconds(10));
    for (int kill = 0; kill < 5; ++kill) {
      deployment.GeneratePlainLoad(40, seconds(2), [&] {
        return static_cast<int>(random.UniformBelow(31));
      });
      for (int i = 0; i < 31; ++i) deployment.RestartEntry(i);
    }
    deployment.RunFor(seconds(4));
    CheckWithinBudget(deployment.Counts().plain_retries);
  }
}

TEST(RetryReserves, ManyEntriesDoNotRepeatBeyondTheBudget) {
  GatewayDeployment::Options options = MakeOptions(120, 1);
  options.plain_upstreams = 4;
  GatewayDeployment deployment(options);
  for (int i = 0; i < 4; ++i) deployment.Plain(i).SetStatus(500);
  Random& random = deployment.Randomness();
  deployment.RunFor(seconds(10));
  deployment.GeneratePlainLoad(60, seconds(8), [&] {
    return static_cast<int>(random.UniformBelow(120));
  });
  deployment.RunFor(seconds(4));
  CheckWithinBudget(deployment.Counts().plain_retries);
}

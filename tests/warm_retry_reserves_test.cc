// The reserves of entries that have run for a while, against the budget that
// the entries share.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

#include "emulation/gateway_deployment.h"
#include "tests/retry_reserves_support.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using burdockhill::emulation::GatewayDeployment;
using std::chrono::seconds;

TEST_GROUP(WarmRetryReserves){};

TEST(WarmRetryReserves, EntriesThatHaveRunDoNotRepeatBeyondTheBudget) {
  double worst = 0;
  std::string seen;
  for (const uint64_t seed : {1, 2, 3}) {
    GatewayDeployment deployment(MakePlainDeployment(120, seed));
    Random& random = deployment.Randomness();
    const auto choose = [&] {
      return static_cast<int>(random.UniformBelow(120));
    };
    deployment.RunFor(seconds(10));
    deployment.GeneratePlainLoad(60, seconds(40), choose);
    FailPlainCalls(deployment);
    deployment.GeneratePlainLoad(60, seconds(20), choose);
    deployment.RunFor(seconds(4));
    const double excess = WorstRetryExcess(deployment.Counts().plain_retries);
    worst = std::max(worst, excess);
    seen += " seed " + std::to_string(seed) + ": excess " +
            std::to_string(excess) + ";";
  }
  CHECK_TEXT(worst <= kRetrySlack, seen.c_str());
}

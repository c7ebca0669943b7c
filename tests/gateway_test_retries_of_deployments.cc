// Module gateway: the retries of all entries of an emulated deployment, as its
// upstreams see them, against the budget that the entries share.

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

TEST_GROUP(RetriesOfDeployments){};

TEST(RetriesOfDeployments, BrokenStreamsAreNotRepeatedBeyondTheBudget) {
  for (const uint64_t seed : {1, 2, 3}) {
    GatewayDeployment::Options options = MakeOptions(31, seed);
    options.kind = RequestKind::kResumableStream;
    options.lose_every_nth_prefill = 2;
    options.first_runner_loses_kv = true;
    GatewayDeployment deployment(options);
    deployment.GenerateLoad(15, seconds(12));
    deployment.CrashDecodeRunner(0);
    deployment.GenerateLoad(15, seconds(1));
    for (int i = 0; i < 31; i += 2) deployment.RestartEntry(i);
    deployment.CrashDecodeRunner(1);
    deployment.GenerateLoad(15, seconds(3));
    deployment.RunFor(seconds(14));
    CheckWithinBudget(deployment.Counts().stream_retries);
  }
}

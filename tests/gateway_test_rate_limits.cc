// Module gateway: rate limits that upstreams state for all entries together.

#include <CppUTest/TestHarness.h>

#include <string>

#include "emulation/gateway_deployment.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using burdockhill::emulation::CallerResult;
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

}  // namespace

TEST_GROUP(RateLimits){
    // Fails if more requests than its limit allows have reached the upstream
    // since
    // `from`.
    static void CheckKept(const RequestRate& rate, double limit, TimePoint from,
                          TimePoint to){
        const int64_t most = rate.MostInWindow(kWindow, from, to);
CHECK_TEXT(most <= Allowed(limit),
           (std::to_string(most) + " requests in 4 s, allowed " +
            std::to_string(Allowed(limit)))
               .c_str());
}
}
;

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
}

#ifndef BURDOCKHILL_TESTS_RETRY_RESERVES_SUPPORT_H_
#define BURDOCKHILL_TESTS_RETRY_RESERVES_SUPPORT_H_

// Bounds and deployments that the tests of retry reserves share.

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <cstdint>

#include "emulation/gateway_deployment.h"

namespace burdockhill {

inline constexpr double kRetrySlack = 56;
inline constexpr double kRetryRatio = 0.2;
inline constexpr std::chrono::seconds kRetryWindow{10};

inline double WorstRetryExcess(const emulation::RetryLedger& retries) {
  CHECK(retries.RetryCount() > 0);
  return retries.WorstExcess(kRetryWindow, kRetryRatio);
}

inline emulation::GatewayDeployment::Options MakePlainDeployment(
    int entries, uint64_t seed) {
  emulation::GatewayDeployment::Options options;
  options.entries = entries;
  options.seed = seed;
  options.plain_upstreams = 4;
  return options;
}

inline void FailPlainCalls(emulation::GatewayDeployment& deployment) {
  for (int i = 0; i < 4; ++i) deployment.Plain(i).SetStatus(500);
}

}  // namespace burdockhill

#endif  // BURDOCKHILL_TESTS_RETRY_RESERVES_SUPPORT_H_

#ifndef BURDOCKHILL_TESTS_ROUTING_TEST_SUPPORT_H_
#define BURDOCKHILL_TESTS_ROUTING_TEST_SUPPORT_H_

// Helpers of the files of routing_test: attempts and upstreams with defaults.

#include <CppUTest/TestHarness.h>

#include <string>

#include "burdockhill/routing.h"

namespace burdockhill {

inline AttemptId MakeAttempt(uint64_t request, uint32_t number = 1) {
  return {RequestId(request), number, Incarnation(7)};
}

inline RegisteredUpstream MakeUpstream(const std::string& name,
                                       const std::string& zone = "z1") {
  RegisteredUpstream upstream;
  upstream.name = UpstreamName(name);
  upstream.service = ServiceName("s");
  upstream.address = name + ":80";
  upstream.zone = ZoneName(zone);
  upstream.revision = 1;
  return upstream;
}

inline RegisteredUpstream MakeEngine(const std::string& name, EngineRole role) {
  RegisteredUpstream upstream = MakeUpstream(name);
  upstream.version = SoftwareVersion("1");
  upstream.role = role;
  return upstream;
}

}  // namespace burdockhill

#endif  // BURDOCKHILL_TESTS_ROUTING_TEST_SUPPORT_H_

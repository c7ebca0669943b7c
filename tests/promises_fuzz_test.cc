// Fuzz test: checks the invariants of PromiseOracle under random sequences of
// requests and faults with the production controllers. Seed and number of
// sequences come from the environment:
//   RC_PARAMS="seed=1 max_success=100 max_size=60"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <iostream>

#include "tests/promise_commands.h"
#include "tests/promise_oracle.h"

using burdockhill::Command;
using burdockhill::CommandKind;
using burdockhill::CommandRunner;
using burdockhill::PromiseOracle;
using burdockhill::emulation::EntryAgentDeployment;
using burdockhill::emulation::EntryAgentDeploymentOptions;
using std::chrono::seconds;

namespace {

// Time after the end of all faults in which the deployment has to come to rest.
constexpr seconds kRestTime{75};
// Time after the end of all faults in which engines have to free the memory of
// closed requests: holds expire after 6 s, and an engine that hangs is polled
// every second.
constexpr seconds kReleaseTime{12};

// Uniform over [low, high) at every generator size. rc::gen::inRange shrinks
// its range for small sizes.
template <typename T>
rc::Gen<T> InRange(T low, T high) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(low, high));
}

// Half of the commands are faults; the others send or close requests or wait.
rc::Gen<Command> AnyCommand() {
  constexpr auto kFirstFault = static_cast<int>(CommandKind::kCrashEntry);
  constexpr auto kEnd = static_cast<int>(CommandKind::kCount);
  const auto kind = rc::gen::weightedOneOf<int>(
      {{1, InRange(0, kFirstFault)}, {1, InRange(kFirstFault, kEnd)}});
  return rc::gen::build<Command>(
      rc::gen::set(&Command::kind,
                   rc::gen::map(kind,
                                [](int number) {
                                  return static_cast<CommandKind>(number);
                                })),
      rc::gen::set(&Command::a, InRange<uint32_t>(0, 1000)),
      rc::gen::set(&Command::b, InRange<uint32_t>(0, 1000)));
}

EntryAgentDeploymentOptions SmallDeployment(uint64_t seed) {
  EntryAgentDeploymentOptions options;
  options.seed = seed;
  options.zones = 2;
  options.decode_upstreams_per_zone = 1;
  options.engine.slots = 4;
  return options;
}

// Runs the commands. Returns the first violation, or an empty string.
std::string FirstViolation(uint64_t seed, const std::vector<Command>& commands,
                           std::map<CommandKind, int64_t>* counts) {
  EntryAgentDeployment deployment(SmallDeployment(seed));
  if (!deployment.RunUntilReady()) return "the deployment did not become ready";
  PromiseOracle oracle(&deployment);
  CommandRunner runner(&deployment);
  for (const Command& command : commands) {
    runner.Execute(command);
    deployment.RunFor(std::chrono::milliseconds(5));
    oracle.CheckInvariants();
    if (!oracle.Violations().empty()) return oracle.Violations().front();
  }
  runner.EndFaults();
  deployment.RunFor(kReleaseTime);
  oracle.CheckMemoryIsFreed();
  deployment.RunFor(kRestTime - kReleaseTime);
  oracle.CheckAtRest();
  for (const auto& [kind, count] : runner.Counts()) (*counts)[kind] += count;
  return oracle.Violations().empty() ? "" : oracle.Violations().front();
}

}  // namespace

TEST_GROUP(Promises){};

TEST(Promises, InvariantsHoldUnderAnySequenceOfFaults) {
  std::map<CommandKind, int64_t> counts;
  const bool held = rc::check("invariants hold", [&] {
    const auto seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
    const auto commands =
        *rc::gen::container<std::vector<Command>>(AnyCommand());
    const std::string violation = FirstViolation(seed, commands, &counts);
    if (!violation.empty()) RC_FAIL(violation);
  });
  for (const auto& [kind, count] : counts) {
    std::cout << "command " << static_cast<int>(kind) << ": " << count << "\n";
  }
  CHECK(held);
}

#ifndef BURDOCKHILL_TESTS_PROMISE_ORACLE_H_
#define BURDOCKHILL_TESTS_PROMISE_ORACLE_H_

#include <map>
#include <string>
#include <vector>

#include "emulation/entry_agent_deployment.h"

namespace burdockhill {

// Test oracle for a fuzzed run. It checks responses and executions by what
// callers, engines and plain services observed, not by what the controllers
// report of them.
class PromiseOracle {
 public:
  explicit PromiseOracle(emulation::EntryAgentDeployment* deployment)
      : m_deployment(deployment) {}

  // Checks the invariants that hold at all times.
  void CheckInvariants();

  // Checks that engines hold nothing for requests whose caller has disconnected
  // or has its final response. Call it only when all faults ended longer ago
  // than the hold timeout.
  void CheckMemoryIsFreed();

  // Checks the state at rest: some time after all faults have ended and the
  // last request was sent, no request is open, nothing is held, and every
  // process has the accepted configuration.
  void CheckAtRest();

  // The first `tokens` tokens of the answer to `prompt`.
  static std::string ExpectedText(const std::string& prompt, uint64_t tokens);

  const std::vector<std::string>& Violations() const { return m_violations; }

 private:
  void AddViolation(const std::string& what);
  void CheckCaller(const emulation::CallerView& view, bool at_rest);
  void CheckGenerations();

  emulation::EntryAgentDeployment* m_deployment;
  std::map<VmName, std::pair<uint64_t, Generation>>
      m_in_force;  // With the epoch of the process.
  std::vector<std::string> m_violations;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_TESTS_PROMISE_ORACLE_H_

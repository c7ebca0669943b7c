#ifndef BURDOCKHILL_TESTS_PROMISE_ORACLE_H_
#define BURDOCKHILL_TESTS_PROMISE_ORACLE_H_

#include <map>
#include <string>
#include <vector>

#include "emulation/world.h"

namespace burdockhill {

// Judges a run by what callers, engines and plain services saw, without asking
// the controllers what they think.
class PromiseOracle {
 public:
  explicit PromiseOracle(emulation::World* world) : m_world(world) {}

  // Checks what must hold at every moment.
  void Watch();

  // Checks that engines hold nothing for callers who are gone or answered. For
  // a moment when faults have been over for longer than holds may last.
  void CheckFreed();

  // Checks what must hold once all faults have ended and time has passed.
  void CheckAtRest();

  // The text that `tokens` tokens of the answer to `prompt` have.
  static std::string ExpectedText(const std::string& prompt, uint64_t tokens);

  const std::vector<std::string>& Violations() const { return m_violations; }

 private:
  void Violated(const std::string& what);
  void CheckCaller(const emulation::CallerView& view, bool at_rest);
  void CheckGenerations();

  emulation::World* m_world;
  std::map<VmName, std::pair<uint64_t, Generation>> m_in_force;  // By life.
  std::vector<std::string> m_violations;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_TESTS_PROMISE_ORACLE_H_

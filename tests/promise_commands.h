#ifndef BURDOCKHILL_TESTS_PROMISE_COMMANDS_H_
#define BURDOCKHILL_TESTS_PROMISE_COMMANDS_H_

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "emulation/entry_agent_deployment.h"

namespace burdockhill {

enum class CommandKind {
  kSendPrompt,
  kSendLongPrompt,
  kSendCall,
  kSendRead,
  kDisconnectCaller,
  kWait,
  kWaitLong,
  kCrashEntry,
  kPauseEntry,
  kCrashAgent,
  kPauseAgent,
  kCrashEngine,
  kHangBackEnd,
  kMakeBackEndUnreachable,
  kLoseCancels,
  kBreakConnection,
  kSilenceConnection,
  kPartitionLink,
  kStoreOutage,
  kStoreSlow,
  kStoreLosesAnswers,
  kCopyStore,
  kRestoreStore,
  kDuplicateMessages,
  kReorderMessages,
  kDrainAgent,
  kWriteConfiguration,
  kWriteBadConfiguration,
  kCount,
};

// One step of a fuzzed run. `a` and `b` select the target and the parameters.
// Most fault commands toggle: the second one for the same target ends the
// fault.
struct Command {
  CommandKind kind = CommandKind::kWait;
  uint32_t a = 0;
  uint32_t b = 0;
};

std::ostream& operator<<(std::ostream& out, const Command& command);

// Executes commands on an emulated deployment.
class CommandRunner {
 public:
  explicit CommandRunner(emulation::EntryAgentDeployment* deployment)
      : m_deployment(deployment),
        m_store_copy(deployment->Platform().Model()) {}

  void Execute(const Command& command);

  // Ends all faults: restarts crashed processes, resumes paused ones and
  // restores the network, the store and the back ends.
  void EndFaults();

  // Number of executed commands of each kind.
  const std::map<CommandKind, int64_t>& Counts() const { return m_counts; }

 private:
  // Restores the store from the copy. Operators write again what it lacks.
  void RestoreStore();
  void SendPrompt(const Command& command, int64_t bytes);
  void SendCall(const Command& command, const std::string& method);
  emulation::EntryFake& Entry(uint32_t number);
  emulation::UpstreamFake& Upstream(uint32_t number);

  emulation::EntryAgentDeployment* m_deployment;
  std::map<CommandKind, int64_t> m_counts;
  std::vector<RequestId> m_ids;
  uint64_t m_next_number = 0;
  emulation::NetworkFaults m_network_faults;
  standins::PlatformModel m_store_copy;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_TESTS_PROMISE_COMMANDS_H_

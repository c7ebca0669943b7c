#ifndef BURDOCKHILL_SRC_ENTRY_AGENT_SUBSET_H_
#define BURDOCKHILL_SRC_ENTRY_AGENT_SUBSET_H_

#include <set>
#include <vector>

#include "burdockhill/src/resources/configuration.h"
#include "burdockhill/src/store/object_store.h"

namespace burdockhill {

// Agents that an entry connects to, per service, pool and region.
inline constexpr size_t kAgentsPerPool = 4;

// The agents that `entry` connects to: for each service, pool and region the
// first kAgentsPerPool by rendezvous hashing, and all agents whose upstream
// names no pool. The number of connections grows with the services instead of
// the fleet, each agent serves about the same number of entries, and adding a
// VM changes few connections.
std::set<VmName> ChooseAgents(const VmName& entry,
                              const Configuration& configuration,
                              const std::vector<ListedVm>& listed);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_AGENT_SUBSET_H_

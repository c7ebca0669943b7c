#ifndef BURDOCKHILL_SRC_ENTRY_AGENT_SUBSET_H_
#define BURDOCKHILL_SRC_ENTRY_AGENT_SUBSET_H_

#include <set>
#include <vector>

#include "burdockhill/src/resources/configuration.h"
#include "burdockhill/src/store/object_store.h"

namespace burdockhill {

// Agents of one pool of a service in one region that an entry connects to.
inline constexpr size_t kAgentsPerPool = 4;

// The agents that `entry` connects to: all of a small pool, and of a larger one
// those that rank first by a hash of both names. So the connections grow with
// the services, not with the fleet, every agent gets about the same number of
// entries, and one more VM changes few connections.
std::set<VmName> ChooseAgents(const VmName& entry,
                              const Configuration& configuration,
                              const std::vector<ListedVm>& listed);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_AGENT_SUBSET_H_

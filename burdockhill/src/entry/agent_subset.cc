#include "burdockhill/src/entry/agent_subset.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace burdockhill {

namespace {

uint64_t RendezvousHash(const VmName& entry, const VmName& agent) {
  const std::string names = entry.Value() + "/" + agent.Value();
  return XXH3_64bits(names.data(), names.size());
}

}  // namespace

std::set<VmName> ChooseAgents(const VmName& entry,
                              const Configuration& configuration,
                              const std::vector<ListedVm>& listed) {
  std::map<VmName, const Upstream*> upstreams;
  for (const auto& [name, upstream] : configuration.upstreams) {
    upstreams[upstream.vm] = &upstream;
  }
  using PoolKey = std::tuple<ServiceName, Pool, RegionName>;
  std::map<PoolKey, std::vector<std::pair<uint64_t, VmName>>> groups;
  for (const ListedVm& vm : listed) {
    const auto found = upstreams.find(vm.name);
    if (vm.role != Role::kAgent || found == upstreams.end()) continue;
    const Upstream& upstream = *found->second;
    groups[{upstream.service, upstream.pool, vm.region}].emplace_back(
        RendezvousHash(entry, vm.name), vm.name);
  }
  std::set<VmName> chosen;
  for (auto& [group, agents] : groups) {
    // Upstreams that name no pool may be for prefill or decode, so all of them
    // are needed.
    const bool all_needed = std::get<Pool>(group) == Pool::kMixed;
    std::sort(agents.begin(), agents.end());
    const size_t count =
        all_needed ? agents.size() : std::min(agents.size(), kAgentsPerPool);
    for (size_t i = 0; i < count; ++i) chosen.insert(agents[i].second);
  }
  return chosen;
}

}  // namespace burdockhill

#include "burdockhill/src/routing/holder_order.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <string>

namespace burdockhill {

namespace {

struct RankedVm {
  size_t rank_in_zone = 0;
  uint64_t hash = 0;
  const VmName* vm = nullptr;

  bool operator<(const RankedVm& other) const {
    if (rank_in_zone != other.rank_in_zone) {
      return rank_in_zone < other.rank_in_zone;
    }
    return hash != other.hash ? hash < other.hash : *vm < *other.vm;
  }
};

// The first `count` of one zone.
std::vector<RankedVm> RankZone(const std::vector<VmName>& vms, uint64_t item,
                               size_t count) {
  std::vector<RankedVm> ranked;
  ranked.reserve(vms.size());
  for (const VmName& vm : vms) {
    const std::string& text = vm.Value();
    ranked.push_back({0, XXH64(text.data(), text.size(), item), &vm});
  }
  count = std::min(count, ranked.size());
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(ranked.begin(), end, ranked.end());
  ranked.resize(count);
  for (size_t i = 0; i < count; ++i) ranked[i].rank_in_zone = i;
  return ranked;
}

}  // namespace

std::vector<VmName> HolderOrder::First(uint64_t item, size_t count) const {
  std::vector<RankedVm> ranked;
  for (const auto& [zone, vms] : m_vms_by_zone) {
    const std::vector<RankedVm> of_zone = RankZone(vms, item, count);
    ranked.insert(ranked.end(), of_zone.begin(), of_zone.end());
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(count, ranked.size()));
  std::vector<VmName> first;
  first.reserve(ranked.size());
  for (const RankedVm& entry : ranked) first.push_back(*entry.vm);
  return first;
}

}  // namespace burdockhill

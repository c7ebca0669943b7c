#ifndef BURDOCKHILL_SRC_ROUTING_HOLDER_ORDER_H_
#define BURDOCKHILL_SRC_ROUTING_HOLDER_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "burdockhill/src/base/id.h"

namespace burdockhill {

// The order in which processes hold copies of an item, by rendezvous hashing:
// all that know the same processes find the same order, and a process that
// comes or goes moves only its own items. Neighbors in the order are of
// different availability zones as far as there are any.
class HolderOrder {
 public:
  // Each VM is added once.
  void Add(const VmName& vm, const ZoneName& zone) {
    m_vms_by_zone[zone].push_back(vm);
    ++m_size;
  }
  size_t Size() const { return m_size; }

  // The first `count` processes for the item with this hash, or all if there
  // are fewer.
  std::vector<VmName> First(uint64_t item, size_t count) const;

 private:
  std::map<ZoneName, std::vector<VmName>> m_vms_by_zone;
  size_t m_size = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_HOLDER_ORDER_H_

#ifndef BURDOCKHILL_SRC_BASE_STORE_REVISION_H_
#define BURDOCKHILL_SRC_BASE_STORE_REVISION_H_

#include <compare>
#include <cstdint>

namespace burdockhill {

// A point in the history of the store. The era rises each time the store is
// restored from a copy, and revisions are given out again then, so that the era
// comes first in the order.
struct StoreRevision {
  constexpr StoreRevision() = default;
  // NOLINTNEXTLINE(google-explicit-constructor): a store may have no eras.
  constexpr StoreRevision(uint64_t revision) : number(revision) {}
  constexpr StoreRevision(uint64_t store_era, uint64_t revision)
      : era(store_era), number(revision) {}
  auto operator<=>(const StoreRevision&) const = default;

  uint64_t era = 0;  // Zero for a store that names none.
  uint64_t number = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_BASE_STORE_REVISION_H_

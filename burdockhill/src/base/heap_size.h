#ifndef BURDOCKHILL_SRC_BASE_HEAP_SIZE_H_
#define BURDOCKHILL_SRC_BASE_HEAP_SIZE_H_

#include <algorithm>
#include <cstddef>
#include <string>

namespace burdockhill {

// Memory that an allocation of so many bytes takes: the GNU allocator adds its
// own 8 bytes, and rounds up to 16, at least to 32.
constexpr size_t AllocationBytes(size_t bytes) {
  constexpr size_t kOwn = 8;
  constexpr size_t kUnit = 16;
  constexpr size_t kLeast = 32;
  if (bytes == 0) return 0;
  return std::max(kLeast, (bytes + kOwn + kUnit - 1) / kUnit * kUnit);
}

// Memory that a string takes beside the object; none if its text is inside.
inline size_t HeapBytes(const std::string& text) {
  static const size_t kInside = std::string().capacity();
  return text.capacity() <= kInside ? 0 : AllocationBytes(text.capacity() + 1);
}

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_BASE_HEAP_SIZE_H_

#ifndef BURDOCKHILL_SRC_DAEMON_HEAP_H_
#define BURDOCKHILL_SRC_DAEMON_HEAP_H_

#include <cstddef>

#include "burdockhill/src/base/buffer_budget.h"
#include "burdockhill/src/base/clock.h"

namespace burdockhill {

// Has the allocator map each large block by itself, so that its memory is given
// back when it is freed. Otherwise the threshold for that rises to the size of
// the largest block that was freed.
void ConfigureHeap();

// Gives the memory of small blocks back that have been freed, once the buffers
// of a process have shrunk.
class HeapTrimmer {
 public:
  explicit HeapTrimmer(const BufferBudget* budget) : m_budget(budget) {}

  // Call about every 50 ms.
  void Tick(TimePoint now);

 private:
  const BufferBudget* m_budget;
  size_t m_most_bytes = 0;  // Since the heap was trimmed.
  TimePoint m_next_trim{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_DAEMON_HEAP_H_

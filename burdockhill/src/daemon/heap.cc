#include "burdockhill/src/daemon/heap.h"

#include <malloc.h>

#include <algorithm>

namespace burdockhill {

namespace {

constexpr int kMappedBytes = 64 << 10;
// Trimming takes some milliseconds for each 100 MB.
constexpr Duration kMinTrimInterval = std::chrono::milliseconds(100);
// The heap is trimmed once buffers have shrunk by this part of their limit.
constexpr size_t kWorthwhileDivisor = 8;

}  // namespace

void ConfigureHeap() {
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kMappedBytes);
}

void HeapTrimmer::Tick(TimePoint now) {
  const size_t bytes = m_budget->TotalBytes();
  m_most_bytes = std::max(m_most_bytes, bytes);
  const bool is_worthwhile =
      m_most_bytes - bytes > m_budget->Limit() / kWorthwhileDivisor;
  if (!is_worthwhile || now < m_next_trim) return;
  m_next_trim = now + kMinTrimInterval;
  m_most_bytes = bytes;
  malloc_trim(0);
}

}  // namespace burdockhill

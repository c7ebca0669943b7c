#ifndef BURDOCKHILL_SRC_BASE_BUFFER_BUDGET_H_
#define BURDOCKHILL_SRC_BASE_BUFFER_BUDGET_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/table.h"

namespace burdockhill {

// What buffered bytes are kept for.
enum class BufferKind {
  kRequest,  // A caller's request, and what is pipelined behind it.
  kAnswer,   // A response of an upstream or of the store.
  kOutput,   // What the remote side of a connection has not taken yet.
  kPeer,     // Messages of a peer that have arrived in part.
};
inline constexpr size_t kBufferKindCount = 4;

// Name for logs and metrics.
std::string_view BufferKindName(BufferKind kind);

// Chosen by the owner of buffers to tell them apart.
using BufferKey = NumericId<struct BufferKeyTag>;

// What keeps buffers that are charged to a BufferBudget.
class BufferOwner {
 public:
  virtual ~BufferOwner() = default;
  // The process must not keep the buffer any longer. The owner ends what it
  // belongs to, and with it the charge.
  virtual void OnBufferEvicted(BufferKey key) = 0;
};

// A buffer that exceeds a bound, so that what it belongs to is ended.
struct BufferOverflow {
  BufferKind kind = BufferKind::kAnswer;
  std::string source;
  size_t bytes = 0;  // Of the buffer.
  size_t bound = 0;  // Of the buffer, or of the process.
  bool is_bound_of_process = false;
};

class BufferObserver {
 public:
  virtual ~BufferObserver() = default;
  virtual void OnBufferOverflow(const BufferOverflow& overflow) = 0;
};

class BufferCharge;

// Bounds the bytes that a process keeps for others. Each buffer names its
// source, the remote side that fills it. When the bound is exceeded, the source
// with the most bytes loses its largest buffers: one that sends without end is
// ended before the buffers of others are.
class BufferBudget {
 public:
  void SetLimit(size_t bytes) { m_limit = bytes; }
  size_t Limit() const { return m_limit; }
  // `observer` may be nullptr.
  void SetObserver(BufferObserver* observer) { m_observer = observer; }

  // Evicts buffers until the others are within the limit. Owners end requests
  // and connections meanwhile, so call it only where nothing is in progress.
  void Enforce();

  // Reports a buffer that its owner ends because of a bound of its own.
  void ReportOverflow(const BufferOverflow& overflow);

  size_t TotalBytes() const { return m_total; }
  // Bytes that the operating system keeps in the queues of sockets, beside
  // those above.
  size_t QueuedBytes() const { return m_queued; }
  // Bytes that cannot be evicted.
  size_t FixedBytes() const { return m_total - m_evictable; }
  size_t BytesOf(BufferKind kind) const {
    return m_bytes_by_kind.at(static_cast<size_t>(kind));
  }

 private:
  friend class BufferCharge;
  using BufferId = NumericId<struct BufferIdTag>;

  struct Buffer {
    BufferKind kind = BufferKind::kAnswer;
    std::string source;
    BufferOwner* owner = nullptr;
    BufferKey key;
    size_t bytes = 0;
    size_t queued_bytes = 0;
    bool is_evictable = true;
  };

  static constexpr size_t kDefaultLimit = size_t{32} << 20;

  // Part of the limit that queues of sockets may hold besides.
  static constexpr size_t kQueueDivisor = 2;
  // Buffers that cannot be evicted leave at least this part of the limit to the
  // others, since evicting those would not help.
  static constexpr size_t kMinEvictableDivisor = 2;

  void Evict(Buffer* victim, size_t bytes);
  void SetBytes(Buffer* buffer, size_t bytes);
  void SetQueuedBytes(Buffer* buffer, size_t bytes);
  void SetEvictable(Buffer* buffer, bool is_evictable);
  // What evictable buffers hold, of either kind of bytes, beyond their bound.
  size_t ExcessBytes() const;
  size_t ExcessQueuedBytes() const;
  void EnforceFor(size_t Buffer::*bytes,
                  size_t (BufferBudget::*excess)() const);
  // Evictable buffers of so many bytes together: each time the largest one of
  // the source whose evictable buffers hold most then.
  std::vector<BufferId> FindVictims(size_t Buffer::*bytes, size_t wanted) const;

  size_t m_limit = kDefaultLimit;
  BufferObserver* m_observer = nullptr;
  uint64_t m_last_id = 0;
  size_t m_total = 0;
  size_t m_evictable = 0;  // Part of m_total.
  size_t m_queued = 0;
  size_t m_evictable_queued = 0;  // Part of m_queued.
  std::array<size_t, kBufferKindCount> m_bytes_by_kind{};
  Table<BufferId, Buffer> m_buffers;
};

// The bytes of one buffer as a part of a budget, until it is destroyed. The
// budget must outlive it.
class BufferCharge {
 public:
  // Charges nothing until Open.
  BufferCharge() = default;
  ~BufferCharge() { Close(); }
  BufferCharge(const BufferCharge&) = delete;
  BufferCharge& operator=(const BufferCharge&) = delete;

  void Open(BufferBudget* budget, BufferKind kind, std::string source,
            BufferOwner* owner, BufferKey key);
  void Close();
  // Ignored unless the charge is open.
  void SetBytes(size_t bytes);
  // Bytes beside those that the operating system keeps for the same purpose.
  void SetQueuedBytes(size_t bytes);
  // A buffer that is not evictable counts, but is never evicted.
  void SetEvictable(bool is_evictable);
  size_t Bytes() const;

 private:
  BufferBudget* m_budget = nullptr;
  BufferBudget::BufferId m_id;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_BASE_BUFFER_BUDGET_H_

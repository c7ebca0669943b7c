#include "burdockhill/src/base/buffer_budget.h"

#include <algorithm>
#include <map>
#include <utility>

namespace burdockhill {

std::string_view BufferKindName(BufferKind kind) {
  constexpr std::array<std::string_view, kBufferKindCount> kNames = {
      "request", "answer", "output", "peer"};
  return kNames.at(static_cast<size_t>(kind));
}

namespace {

// What may be held besides `fixed`, of a limit of which evictable buffers keep
// `least` at any rate.
size_t Excess(size_t held, size_t fixed, size_t limit, size_t least) {
  const size_t most = std::max(limit - std::min(fixed, limit), least);
  return held - std::min(held, most);
}

}  // namespace

void BufferBudget::Enforce() {
  EnforceFor(&Buffer::bytes, &BufferBudget::ExcessBytes);
  EnforceFor(&Buffer::queued_bytes, &BufferBudget::ExcessQueuedBytes);
}

void BufferBudget::EnforceFor(size_t Buffer::*bytes,
                              size_t (BufferBudget::*excess)() const) {
  while ((this->*excess)() > 0) {
    const std::vector<BufferId> victims = FindVictims(bytes, (this->*excess)());
    if (victims.empty()) return;
    for (const BufferId id : victims) {
      Buffer* victim = m_buffers.Find(id);
      // The end of an earlier one may have ended it, or may suffice.
      if (victim == nullptr || !victim->is_evictable) continue;
      if ((this->*excess)() == 0) return;
      Evict(victim, victim->*bytes);
    }
  }
}

void BufferBudget::Evict(Buffer* victim, size_t bytes) {
  // The owner may take a moment to end what the buffer belongs to.
  SetEvictable(victim, false);
  BufferOwner* owner = victim->owner;
  const BufferKey key = victim->key;
  ReportOverflow({victim->kind, victim->source, bytes, m_limit,
                  /*is_bound_of_process=*/true});
  owner->OnBufferEvicted(key);
}

size_t BufferBudget::ExcessBytes() const {
  return Excess(m_evictable, FixedBytes(), m_limit,
                m_limit / kMinEvictableDivisor);
}

size_t BufferBudget::ExcessQueuedBytes() const {
  const size_t limit = m_limit / kQueueDivisor;
  return Excess(m_evictable_queued, m_queued - m_evictable_queued, limit,
                limit / kMinEvictableDivisor);
}

std::vector<BufferBudget::BufferId> BufferBudget::FindVictims(
    size_t Buffer::*bytes, size_t wanted) const {
  struct Source {
    size_t bytes = 0;
    std::vector<std::pair<size_t, BufferId>> buffers;
  };
  std::map<std::string_view, Source> sources;
  for (const auto& [id, buffer] : m_buffers) {
    const size_t size = buffer.*bytes;
    if (!buffer.is_evictable || size == 0) continue;
    Source& source = sources[buffer.source];
    source.bytes += size;
    source.buffers.emplace_back(size, id);
  }
  const auto holds_less = [](const Source* left, const Source* right) {
    return left->bytes < right->bytes;
  };
  std::vector<Source*> heap;
  for (auto& [name, source] : sources) {
    std::sort(source.buffers.begin(), source.buffers.end(),
              [](const auto& left, const auto& right) {
                return left.first < right.first;
              });
    heap.push_back(&source);
  }
  std::make_heap(heap.begin(), heap.end(), holds_less);
  std::vector<BufferId> victims;
  while (!heap.empty() && wanted > 0) {
    std::pop_heap(heap.begin(), heap.end(), holds_less);
    Source* most = heap.back();
    heap.pop_back();
    const auto [size, id] = most->buffers.back();
    most->buffers.pop_back();
    most->bytes -= size;
    victims.push_back(id);
    wanted -= std::min(wanted, size);
    if (most->buffers.empty()) continue;
    heap.push_back(most);
    std::push_heap(heap.begin(), heap.end(), holds_less);
  }
  return victims;
}

void BufferBudget::ReportOverflow(const BufferOverflow& overflow) {
  if (m_observer != nullptr) m_observer->OnBufferOverflow(overflow);
}

void BufferBudget::SetBytes(Buffer* buffer, size_t bytes) {
  m_total += bytes - buffer->bytes;
  if (buffer->is_evictable) m_evictable += bytes - buffer->bytes;
  m_bytes_by_kind.at(static_cast<size_t>(buffer->kind)) +=
      bytes - buffer->bytes;
  buffer->bytes = bytes;
}

void BufferBudget::SetQueuedBytes(Buffer* buffer, size_t bytes) {
  m_queued += bytes - buffer->queued_bytes;
  if (buffer->is_evictable) m_evictable_queued += bytes - buffer->queued_bytes;
  buffer->queued_bytes = bytes;
}

void BufferBudget::SetEvictable(Buffer* buffer, bool is_evictable) {
  if (std::exchange(buffer->is_evictable, is_evictable) == is_evictable) return;
  m_evictable += is_evictable ? buffer->bytes : 0 - buffer->bytes;
  m_evictable_queued +=
      is_evictable ? buffer->queued_bytes : 0 - buffer->queued_bytes;
}

void BufferCharge::Open(BufferBudget* budget, BufferKind kind,
                        std::string source, BufferOwner* owner, BufferKey key) {
  Close();
  m_budget = budget;
  m_id = BufferBudget::BufferId(++budget->m_last_id);
  BufferBudget::Buffer& buffer = budget->m_buffers.FindOrInsert(m_id);
  buffer.kind = kind;
  buffer.source = std::move(source);
  buffer.owner = owner;
  buffer.key = key;
}

void BufferCharge::Close() {
  if (m_budget == nullptr) return;
  SetBytes(0);
  SetQueuedBytes(0);
  m_budget->m_buffers.Erase(m_id);
  m_budget = nullptr;
}

void BufferCharge::SetBytes(size_t bytes) {
  if (m_budget == nullptr) return;
  m_budget->SetBytes(m_budget->m_buffers.Find(m_id), bytes);
}

void BufferCharge::SetQueuedBytes(size_t bytes) {
  if (m_budget == nullptr) return;
  m_budget->SetQueuedBytes(m_budget->m_buffers.Find(m_id), bytes);
}

void BufferCharge::SetEvictable(bool is_evictable) {
  if (m_budget == nullptr) return;
  m_budget->SetEvictable(m_budget->m_buffers.Find(m_id), is_evictable);
}

size_t BufferCharge::Bytes() const {
  return m_budget == nullptr ? 0 : m_budget->m_buffers.Find(m_id)->bytes;
}

}  // namespace burdockhill

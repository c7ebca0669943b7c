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

void BufferBudget::Enforce() {
  while (m_evictable > MaxEvictableBytes()) {
    Buffer* victim = FindVictim();
    if (victim == nullptr) return;
    // The owner may take a moment to end what the buffer belongs to.
    SetEvictable(victim, false);
    BufferOwner* owner = victim->owner;
    const BufferKey key = victim->key;
    ReportOverflow({victim->kind, victim->source, victim->bytes, m_limit,
                    /*is_bound_of_process=*/true});
    owner->OnBufferEvicted(key);
  }
}

size_t BufferBudget::MaxEvictableBytes() const {
  const size_t fixed = std::min(m_total - m_evictable, m_limit);
  return std::max(m_limit - fixed, m_limit / kMinEvictableDivisor);
}

BufferBudget::Buffer* BufferBudget::FindVictim() {
  struct Source {
    size_t bytes = 0;
    Buffer* largest = nullptr;
  };
  std::map<std::string_view, Source> sources;
  const Source* most = nullptr;
  for (auto& [id, buffer] : m_buffers) {
    if (!buffer.is_evictable || buffer.bytes == 0) continue;
    Source& source = sources[buffer.source];
    source.bytes += buffer.bytes;
    if (source.largest == nullptr || buffer.bytes > source.largest->bytes) {
      source.largest = &buffer;
    }
    if (most == nullptr || source.bytes > most->bytes) most = &source;
  }
  return most == nullptr ? nullptr : most->largest;
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

void BufferBudget::SetEvictable(Buffer* buffer, bool is_evictable) {
  if (std::exchange(buffer->is_evictable, is_evictable) == is_evictable) return;
  m_evictable += is_evictable ? buffer->bytes : 0 - buffer->bytes;
}

void BufferCharge::Open(BufferBudget* budget, BufferKind kind,
                        std::string source, BufferOwner* owner, BufferKey key) {
  Close();
  m_budget = budget;
  m_id = BufferBudget::BufferId(++budget->m_last_id);
  budget->m_buffers.FindOrInsert(m_id) = {kind, std::move(source), owner,
                                          key,  /*bytes=*/0,       true};
}

void BufferCharge::Close() {
  if (m_budget == nullptr) return;
  SetBytes(0);
  m_budget->m_buffers.Erase(m_id);
  m_budget = nullptr;
}

void BufferCharge::SetBytes(size_t bytes) {
  if (m_budget == nullptr) return;
  m_budget->SetBytes(m_budget->m_buffers.Find(m_id), bytes);
}

void BufferCharge::SetEvictable(bool is_evictable) {
  if (m_budget == nullptr) return;
  m_budget->SetEvictable(m_budget->m_buffers.Find(m_id), is_evictable);
}

size_t BufferCharge::Bytes() const {
  return m_budget == nullptr ? 0 : m_budget->m_buffers.Find(m_id)->bytes;
}

}  // namespace burdockhill

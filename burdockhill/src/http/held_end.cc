#include "burdockhill/src/http/held_end.h"

namespace burdockhill::http {

namespace {

// As long as sent data may go without an acknowledgement.
constexpr Duration kTakeTimeout = std::chrono::seconds(3);
// For a reset by a process that has not read what its host has acknowledged.
constexpr Duration kSettleTime = std::chrono::milliseconds(500);

}  // namespace

bool HeldEnd::Applies(const MessageReader& reader) {
  return reader.HasHead() && !reader.IsComplete() &&
         FramingOf(reader.MessageHead()) == BodyFraming::kConnection;
}

bool HeldEnd::Begin(size_t untaken_bytes, TimePoint now) {
  m_has_begun = m_is_early || untaken_bytes > 0;
  m_untaken_bytes = untaken_bytes;
  m_changed_at = now;
  return m_has_begun;
}

HeldEnd::State HeldEnd::Check(size_t untaken_bytes, TimePoint now) {
  if (untaken_bytes < m_untaken_bytes) {
    m_untaken_bytes = untaken_bytes;
    m_changed_at = now;
  }
  const Duration unchanged = now - m_changed_at;
  if (untaken_bytes == 0) {
    return unchanged < kSettleTime ? State::kHeld : State::kOver;
  }
  return unchanged < kTakeTimeout ? State::kHeld : State::kTimedOut;
}

}  // namespace burdockhill::http

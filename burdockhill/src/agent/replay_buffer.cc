#include "burdockhill/src/agent/replay_buffer.h"

#include <algorithm>

namespace burdockhill {

bool ReplayBuffer::Append(uint64_t offset, uint32_t tokens,
                          const std::string& text,
                          const std::string& finish_reason) {
  if (offset != NextOffset() || IsFinished()) return false;
  // The text of several tokens is not split: all of it is assigned to the last
  // token, and the others get empty text.
  const auto start = static_cast<uint32_t>(m_text.size());
  m_text += text;
  for (uint32_t i = 1; i < tokens; ++i) m_token_ends.push_back(start);
  if (tokens > 0) m_token_ends.push_back(static_cast<uint32_t>(m_text.size()));
  m_finish_reason = finish_reason;
  return true;
}

bool ReplayBuffer::Fits(uint32_t tokens, const std::string& text) const {
  return KeptBytes() + KeptBytes(tokens, text) <= kMaxKeptBytes;
}

void ReplayBuffer::Drop() {
  m_first_offset = NextOffset();
  std::string().swap(m_text);
  std::vector<uint32_t>().swap(m_token_ends);
}

StreamChunk ReplayBuffer::ChunkFrom(const AttemptId& attempt,
                                    uint64_t offset) const {
  StreamChunk chunk;
  chunk.attempt = attempt;
  chunk.offset = std::clamp(offset, m_first_offset, NextOffset());
  chunk.tokens = static_cast<uint32_t>(NextOffset() - chunk.offset);
  const size_t index = chunk.offset - m_first_offset;
  chunk.text = m_text.substr(index == 0 ? 0 : m_token_ends[index - 1]);
  chunk.finish_reason = m_finish_reason;
  return chunk;
}

}  // namespace burdockhill

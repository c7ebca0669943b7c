#ifndef BURDOCKHILL_SRC_AGENT_REPLAY_BUFFER_H_
#define BURDOCKHILL_SRC_AGENT_REPLAY_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "burdockhill/src/peer/message.h"

namespace burdockhill {

// Holds all tokens that an attempt has produced, so that the stream can be
// resumed from any offset after the connection to the entry was lost. Offsets
// count the tokens of the whole answer, over all attempts.
class ReplayBuffer {
 public:
  // All text may be sent in one message.
  static constexpr size_t kMaxKeptBytes = size_t{4} << 20;

  // Clears the buffer. `first_offset` is the number of tokens that earlier
  // attempts delivered.
  void Reset(uint64_t first_offset) {
    m_first_offset = first_offset;
    m_text.clear();
    m_token_ends.clear();
    m_finish_reason.clear();
  }

  // Appends tokens. Returns false and changes nothing if `offset` is not
  // NextOffset() or the answer is finished.
  bool Append(uint64_t offset, uint32_t tokens, const std::string& text,
              const std::string& finish_reason);

  // Whether the buffer stays within its bound with these tokens.
  bool Fits(uint32_t tokens, const std::string& text) const;

  // Frees the buffered tokens; they cannot be resumed any more.
  void Drop();

  // Memory of the buffered tokens, in bytes.
  size_t KeptBytes() const { return KeptBytes(m_token_ends.size(), m_text); }

  uint64_t NextOffset() const { return m_first_offset + m_token_ends.size(); }
  bool IsFinished() const { return !m_finish_reason.empty(); }

  // The tokens from `offset` on, as one chunk. `offset` is clamped to the
  // buffered range: past the end the chunk has no tokens, before the start it
  // has all of them.
  StreamChunk ChunkFrom(const AttemptId& attempt, uint64_t offset) const;

 private:
  static size_t KeptBytes(size_t tokens, const std::string& text) {
    return text.size() + tokens * sizeof(uint32_t);
  }

  uint64_t m_first_offset = 0;
  std::string m_text;
  std::vector<uint32_t> m_token_ends;  // End of each token in m_text, bytes.
  std::string m_finish_reason;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_REPLAY_BUFFER_H_

#ifndef BURDOCKHILL_SRC_AGENT_ANSWER_TAIL_H_
#define BURDOCKHILL_SRC_AGENT_ANSWER_TAIL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "burdockhill/src/peer/message.h"

namespace burdockhill {

// The tokens that an attempt has produced, kept so that a stream can go on
// from any offset after its connection was lost.
class AnswerTail {
 public:
  // Starts at `first_offset`, the number of tokens from earlier attempts.
  void Reset(uint64_t first_offset) {
    m_first_offset = first_offset;
    m_text.clear();
    m_ends.clear();
    m_finish_reason.clear();
  }

  // Adds tokens; only the next offset is taken. Returns whether it was.
  bool Append(uint64_t offset, uint32_t tokens, const std::string& text,
              const std::string& finish_reason);

  uint64_t NextOffset() const { return m_first_offset + m_ends.size(); }
  bool IsFinished() const { return !m_finish_reason.empty(); }

  // What follows `offset`, as one chunk. `offset` past the end gives an empty
  // chunk, and one before the start gives the whole tail.
  StreamChunk From(const AttemptId& attempt, uint64_t offset) const;

 private:
  uint64_t m_first_offset = 0;
  std::string m_text;
  std::vector<uint32_t> m_ends;  // End of each token in m_text.
  std::string m_finish_reason;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_ANSWER_TAIL_H_

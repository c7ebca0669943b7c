#ifndef BURDOCKHILL_SRC_ADAPTERS_OPENAI_ANSWER_H_
#define BURDOCKHILL_SRC_ADAPTERS_OPENAI_ANSWER_H_

#include <cstdint>
#include <string>

#include "burdockhill/src/adapters/openai_request.h"
#include "burdockhill/src/entry/caller_port.h"

namespace burdockhill {

// Writes one answer in the shapes that OpenAI clients read, whole or as
// server-sent events.
class CompletionWriter {
 public:
  // `created` is in seconds of the Unix epoch.
  CompletionWriter(CompletionStyle style, RequestId id,
                   const std::string& model, int64_t created);

  // Event that opens a stream; empty for text completions.
  std::string FirstEvent() const;
  std::string TokenEvent(const std::string& text) const;
  // The last events of a stream, "[DONE]" included.
  std::string LastEvents(const std::string& finish_reason,
                         const TokenUsage& usage, bool include_usage) const;
  // The answer to a request without stream.
  std::string Whole(const std::string& text, const std::string& finish_reason,
                    const TokenUsage& usage) const;

 private:
  CompletionStyle m_style;
  std::string m_head;         // Fields that stand in every event.
  std::string m_whole_head;   // The same for an answer in one piece.
  std::string m_token_begin;  // Around the text of a token event.
  std::string m_token_end;
};

// Body of an error answer; `retry_after` in whole seconds is added if it is
// not zero.
std::string ErrorBody(RequestId id, const RequestError& error);

// Value of the Retry-After header for `error`: whole seconds, rounded up;
// empty when coming back does not help.
std::string RetryAfter(const RequestError& error);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ADAPTERS_OPENAI_ANSWER_H_

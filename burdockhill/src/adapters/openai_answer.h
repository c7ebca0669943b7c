#ifndef BURDOCKHILL_SRC_ADAPTERS_OPENAI_ANSWER_H_
#define BURDOCKHILL_SRC_ADAPTERS_OPENAI_ANSWER_H_

#include <cstdint>
#include <string>

#include "burdockhill/src/adapters/openai_request.h"
#include "burdockhill/src/entry/caller_port.h"

namespace burdockhill {

// Formats one completion response for OpenAI clients, as one JSON body or as
// server-sent events.
class CompletionWriter {
 public:
  // `created` is the Unix time in seconds.
  CompletionWriter(CompletionStyle style, RequestId id,
                   const std::string& model, int64_t created);

  // First event of a stream, with the role; empty for text completions.
  std::string FirstEvent() const;
  std::string TokenEvent(const std::string& text) const;
  // Last events of a stream, including "[DONE]".
  std::string LastEvents(const std::string& finish_reason,
                         const TokenUsage& usage, bool include_usage) const;
  // Body of the response to a request that does not stream.
  std::string ResponseBody(const std::string& text,
                           const std::string& finish_reason,
                           const TokenUsage& usage) const;

 private:
  CompletionStyle m_style;
  std::string m_event_head;          // First fields of every event.
  std::string m_body_head;           // First fields of the one-body response.
  std::string m_token_event_prefix;  // Around the text of a token event.
  std::string m_token_event_suffix;
};

// JSON body of an error response. Has "retry_after_s" if `error.retry_after` is
// positive.
std::string ErrorBody(RequestId id, const RequestError& error);

// Value of the Retry-After header for `error`: whole seconds, rounded up; empty
// if a retry would not help.
std::string RetryAfterSeconds(const RequestError& error);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ADAPTERS_OPENAI_ANSWER_H_

#ifndef BURDOCKHILL_SRC_ADAPTERS_OPENAI_REQUEST_H_
#define BURDOCKHILL_SRC_ADAPTERS_OPENAI_REQUEST_H_

#include <optional>
#include <string>

#include "burdockhill/src/entry/caller_port.h"

namespace burdockhill {

enum class CompletionStyle { kChat, kText };

// A completion request of an OpenAI client.
struct CompletionRequest {
  CallerRequest request;  // Without id and key.
  std::string model;
  bool stream = false;
  bool include_usage = false;
};

// Parses the body of POST /v1/chat/completions or /v1/completions. On failure
// returns nullopt and sets `message` to the reason.
std::optional<CompletionRequest> ParseCompletionRequest(CompletionStyle style,
                                                        const std::string& body,
                                                        std::string* message);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ADAPTERS_OPENAI_REQUEST_H_

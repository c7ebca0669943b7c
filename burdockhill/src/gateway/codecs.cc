#include "burdockhill/src/gateway/codecs.h"

#include <xxhash.h>

#include <algorithm>

namespace burdockhill {

namespace {

// Output tokens assumed if the caller gives neither an estimate nor a maximum.
constexpr int64_t kDefaultOutputTokens = 1000;

}  // namespace

Tokens ExpectedOutputTokens(const InboundRequest& request) {
  int64_t estimate = request.estimated_output_tokens.Value();
  if (estimate <= 0) estimate = request.max_output_tokens.Value() / 2;
  if (estimate <= 0) estimate = kDefaultOutputTokens;
  const int64_t max_output = request.max_output_tokens.Value();
  return Tokens(max_output > 0 ? std::min(estimate, max_output) : estimate);
}

std::string SharedPartsText(const InboundRequest& request) {
  std::string text;
  for (const PromptPartName& part : request.shared_prompt_parts) {
    if (!text.empty()) text += ",";
    text += part.Value();
  }
  return text;
}

RequestId HashRequestId(std::string_view caller_id) {
  return RequestId(XXH64(caller_id.data(), caller_id.size(), 0) | 1);
}

}  // namespace burdockhill

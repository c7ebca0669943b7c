#ifndef BURDOCKHILL_SRC_ENTRY_CALLER_PORT_H_
#define BURDOCKHILL_SRC_ENTRY_CALLER_PORT_H_

#include <optional>
#include <string>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/error_kind.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/units.h"

namespace burdockhill {

// A request as a caller made it.
struct CallerRequest {
  RequestId id;
  std::string key_sha256;  // Digest of the API key; empty if there was none.
  ServiceName service;
  bool plain = false;

  // To a model.
  std::string prompt;
  Tokens prompt_tokens;              // Estimated from the text.
  std::optional<Tokens> max_output;  // As the caller limits it.
  std::string parameters = "{}";     // JSON object for the engine.

  // To a plain service.
  std::string method;
  std::string path;
  std::string content_type;
  std::string idempotency_key;
  std::string body;
};

// Tokens of a finished request.
struct TokenUsage {
  Tokens prompt;
  Tokens reused;  // Of the prompt, found in a prefix cache.
  Tokens output;
};

// Final answer to a request that was given up.
struct RequestError {
  ErrorKind kind = ErrorKind::kInternal;
  Outcome outcome = Outcome::kUnknown;
  Duration retry_after{0};  // Zero where coming back does not help.
  std::string detail;       // Empty for the default text of the kind.
};

// Gives answers to callers. A request gets tokens in order, then exactly one
// of OnFinished, OnAnswer and OnError, unless its caller has gone.
class CallerPort {
 public:
  virtual ~CallerPort() = default;
  virtual void OnTokens(RequestId id, const std::string& text) = 0;
  virtual void OnFinished(RequestId id, const std::string& finish_reason,
                          const TokenUsage& usage) = 0;
  virtual void OnAnswer(RequestId id, int status,
                        const std::string& content_type,
                        const std::string& body) = 0;
  virtual void OnError(RequestId id, const RequestError& error) = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_CALLER_PORT_H_

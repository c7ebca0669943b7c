#ifndef BURDOCKHILL_SRC_ENTRY_CALLER_PORT_H_
#define BURDOCKHILL_SRC_ENTRY_CALLER_PORT_H_

#include <optional>
#include <string>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/error_kind.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/units.h"
#include "burdockhill/src/teams/team.h"

namespace burdockhill {

// A request as received from a caller.
struct CallerRequest {
  RequestId id;
  std::optional<KeyDigest> key;  // Of the API key; nullopt without one.
  ServiceName service;
  bool plain = false;  // Calls a plain service, not a model.

  // Model requests only.
  std::string prompt;
  Tokens prompt_tokens;              // Estimate from the text.
  std::optional<Tokens> max_output;  // Limit set by the caller.
  std::string parameters = "{}";     // JSON object, passed to the engine.

  // Calls to plain services only.
  std::string method;
  std::string path;
  std::string content_type;
  std::string idempotency_key;
  std::string body;
};

// Token counts of a finished request.
struct TokenUsage {
  Tokens prompt;
  Tokens reused;  // Prompt tokens found in a prefix cache.
  Tokens output;
};

// Final answer to a request that failed.
struct RequestError {
  ErrorKind kind = ErrorKind::kInternal;
  Outcome outcome = Outcome::kUnknown;
  Duration retry_after{0};  // Zero if a retry would not help.
  std::string detail;       // Empty for the default message of `kind`.
};

// Delivers answers to callers. A request gets its tokens in order, then exactly
// one of OnFinished, OnAnswer and OnError; nothing after its caller has
// disconnected.
class CallerPort {
 public:
  virtual ~CallerPort() = default;
  virtual void OnTokens(RequestId id, const std::string& text) = 0;
  // A model has completed its answer.
  virtual void OnFinished(RequestId id, const std::string& finish_reason,
                          const TokenUsage& usage) = 0;
  // The whole answer of a plain service.
  virtual void OnAnswer(RequestId id, int status,
                        const std::string& content_type,
                        const std::string& body) = 0;
  virtual void OnError(RequestId id, const RequestError& error) = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_CALLER_PORT_H_

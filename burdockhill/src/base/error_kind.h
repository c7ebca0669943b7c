#ifndef BURDOCKHILL_SRC_BASE_ERROR_KIND_H_
#define BURDOCKHILL_SRC_BASE_ERROR_KIND_H_

#include <string_view>
#include <system_error>

#include "burdockhill/src/base/clock.h"

namespace burdockhill {

// Every way in which a request or an operation can fail. What callers are told
// about each kind is defined in one table, see ErrorResponseFor.
enum class ErrorKind {
  kNone = 0,
  kBadRequest,
  kUnauthorized,
  kForbidden,
  kNotFound,
  kMethodNotAllowed,
  kTooLarge,
  kKeyConflict,
  kTeamLimit,
  kOverloaded,
  kDeadlineInfeasible,
  kNoUpstream,
  kNotReady,
  kLeaving,
  kBarred,
  kUpstreamRefused,
  kKvGone,
  kUpstreamFailed,
  kUpstreamSilent,
  kTimeout,
  kCallerGone,
  kStoreUnavailable,
  kStoreConflict,
  kPeerRefused,
  kInternal,
};

// Whether a request that failed may have been run by an upstream.
enum class Outcome {
  kNotRun,   // Certain: no upstream was given the request.
  kUnknown,  // An upstream may have run it.
};

// What a caller is told about one kind of error.
struct ErrorResponse {
  ErrorKind kind;
  int http_status;
  std::string_view type;     // Stable identifier for programs.
  std::string_view message;  // Default text for people.
  // Time after which the caller may retry; zero where a retry does not help.
  std::chrono::seconds retry_after;
  // Whether an attempt on another upstream may succeed.
  bool retryable;
};

// Returns the row of `kind` in the table of error responses.
const ErrorResponse& ErrorResponseFor(ErrorKind kind);

// Returns "not_run" or "unknown".
std::string_view OutcomeName(Outcome outcome);

// Returns the std::error_category of ErrorKind.
const std::error_category& ErrorKindCategory();

// Makes ErrorKind convert implicitly to std::error_code.
std::error_code make_error_code(
    ErrorKind kind);  // NOLINT(readability-identifier-naming): fixed by the
                      // standard library.

}  // namespace burdockhill

template <>
struct std::is_error_code_enum<burdockhill::ErrorKind> : std::true_type {};

#endif  // BURDOCKHILL_SRC_BASE_ERROR_KIND_H_

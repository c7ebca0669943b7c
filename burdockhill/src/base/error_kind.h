#ifndef BURDOCKHILL_SRC_BASE_ERROR_KIND_H_
#define BURDOCKHILL_SRC_BASE_ERROR_KIND_H_

#include <string_view>
#include <system_error>

#include "burdockhill/src/base/clock.h"

namespace burdockhill {

// Every way in which a request or an operation can fail. The list is closed:
// what the caller sees of each kind stands in one table, see AnswerFor.
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

// Whether the work behind a failed request may have been carried out.
enum class Outcome {
  kNotRun,   // Proved: no upstream was given the work.
  kUnknown,  // An upstream may have run it.
};

// What a caller is told about one kind of error.
struct ErrorAnswer {
  ErrorKind kind;
  int http_status;
  std::string_view type;     // Stable identifier for programs.
  std::string_view message;  // Default text for people.
  // When to come back; zero where coming back does not help.
  std::chrono::seconds retry_after;
  // Whether another attempt on another upstream may succeed.
  bool retryable;
};

// The answer for `kind`. Every kind has exactly one.
const ErrorAnswer& AnswerFor(ErrorKind kind);

// "not_run" or "unknown".
std::string_view OutcomeName(Outcome outcome);

// Category of the error codes of this project.
const std::error_category& ErrorKindCategory();

// Lets `std::error_code code = ErrorKind::kTimeout;` compile.
std::error_code make_error_code(
    ErrorKind kind);  // NOLINT(readability-identifier-naming): fixed by the
                      // standard library.

}  // namespace burdockhill

template <>
struct std::is_error_code_enum<burdockhill::ErrorKind> : std::true_type {};

#endif  // BURDOCKHILL_SRC_BASE_ERROR_KIND_H_

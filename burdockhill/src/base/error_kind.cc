#include "burdockhill/src/base/error_kind.h"

#include <array>
#include <cassert>
#include <string>

namespace burdockhill {

namespace {

using std::chrono::seconds;

constexpr std::array kErrorResponses = {
    ErrorResponse{ErrorKind::kNone, 200, "none", "No error.", seconds(0),
                  false},
    ErrorResponse{ErrorKind::kBadRequest, 400, "bad_request",
                  "The request is not valid.", seconds(0), false},
    ErrorResponse{ErrorKind::kUnauthorized, 401, "unauthorized",
                  "The API key is missing or unknown.", seconds(0), false},
    ErrorResponse{ErrorKind::kForbidden, 403, "forbidden",
                  "The team may not use this service.", seconds(0), false},
    ErrorResponse{ErrorKind::kNotFound, 404, "not_found",
                  "No such service or path.", seconds(0), false},
    ErrorResponse{ErrorKind::kMethodNotAllowed, 405, "method_not_allowed",
                  "The path does not take this method.", seconds(0), false},
    ErrorResponse{ErrorKind::kTooLarge, 413, "too_large",
                  "The body or the prompt is too large.", seconds(0), false},
    ErrorResponse{ErrorKind::kKeyConflict, 409, "key_conflict",
                  "The idempotency key was used with another body.", seconds(0),
                  false},
    ErrorResponse{ErrorKind::kTeamLimit, 429, "team_limit",
                  "The team is over its limit.", seconds(1), false},
    ErrorResponse{ErrorKind::kOverloaded, 503, "overloaded",
                  "No upstream has room in time.", seconds(1), true},
    ErrorResponse{ErrorKind::kDeadlineInfeasible, 503, "deadline_infeasible",
                  "The answer would come too late.", seconds(1), false},
    ErrorResponse{ErrorKind::kNoUpstream, 503, "no_upstream",
                  "No upstream serves this at present.", seconds(2), false},
    ErrorResponse{ErrorKind::kNotReady, 503, "not_ready",
                  "The entry has no current configuration.", seconds(2), false},
    ErrorResponse{ErrorKind::kLeaving, 503, "leaving",
                  "The entry or upstream is shutting down.", seconds(1), true},
    ErrorResponse{ErrorKind::kBarred, 503, "barred",
                  "Upstreams that ran this request have crashed.", seconds(60),
                  false},
    ErrorResponse{ErrorKind::kUpstreamRefused, 502, "upstream_refused",
                  "The upstream refused the request.", seconds(1), true},
    ErrorResponse{ErrorKind::kKvGone, 502, "kv_gone",
                  "The prefill result was evicted before decode.", seconds(1),
                  true},
    ErrorResponse{ErrorKind::kUpstreamFailed, 502, "upstream_failed",
                  "The upstream failed while it ran the request.", seconds(1),
                  true},
    ErrorResponse{ErrorKind::kUpstreamSilent, 504, "upstream_silent",
                  "The upstream stopped answering.", seconds(2), true},
    ErrorResponse{ErrorKind::kTimeout, 504, "timeout",
                  "The request ran out of time.", seconds(2), false},
    ErrorResponse{ErrorKind::kCallerGone, 499, "caller_gone",
                  "The caller closed the connection.", seconds(0), false},
    ErrorResponse{ErrorKind::kStoreUnavailable, 503, "store_unavailable",
                  "The platform's store cannot be reached.", seconds(5), false},
    ErrorResponse{ErrorKind::kStoreConflict, 409, "store_conflict",
                  "Another writer changed the object first.", seconds(0),
                  false},
    ErrorResponse{ErrorKind::kPeerRefused, 403, "peer_refused",
                  "The peer did not prove that it holds the shared key.",
                  seconds(0), false},
    ErrorResponse{ErrorKind::kInternal, 500, "internal",
                  "An internal invariant does not hold.", seconds(1), false},
};

static_assert(kErrorResponses.size() ==
                  static_cast<size_t>(ErrorKind::kInternal) + 1,
              "every error kind needs one row in kErrorResponses");

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "burdockhill"; }
  std::string message(int value) const override {
    return std::string(ErrorResponseFor(static_cast<ErrorKind>(value)).message);
  }
};

}  // namespace

const ErrorResponse& ErrorResponseFor(ErrorKind kind) {
  const ErrorResponse& response = kErrorResponses.at(static_cast<size_t>(kind));
  assert(response.kind == kind &&
         "keep kErrorResponses in the order of ErrorKind");
  return response;
}

std::string_view OutcomeName(Outcome outcome) {
  return outcome == Outcome::kNotRun ? "not_run" : "unknown";
}

const std::error_category& ErrorKindCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(ErrorKind kind) {
  return {static_cast<int>(kind), ErrorKindCategory()};
}

}  // namespace burdockhill

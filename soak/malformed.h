#ifndef BURDOCKHILL_SOAK_MALFORMED_H_
#define BURDOCKHILL_SOAK_MALFORMED_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhill::soak {

// Field of answers that must not reach a caller.
inline constexpr char kMalformedMark[] = "X-Soak-Malformed";

// Whether the bytes begin with the head of an answer to a request.
bool BeginsAnswer(std::string_view bytes);

// The answer, which begins with its head, in one of several ways that are no
// HTTP/1.1, and with the mark. `number` chooses the way.
std::string MakeMalformed(std::string_view answer, uint64_t number);

// The value of a field in the head that the text begins with; empty if the head
// is not complete or has no such field.
std::string FieldOf(std::string_view text, std::string_view name);

// Begin of an answer to the request, without a length and with the mark.
std::string BeginEarlyAnswer(const std::string& request);

}  // namespace burdockhill::soak

#endif  // BURDOCKHILL_SOAK_MALFORMED_H_

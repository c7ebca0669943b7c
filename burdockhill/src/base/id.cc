#include "burdockhill/src/base/id.h"

#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace burdockhill {

namespace {
constexpr std::string_view kRequestIdPrefix = "req-";
constexpr size_t kHexDigits = 16;
constexpr int kHexBase = 16;
}  // namespace

std::string FormatRequestId(RequestId id) {
  char digits[kHexDigits + 1];
  std::snprintf(digits, sizeof(digits), "%016" PRIx64, id.Value());
  return std::string(kRequestIdPrefix) + digits;
}

std::optional<RequestId> ParseRequestId(std::string_view text) {
  if (!text.starts_with(kRequestIdPrefix)) return std::nullopt;
  text.remove_prefix(kRequestIdPrefix.size());
  if (text.size() != kHexDigits) return std::nullopt;
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value, kHexBase);
  if (error != std::errc() || stop != end) return std::nullopt;
  return RequestId(value);
}

}  // namespace burdockhill

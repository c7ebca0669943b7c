#include "burdockhill/src/teams/team.h"

#include <openssl/sha.h>

#include <algorithm>

namespace burdockhill {

namespace {

// Nullopt for a character that is no hexadecimal digit.
std::optional<uint8_t> HexDigit(char c) {
  if (c >= '0' && c <= '9') return static_cast<uint8_t>(c - '0');
  if (c >= 'a' && c <= 'f') return static_cast<uint8_t>(c - 'a' + 10);
  if (c >= 'A' && c <= 'F') return static_cast<uint8_t>(c - 'A' + 10);
  return std::nullopt;
}

}  // namespace

KeyDigest KeyDigest::Of(std::string_view key) {
  static_assert(kSize == SHA256_DIGEST_LENGTH);
  KeyDigest digest;
  SHA256(reinterpret_cast<const uint8_t*>(key.data()), key.size(),
         digest.m_bytes.data());
  return digest;
}

std::optional<KeyDigest> KeyDigest::FromHex(std::string_view text) {
  if (text.size() != 2 * kSize) return std::nullopt;
  KeyDigest digest;
  for (size_t i = 0; i < kSize; ++i) {
    const auto high = HexDigit(text[2 * i]);
    const auto low = HexDigit(text[2 * i + 1]);
    if (!high.has_value() || !low.has_value()) return std::nullopt;
    digest.m_bytes.at(i) = static_cast<uint8_t>(*high << 4 | *low);
  }
  return digest;
}

std::string KeyDigest::ToHex() const {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * kSize);
  for (const uint8_t byte : m_bytes) {
    text.append({kDigits[byte >> 4], kDigits[byte & 15]});
  }
  return text;
}

QuotaUnits TeamLimit::CostOf(Tokens prompt, Tokens max_output) const {
  if (unit == Unit::kRequests) return QuotaUnits(1);
  const int64_t tokens = std::max<int64_t>(prompt.Value(), 0) +
                         std::max<int64_t>(max_output.Value(), 0);
  return std::max(tokens > 0 ? QuotaUnits(tokens) : plain_cost, QuotaUnits(1));
}

}  // namespace burdockhill

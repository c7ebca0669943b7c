#ifndef BURDOCKHILL_SRC_TEAMS_TEAM_H_
#define BURDOCKHILL_SRC_TEAMS_TEAM_H_

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/units.h"
#include "burdockhill/src/peer/message.h"

namespace burdockhill {

// What a team's limit counts: requests, or tokens of prompt and output.
using QuotaUnits = Count<struct QuotaUnitsTag>;

// SHA-256 of an API key. Keys themselves are not kept.
class KeyDigest {
 public:
  static constexpr size_t kSize = 32;

  KeyDigest() = default;
  // Digest of a key as callers send it.
  static KeyDigest Of(std::string_view key);
  // Parses 64 hexadecimal digits; nullopt for other text.
  static std::optional<KeyDigest> FromHex(std::string_view text);
  // In lower case.
  std::string ToHex() const;

  const std::array<uint8_t, kSize>& Bytes() const { return m_bytes; }
  auto operator<=>(const KeyDigest&) const = default;

 private:
  std::array<uint8_t, kSize> m_bytes{};
};

// The rate of a team over all entries together.
struct TeamLimit {
  // The unit of the other fields.
  enum class Unit : uint8_t { kRequests, kTokens };

  Unit unit = Unit::kRequests;
  double per_second = 0;  // Zero: no limit.
  double burst = 0;       // Units that may be used at once.
  // Cost, if the unit is tokens, of a request that states no token counts.
  QuotaUnits plain_cost{1};

  bool IsLimited() const { return per_second > 0; }
  bool operator==(const TeamLimit&) const = default;

  // What a request with these token counts costs, at least one unit.
  QuotaUnits CostOf(Tokens prompt, Tokens max_output) const;
};

// A customer: its API keys, the services that it may call, and its limits.
struct Team {
  TeamName name;
  std::vector<KeyDigest> keys;
  std::vector<std::string> services{"*"};  // "*" for all.
  RequestClass request_class = RequestClass::kStandard;
  // 0 is the most urgent. Takes precedence over a route's; nullopt if not set.
  std::optional<int> priority;
  int64_t weight = 1;
  TeamLimit limit;
  int64_t max_concurrent = 0;  // Over all entries; zero: no limit.
};

}  // namespace burdockhill

template <>
struct std::hash<burdockhill::KeyDigest> {
  // The first bytes of a digest are evenly distributed.
  size_t operator()(const burdockhill::KeyDigest& digest) const noexcept {
    size_t value = 0;
    for (size_t i = 0; i < sizeof(value); ++i) {
      value = value << 8 | digest.Bytes()[i];
    }
    return value;
  }
};

#endif  // BURDOCKHILL_SRC_TEAMS_TEAM_H_

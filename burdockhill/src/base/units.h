#ifndef BURDOCKHILL_SRC_BASE_UNITS_H_
#define BURDOCKHILL_SRC_BASE_UNITS_H_

#include <compare>
#include <cstdint>

namespace burdockhill {

// A count of a unit. `Tag` makes counts of different units distinct types that
// do not convert into each other.
template <typename Tag>
class Count {
 public:
  constexpr Count() = default;
  constexpr explicit Count(int64_t value) : m_value(value) {}
  constexpr int64_t Value() const { return m_value; }
  auto operator<=>(const Count&) const = default;
  constexpr Count operator+(Count other) const {
    return Count(m_value + other.m_value);
  }
  constexpr Count operator-(Count other) const {
    return Count(m_value - other.m_value);
  }
  constexpr Count& operator+=(Count other) {
    m_value += other.m_value;
    return *this;
  }
  constexpr Count& operator-=(Count other) {
    m_value -= other.m_value;
    return *this;
  }

 private:
  int64_t m_value = 0;
};

// Model tokens of a prompt or of an output.
using Tokens = Count<struct TokensTag>;
// Allocation units of an engine's KV cache memory. How many tokens one holds
// depends on the engine, usually a few thousand.
using Pieces = Count<struct PiecesTag>;
using ByteCount = Count<struct ByteCountTag>;
using BitsPerSecond = Count<struct BitsPerSecondTag>;

// Returns the number of pieces of `piece_size` tokens that hold `tokens`,
// rounded up.
constexpr Pieces PiecesFor(Tokens tokens, Tokens piece_size) {
  return Pieces((tokens.Value() + piece_size.Value() - 1) / piece_size.Value());
}

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_BASE_UNITS_H_

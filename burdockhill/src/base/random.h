#ifndef BURDOCKHILL_SRC_BASE_RANDOM_H_
#define BURDOCKHILL_SRC_BASE_RANDOM_H_

#include <cstdint>
#include <random>

#include "burdockhill/src/base/clock.h"

namespace burdockhill {

// Seeded random number generator. A process has one, which its parts share, so
// that a run with the same seed and the same inputs is reproducible.
class Random {
 public:
  explicit Random(uint64_t seed) : m_engine(seed) {}

  // Returns a random non-zero number, for use as an id.
  uint64_t NextId() { return m_engine() | 1; }

  // Returns a number of which all bits are random.
  uint64_t NextNumber() { return m_engine(); }

  // Returns a number in [0, bound), uniform but for a modulo bias of at most
  // bound / 2^64. `bound` must be positive.
  uint64_t UniformBelow(uint64_t bound) { return m_engine() % bound; }

  // Returns a number distributed uniformly in [0, 1).
  double UniformDouble() {
    return std::uniform_real_distribution<double>()(m_engine);
  }

  // Returns a duration distributed uniformly within 50% of `base`.
  Duration Jitter(Duration base) {
    constexpr double kSpread = 0.5;
    const double factor = 1.0 - kSpread + 2.0 * kSpread * UniformDouble();
    return Duration(
        static_cast<int64_t>(static_cast<double>(base.count()) * factor));
  }

 private:
  std::mt19937_64 m_engine;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_BASE_RANDOM_H_

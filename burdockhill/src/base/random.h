#ifndef BURDOCKHILL_SRC_BASE_RANDOM_H_
#define BURDOCKHILL_SRC_BASE_RANDOM_H_

#include <cstdint>
#include <random>

#include "burdockhill/src/base/clock.h"

namespace burdockhill {

// Seeded source of random numbers. One per process, passed by reference, so
// that a run with the same seed and the same inputs repeats exactly.
class Random {
 public:
  explicit Random(uint64_t seed) : m_engine(seed) {}

  // Any value but zero, so that it can serve as an id.
  uint64_t NextId() { return m_engine() | 1; }

  // Uniform in [0, bound). `bound` must be positive.
  uint64_t Below(uint64_t bound) { return m_engine() % bound; }

  // Uniform in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>()(m_engine); }

  // `base` changed by up to half of itself either way.
  Duration Jitter(Duration base) {
    constexpr double kSpread = 0.5;
    const double factor = 1.0 - kSpread + 2.0 * kSpread * Unit();
    return Duration(
        static_cast<int64_t>(static_cast<double>(base.count()) * factor));
  }

 private:
  std::mt19937_64 m_engine;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_BASE_RANDOM_H_

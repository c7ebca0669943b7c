#include "burdockhill/src/daemon/process_support.h"

#include <random>

namespace burdockhill {

uint64_t RandomSeed() {
  std::random_device device;
  constexpr int kWordBits = 32;
  return (static_cast<uint64_t>(device()) << kWordBits) | device();
}

}  // namespace burdockhill

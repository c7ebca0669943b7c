#ifndef BURDOCKHILL_SOAK_ENVIRONMENT_H_
#define BURDOCKHILL_SOAK_ENVIRONMENT_H_

#include <set>
#include <string>

#include "burdockhill/src/transport/sockets.h"
#include "emulation/event_queue.h"

namespace burdockhill::soak {

// After this time without a disturbance, a process is bound by the checks.
constexpr Duration kUndisturbedTime = std::chrono::seconds(4);

// What one run is played with, and what its parts share.
struct Environment {
  uint64_t seed = 1;
  std::chrono::seconds load_time{0};
  int entries = 0;
  int engines = 0;
  int net = 0;      // Second number of the loopback addresses.
  double rate = 0;  // Requests a second.
  std::set<std::string> classes;
  bool is_calm = false;  // Only faults of `classes` and configuration changes.
  Sockets* sockets = nullptr;
  emulation::EventQueue* queue = nullptr;
  const Clock* clock = nullptr;

  bool Plays(const std::string& name) const { return classes.contains(name); }
  std::string Host(int subnet, int i) const {
    return "127." + std::to_string(net) + "." + std::to_string(subnet) + "." +
           std::to_string(i);
  }
};

}  // namespace burdockhill::soak

#endif  // BURDOCKHILL_SOAK_ENVIRONMENT_H_

#ifndef BURDOCKHILL_SOAK_CHECKS_H_
#define BURDOCKHILL_SOAK_CHECKS_H_

#include "soak/callers.h"
#include "soak/daemon_memory.h"
#include "soak/environment.h"
#include "soak/signals.h"
#include "soak/upstreams.h"

namespace burdockhill::soak {

// Checks what callers and upstreams saw in a run that has ended. Prints the
// violations and a summary, and returns the number of violations.
int CheckResults(const Environment& environment, const Signals& signals,
                 const Callers& callers, const DaemonMemory& memory,
                 Upstreams* upstreams);

}  // namespace burdockhill::soak

#endif  // BURDOCKHILL_SOAK_CHECKS_H_

#ifndef BURDOCKHILL_SRC_DAEMON_PROCESS_H_
#define BURDOCKHILL_SRC_DAEMON_PROCESS_H_

#include "burdockhill/src/resources/settings.h"

namespace burdockhill {

// Runs one process in the role of its settings until it is told to stop and
// has finished what it had in flight. Returns the exit code.
int RunEntry(const Settings& settings);
int RunAgent(const Settings& settings);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_DAEMON_PROCESS_H_

#ifndef BURDOCKHILL_SRC_DAEMON_PROCESS_H_
#define BURDOCKHILL_SRC_DAEMON_PROCESS_H_

#include "burdockhill/src/resources/settings.h"

namespace burdockhill {

// Run an entry or an agent until SIGTERM or SIGINT, then finish the requests in
// flight. Return the exit code: 0, or 3 if requests were still in flight at the
// drain limit.
int RunEntry(const Settings& settings);
int RunAgent(const Settings& settings);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_DAEMON_PROCESS_H_

#ifndef BURDOCKHILL_SRC_DAEMON_GATEWAY_PROCESS_H_
#define BURDOCKHILL_SRC_DAEMON_GATEWAY_PROCESS_H_

#include <string>

#include "burdockhill/src/gateway/settings.h"

namespace burdockhill {

// Runs an entry or an agent of a deployment with a registry until SIGTERM or
// SIGINT. On SIGHUP reads the settings file `path` again; only an entry's retry
// limits take effect. Returns the exit code.
int RunGatewayProcess(const GatewaySettings& settings, const std::string& path);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_DAEMON_GATEWAY_PROCESS_H_

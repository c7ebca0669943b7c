#ifndef BURDOCKHILL_SRC_DAEMON_PROCESS_SUPPORT_H_
#define BURDOCKHILL_SRC_DAEMON_PROCESS_SUPPORT_H_

#include <cstdint>

#include "burdockhill/src/transport/peer_transport.h"

namespace burdockhill {

// A seed from the operating system.
uint64_t RandomSeed();

// Options of the peer transport: the identity of this process and the address
// where it listens. `AnySettings` is Settings or GatewaySettings.
template <typename AnySettings>
PeerTransport::Options PeerOptions(const AnySettings& settings,
                                   Incarnation incarnation) {
  PeerTransport::Options options;
  options.listen = *ParseAddress(settings.peers);
  options.shared_key = settings.peer_key;
  options.self.vm = settings.vm;
  options.self.role = settings.role;
  options.self.zone = settings.zone;
  options.self.region = settings.region;
  options.self.incarnation = incarnation;
  return options;
}

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_DAEMON_PROCESS_SUPPORT_H_

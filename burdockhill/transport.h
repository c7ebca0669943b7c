#ifndef BURDOCKHILL_TRANSPORT_H_
#define BURDOCKHILL_TRANSPORT_H_

// Module transport: the event loop, TCP sockets and peer connections. All run
// on one libwebsockets context and one thread. No other module depends on
// libwebsockets.

#include "burdockhill/src/transport/connection_limit.h"  // IWYU pragma: export
#include "burdockhill/src/transport/event_loop.h"        // IWYU pragma: export
#include "burdockhill/src/transport/path_state.h"        // IWYU pragma: export
#include "burdockhill/src/transport/peer_transport.h"    // IWYU pragma: export
#include "burdockhill/src/transport/sockets.h"           // IWYU pragma: export
#include "burdockhill/src/transport/tcp_sockets.h"       // IWYU pragma: export

#endif  // BURDOCKHILL_TRANSPORT_H_

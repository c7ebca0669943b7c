#ifndef BURDOCKHILL_GATEWAY_H_
#define BURDOCKHILL_GATEWAY_H_

// Module gateway: the entry and agent processes of deployments that have a
// registry of upstreams and routes set by operators. An entry forwards HTTP
// requests to upstreams directly. An agent on the VM of each model engine
// grants reservations of the engine's KV cache memory and prefill capacity.

#include "burdockhill/src/gateway/buffer_reporter.h"  // IWYU pragma: export
#include "burdockhill/src/gateway/codecs.h"           // IWYU pragma: export
#include "burdockhill/src/gateway/configuration_freshness.h"  // IWYU pragma: export
#include "burdockhill/src/gateway/connection_reporter.h"  // IWYU pragma: export
#include "burdockhill/src/gateway/engine_agent.h"         // IWYU pragma: export
#include "burdockhill/src/gateway/gateway.h"              // IWYU pragma: export
#include "burdockhill/src/gateway/object_feed.h"          // IWYU pragma: export
#include "burdockhill/src/gateway/origin_keeper.h"        // IWYU pragma: export
#include "burdockhill/src/gateway/peer_relay.h"           // IWYU pragma: export
#include "burdockhill/src/gateway/replicated_stream_origins.h"  // IWYU pragma: export
#include "burdockhill/src/gateway/reservations.h"       // IWYU pragma: export
#include "burdockhill/src/gateway/response_reporter.h"  // IWYU pragma: export
#include "burdockhill/src/gateway/settings.h"           // IWYU pragma: export
#include "burdockhill/src/gateway/stream_origins.h"     // IWYU pragma: export
#include "burdockhill/src/gateway/take_up.h"            // IWYU pragma: export
#include "burdockhill/src/gateway/team_admission.h"     // IWYU pragma: export
#include "burdockhill/src/gateway/upstream_permits.h"   // IWYU pragma: export

#endif  // BURDOCKHILL_GATEWAY_H_

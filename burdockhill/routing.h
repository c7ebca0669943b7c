#ifndef BURDOCKHILL_ROUTING_H_
#define BURDOCKHILL_ROUTING_H_

// Module routing: decisions on requests, without any I/O. Routes and registered
// upstreams, choice of upstreams, admission to engines by their memory and
// load, prefill and decode pools, retries and refusals.

#include "burdockhill/src/routing/engine_admission.h"     // IWYU pragma: export
#include "burdockhill/src/routing/engine_outlook.h"       // IWYU pragma: export
#include "burdockhill/src/routing/engine_placement.h"     // IWYU pragma: export
#include "burdockhill/src/routing/holder_order.h"         // IWYU pragma: export
#include "burdockhill/src/routing/kv_cache_ledger.h"      // IWYU pragma: export
#include "burdockhill/src/routing/origin_replicas.h"      // IWYU pragma: export
#include "burdockhill/src/routing/output_length_model.h"  // IWYU pragma: export
#include "burdockhill/src/routing/permit_schedule.h"      // IWYU pragma: export
#include "burdockhill/src/routing/placement_costs.h"      // IWYU pragma: export
#include "burdockhill/src/routing/plain_placement.h"      // IWYU pragma: export
#include "burdockhill/src/routing/poison_request_detector.h"  // IWYU pragma: export
#include "burdockhill/src/routing/pool_balance.h"  // IWYU pragma: export
#include "burdockhill/src/routing/prompt_part_quarantine.h"  // IWYU pragma: export
#include "burdockhill/src/routing/prompt_rate.h"         // IWYU pragma: export
#include "burdockhill/src/routing/release_projection.h"  // IWYU pragma: export
#include "burdockhill/src/routing/reservation_queue.h"   // IWYU pragma: export
#include "burdockhill/src/routing/retry_budget.h"        // IWYU pragma: export
#include "burdockhill/src/routing/route_table.h"         // IWYU pragma: export
#include "burdockhill/src/routing/service_rate.h"        // IWYU pragma: export
#include "burdockhill/src/routing/service_shares.h"      // IWYU pragma: export
#include "burdockhill/src/routing/stated_rate_limits.h"  // IWYU pragma: export
#include "burdockhill/src/routing/stream_budget.h"       // IWYU pragma: export
#include "burdockhill/src/routing/stream_call_count.h"   // IWYU pragma: export
#include "burdockhill/src/routing/stream_origin_memory.h"  // IWYU pragma: export
#include "burdockhill/src/routing/upstream_directory.h"  // IWYU pragma: export
#include "burdockhill/src/routing/upstream_pauses.h"     // IWYU pragma: export

#endif  // BURDOCKHILL_ROUTING_H_

#ifndef BURDOCKHILL_ENTRY_H_
#define BURDOCKHILL_ENTRY_H_

// Module entry: the request logic of an entry VM: admission, rate limiting,
// placement, retries and streaming. What an entry knows of the upstreams may be
// out of date; each agent decides for its own upstream. No I/O.

#include "burdockhill/src/entry/caller_port.h"       // IWYU pragma: export
#include "burdockhill/src/entry/entry_blackboard.h"  // IWYU pragma: export
#include "burdockhill/src/entry/entry_core.h"        // IWYU pragma: export

#endif  // BURDOCKHILL_ENTRY_H_

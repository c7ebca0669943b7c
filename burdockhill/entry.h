#ifndef BURDOCKHILL_ENTRY_H_
#define BURDOCKHILL_ENTRY_H_

// Module entry: the decisions of the process on each entry VM. It admits,
// limits, places, retries and streams. Its view of upstreams is a hint; each
// agent has the last word on its own upstream. No I/O.

#include "burdockhill/src/entry/caller_port.h"       // IWYU pragma: export
#include "burdockhill/src/entry/entry_blackboard.h"  // IWYU pragma: export
#include "burdockhill/src/entry/entry_core.h"        // IWYU pragma: export

#endif  // BURDOCKHILL_ENTRY_H_

#ifndef BURDOCKHILL_ADAPTERS_H_
#define BURDOCKHILL_ADAPTERS_H_

// Module adapters: the core's interfaces over HTTP, and the HTTP interfaces
// for callers and operators over the core.

#include "burdockhill/src/adapters/caller_api.h"       // IWYU pragma: export
#include "burdockhill/src/adapters/engine_client.h"    // IWYU pragma: export
#include "burdockhill/src/adapters/operators_api.h"    // IWYU pragma: export
#include "burdockhill/src/adapters/platform_client.h"  // IWYU pragma: export

#endif  // BURDOCKHILL_ADAPTERS_H_

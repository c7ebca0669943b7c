#ifndef BURDOCKHILL_ADAPTERS_H_
#define BURDOCKHILL_ADAPTERS_H_

// Module adapters: HTTP clients that implement the interfaces of the cores
// (EngineLink, ObjectStore), and the HTTP APIs for callers and operators.

#include "burdockhill/src/adapters/caller_api.h"       // IWYU pragma: export
#include "burdockhill/src/adapters/engine_client.h"    // IWYU pragma: export
#include "burdockhill/src/adapters/operators_api.h"    // IWYU pragma: export
#include "burdockhill/src/adapters/platform_client.h"  // IWYU pragma: export

#endif  // BURDOCKHILL_ADAPTERS_H_

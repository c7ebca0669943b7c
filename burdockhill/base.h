#ifndef BURDOCKHILL_BASE_H_
#define BURDOCKHILL_BASE_H_

// Module base: ids, addresses, units, time, errors, random numbers and the
// budget of buffered bytes. The other modules build on it. It does no I/O.

#include "burdockhill/src/base/address.h"         // IWYU pragma: export
#include "burdockhill/src/base/buffer_budget.h"   // IWYU pragma: export
#include "burdockhill/src/base/clock.h"           // IWYU pragma: export
#include "burdockhill/src/base/error_kind.h"      // IWYU pragma: export
#include "burdockhill/src/base/heap_size.h"       // IWYU pragma: export
#include "burdockhill/src/base/id.h"              // IWYU pragma: export
#include "burdockhill/src/base/random.h"          // IWYU pragma: export
#include "burdockhill/src/base/store_revision.h"  // IWYU pragma: export
#include "burdockhill/src/base/table.h"           // IWYU pragma: export
#include "burdockhill/src/base/units.h"           // IWYU pragma: export

#endif  // BURDOCKHILL_BASE_H_

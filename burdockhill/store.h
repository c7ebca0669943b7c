#ifndef BURDOCKHILL_STORE_H_
#define BURDOCKHILL_STORE_H_

// Module store: the platform's object store and VM list as the core sees them.

#include "burdockhill/src/store/object_store.h"  // IWYU pragma: export

#endif  // BURDOCKHILL_STORE_H_

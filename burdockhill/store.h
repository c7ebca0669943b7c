#ifndef BURDOCKHILL_STORE_H_
#define BURDOCKHILL_STORE_H_

// Module store: interface of the core to the platform's object store and VM
// list.

#include "burdockhill/src/store/object_store.h"  // IWYU pragma: export

#endif  // BURDOCKHILL_STORE_H_

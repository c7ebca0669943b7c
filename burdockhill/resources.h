#ifndef BURDOCKHILL_RESOURCES_H_
#define BURDOCKHILL_RESOURCES_H_

// Module resources: the kinds of objects that operators write, how they are
// read and checked, and the configuration that they add up to.

#include "burdockhill/src/resources/configuration.h"  // IWYU pragma: export
#include "burdockhill/src/resources/field_error.h"    // IWYU pragma: export
#include "burdockhill/src/resources/resource.h"       // IWYU pragma: export
#include "burdockhill/src/resources/settings.h"       // IWYU pragma: export

#endif  // BURDOCKHILL_RESOURCES_H_

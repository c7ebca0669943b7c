#ifndef BURDOCKHILL_RESOURCES_H_
#define BURDOCKHILL_RESOURCES_H_

// Module resources: the resources that operators write, their parsing and
// validation, the configuration made of them, and the settings of a process.

#include "burdockhill/src/resources/configuration.h"   // IWYU pragma: export
#include "burdockhill/src/resources/field_error.h"     // IWYU pragma: export
#include "burdockhill/src/resources/json_text.h"       // IWYU pragma: export
#include "burdockhill/src/resources/resource.h"        // IWYU pragma: export
#include "burdockhill/src/resources/settings.h"        // IWYU pragma: export
#include "burdockhill/src/resources/untrusted_json.h"  // IWYU pragma: export

#endif  // BURDOCKHILL_RESOURCES_H_

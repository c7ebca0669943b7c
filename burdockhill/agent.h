#ifndef BURDOCKHILL_AGENT_H_
#define BURDOCKHILL_AGENT_H_

// Module agent: the decisions of the process beside each upstream. It is the
// only road to the upstream's engines and the authority on their slots, their
// memory, and on what ran and what did not. No I/O.

#include "burdockhill/src/agent/agent_blackboard.h"  // IWYU pragma: export
#include "burdockhill/src/agent/agent_core.h"        // IWYU pragma: export
#include "burdockhill/src/agent/engine_link.h"       // IWYU pragma: export

#endif  // BURDOCKHILL_AGENT_H_

#ifndef BURDOCKHILL_AGENT_H_
#define BURDOCKHILL_AGENT_H_

// Module agent: control logic of the process that runs on each upstream's VM.
// All traffic to the upstream's engines goes through the agent. It allocates
// their decode slots and KV cache memory and is the authority on whether an
// attempt has run. The module does no I/O.

#include "burdockhill/src/agent/agent_blackboard.h"  // IWYU pragma: export
#include "burdockhill/src/agent/agent_core.h"        // IWYU pragma: export
#include "burdockhill/src/agent/engine_link.h"       // IWYU pragma: export

#endif  // BURDOCKHILL_AGENT_H_

#ifndef BURDOCKHILL_PEER_H_
#define BURDOCKHILL_PEER_H_

// Module peer: the messages that entries and agents exchange, as plain structs,
// and the interfaces through which the core sends and receives them.

#include "burdockhill/src/peer/message.h"    // IWYU pragma: export
#include "burdockhill/src/peer/peer_link.h"  // IWYU pragma: export

#endif  // BURDOCKHILL_PEER_H_

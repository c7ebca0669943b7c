#ifndef BURDOCKHILL_WIRE_H_
#define BURDOCKHILL_WIRE_H_

// Module wire: encoding and authentication of peer messages. A frame is
// length-prefixed and has a message authentication code and a FlatBuffers
// payload. The module works on bytes in memory and does no I/O.

#include "burdockhill/src/wire/codec.h"         // IWYU pragma: export
#include "burdockhill/src/wire/peer_session.h"  // IWYU pragma: export

#endif  // BURDOCKHILL_WIRE_H_

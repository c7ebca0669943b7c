#ifndef BURDOCKHILL_WIRE_H_
#define BURDOCKHILL_WIRE_H_

// Module wire: how peer messages travel. FlatBuffers inside length-prefixed
// frames, each with a message authentication code. No I/O: bytes in, bytes out.

#include "burdockhill/src/wire/codec.h"         // IWYU pragma: export
#include "burdockhill/src/wire/peer_session.h"  // IWYU pragma: export

#endif  // BURDOCKHILL_WIRE_H_

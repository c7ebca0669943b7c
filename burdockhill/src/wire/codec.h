#ifndef BURDOCKHILL_SRC_WIRE_CODEC_H_
#define BURDOCKHILL_SRC_WIRE_CODEC_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "burdockhill/src/peer/message.h"

namespace burdockhill::wire {

// Encodes messages into the payload of one frame.
std::string EncodeMessages(std::span<const Message> messages);

// Decodes a payload from an untrusted source and appends its messages to
// `messages`. Returns false and leaves `messages` unchanged if any part of the
// payload is malformed. Messages of types that are not known are left out.
bool DecodeMessages(std::string_view payload, std::vector<Message>* messages);

}  // namespace burdockhill::wire

#endif  // BURDOCKHILL_SRC_WIRE_CODEC_H_

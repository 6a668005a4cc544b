#pragma once

#include "kernel/error.h"
#include "peer/frame.h"
#include "peer/peer_node.h"

namespace apricotwheel {

// Builds an envelope around the body of `message`; its other fields are not
// used. The correlation id 0 marks a one-way message.
byte_buffer EncodeMessage(const wire_message& message,
                          std::uint64_t correlation_id, bool is_response);

// Verifies and unpacks one envelope. Fails with `corrupt` if the bytes do not
// verify or the body is absent or of an unknown type.
result<wire_message> DecodeMessage(byte_view payload);

}  // namespace apricotwheel

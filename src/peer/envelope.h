#pragma once

#include <cstdint>
#include <limits>

#include "kernel/error.h"
#include "peer/frame.h"
#include "peer/peer_node.h"

namespace apricotwheel {

// Correlation id of echoes. A request with an `acknowledgement` as its body
// only asks for a response, which the reader thread sends.
inline constexpr std::uint64_t kEchoCorrelationId =
    std::numeric_limits<std::uint64_t>::max();

// Encodes an envelope around the body of `message`; its other fields are
// ignored. Correlation id 0 marks a one-way message.
byte_buffer EncodeMessage(const wire_message& message,
                          std::uint64_t correlation_id, bool is_response);

// Verifies and decodes one envelope. Fails with `corrupt` if the bytes fail
// verification, or if the body is absent, of an unknown type or misaligned.
result<wire_message> DecodeMessage(byte_view payload);

}  // namespace apricotwheel

#pragma once

#include <string>
#include <string_view>

#include "kernel/clock.h"
#include "kernel/error.h"
#include "peer/connection.h"

namespace apricotwheel {

inline constexpr std::size_t kChallengeBytes = 32;
inline constexpr std::size_t kProofBytes = 32;
inline constexpr std::size_t kMaxMemberIdBytes = 256;
// No handshake frame is larger, so an unproven peer cannot claim more memory.
inline constexpr std::size_t kMaxHandshakeFrameBytes =
    kProofBytes + kMaxMemberIdBytes;

// HMAC-SHA256(key, role + client challenge + server challenge + client id).
byte_buffer HandshakeProof(std::string_view key, std::string_view role,
                           byte_view client_challenge,
                           byte_view server_challenge,
                           std::string_view client_id);

// Proves the key to the listening side and checks its proof. Returns the
// server's member id, which its last frame names: an address may meanwhile
// belong to a daemon that was started later.
result<std::string> AuthenticateAsClient(peer_connection& connection,
                                         std::string_view key,
                                         std::string_view client_id,
                                         time_point deadline);

// The listening side. Returns the member id of the client.
result<std::string> AuthenticateAsServer(peer_connection& connection,
                                         std::string_view key,
                                         std::string_view server_id,
                                         time_point deadline);

}  // namespace apricotwheel

#pragma once

#include <string>
#include <string_view>

#include "kernel/clock.h"
#include "kernel/error.h"
#include "peer/peer_connection.h"

namespace apricotwheel {

inline constexpr std::size_t kChallengeBytes = 32;
inline constexpr std::size_t kProofBytes = 32;
inline constexpr std::size_t kMaxMemberIdBytes = 256;
// Size limit of a handshake frame, which bounds the memory that an
// unauthenticated peer can occupy.
inline constexpr std::size_t kMaxHandshakeFrameBytes =
    kProofBytes + kMaxMemberIdBytes;

// Returns HMAC-SHA256(key, role + client challenge + server challenge + client
// id).
byte_buffer HandshakeProof(std::string_view key, std::string_view role,
                           byte_view client_challenge,
                           byte_view server_challenge,
                           std::string_view client_id);

// Runs the client side of the handshake: proves knowledge of the key and
// verifies the server's proof. Returns the member id that the server sends with
// its proof, because the address may belong to a daemon that was started later
// than the intended one.
result<std::string> AuthenticateAsClient(peer_connection& connection,
                                         std::string_view key,
                                         std::string_view client_id,
                                         time_point deadline);

// Runs the server side of the handshake. Returns the member id of the client.
result<std::string> AuthenticateAsServer(peer_connection& connection,
                                         std::string_view key,
                                         std::string_view server_id,
                                         time_point deadline);

}  // namespace apricotwheel

#include "peer/handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace apricotwheel {

namespace {

constexpr std::string_view kClientRole = "client";
constexpr std::string_view kServerRole = "server";

boost::leaf::error_id FailProof(std::string message) {
  return Fail(error_kind::kCorrupt, std::move(message),
              "give all daemons of the cell the same peer key file");
}

result<byte_buffer> RandomChallenge() {
  byte_buffer challenge(kChallengeBytes);
  if (RAND_bytes(challenge.data(), static_cast<int>(challenge.size())) != 1) {
    return Fail(error_kind::kInternal,
                "cannot read random bytes for the handshake",
                "check the system's random source");
  }
  return challenge;
}

result<void> SendFrame(peer_connection& connection, byte_view payload,
                       time_point deadline) {
  if (connection.WriteFrame(payload, deadline) != write_outcome::kSent) {
    return Fail(error_kind::kUnavailable, "the handshake was interrupted",
                "check the network between the daemons");
  }
  return {};
}

result<byte_buffer> ReceiveFrame(peer_connection& connection,
                                 std::size_t min_bytes, std::size_t max_bytes,
                                 time_point deadline) {
  byte_buffer payload;
  BOOST_LEAF_AUTO(received, connection.ReadFrame(payload, deadline));
  if (!received) return FailProof("the peer closed during the handshake");
  if (payload.size() < min_bytes || payload.size() > max_bytes) {
    return FailProof("a handshake frame has the wrong size");
  }
  return payload;
}

byte_buffer WithId(byte_buffer proof, std::string_view member_id) {
  proof.insert(proof.end(), member_id.begin(), member_id.end());
  return proof;
}

std::string IdAfterProof(const byte_buffer& payload) {
  return {payload.begin() + kProofBytes, payload.end()};
}

bool ProofMatches(const byte_buffer& payload, const byte_buffer& expected) {
  return CRYPTO_memcmp(payload.data(), expected.data(), kProofBytes) == 0;
}

}  // namespace

byte_buffer HandshakeProof(std::string_view key, std::string_view role,
                           byte_view client_challenge,
                           byte_view server_challenge,
                           std::string_view client_id) {
  byte_buffer signed_bytes(role.begin(), role.end());
  signed_bytes.insert(signed_bytes.end(), client_challenge.begin(),
                      client_challenge.end());
  signed_bytes.insert(signed_bytes.end(), server_challenge.begin(),
                      server_challenge.end());
  signed_bytes.insert(signed_bytes.end(), client_id.begin(), client_id.end());
  byte_buffer proof(kProofBytes);
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       signed_bytes.data(), signed_bytes.size(), proof.data(), &size);
  return proof;
}

result<std::string> AuthenticateAsClient(peer_connection& connection,
                                         std::string_view key,
                                         std::string_view client_id,
                                         time_point deadline) {
  BOOST_LEAF_AUTO(own_challenge, RandomChallenge());
  BOOST_LEAF_CHECK(SendFrame(connection, own_challenge, deadline));
  BOOST_LEAF_AUTO(peer_challenge, ReceiveFrame(connection, kChallengeBytes,
                                               kChallengeBytes, deadline));
  BOOST_LEAF_CHECK(
      SendFrame(connection,
                WithId(HandshakeProof(key, kClientRole, own_challenge,
                                      peer_challenge, client_id),
                       client_id),
                deadline));
  BOOST_LEAF_AUTO(proof_frame, ReceiveFrame(connection, kProofBytes + 1,
                                            kMaxHandshakeFrameBytes, deadline));
  if (!ProofMatches(proof_frame, HandshakeProof(key, kServerRole, own_challenge,
                                                peer_challenge, client_id))) {
    return FailProof("the listening side does not hold the key");
  }
  return IdAfterProof(proof_frame);
}

result<std::string> AuthenticateAsServer(peer_connection& connection,
                                         std::string_view key,
                                         std::string_view server_id,
                                         time_point deadline) {
  BOOST_LEAF_AUTO(peer_challenge, ReceiveFrame(connection, kChallengeBytes,
                                               kChallengeBytes, deadline));
  BOOST_LEAF_AUTO(own_challenge, RandomChallenge());
  BOOST_LEAF_CHECK(SendFrame(connection, own_challenge, deadline));
  BOOST_LEAF_AUTO(proof_frame, ReceiveFrame(connection, kProofBytes + 1,
                                            kMaxHandshakeFrameBytes, deadline));
  auto client_id = IdAfterProof(proof_frame);
  if (!ProofMatches(proof_frame,
                    HandshakeProof(key, kClientRole, peer_challenge,
                                   own_challenge, client_id))) {
    return FailProof("the connecting side does not hold the key");
  }
  BOOST_LEAF_CHECK(
      SendFrame(connection,
                WithId(HandshakeProof(key, kServerRole, peer_challenge,
                                      own_challenge, client_id),
                       server_id),
                deadline));
  return client_id;
}

}  // namespace apricotwheel

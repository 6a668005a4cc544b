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
    return Fail(error_kind::kInternal, "no random bytes for the handshake",
                "check the system's random source");
  }
  return challenge;
}

result<void> Send(connection& link, byte_view payload, time_point deadline) {
  if (link.WriteFrame(payload, deadline) != write_outcome::kSent) {
    return Fail(error_kind::kUnavailable, "the handshake was interrupted",
                "check the network between the daemons");
  }
  return {};
}

result<byte_buffer> Receive(connection& link, std::size_t min_bytes,
                            std::size_t max_bytes, time_point deadline) {
  byte_buffer payload;
  BOOST_LEAF_AUTO(received, link.ReadFrame(payload, deadline));
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
  byte_buffer text(role.begin(), role.end());
  text.insert(text.end(), client_challenge.begin(), client_challenge.end());
  text.insert(text.end(), server_challenge.begin(), server_challenge.end());
  text.insert(text.end(), client_id.begin(), client_id.end());
  byte_buffer proof(kProofBytes);
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), text.data(),
       text.size(), proof.data(), &size);
  return proof;
}

result<std::string> AuthenticateClient(connection& link, std::string_view key,
                                       std::string_view client_id,
                                       time_point deadline) {
  BOOST_LEAF_AUTO(own, RandomChallenge());
  BOOST_LEAF_CHECK(Send(link, own, deadline));
  BOOST_LEAF_AUTO(other,
                  Receive(link, kChallengeBytes, kChallengeBytes, deadline));
  BOOST_LEAF_CHECK(
      Send(link,
           WithId(HandshakeProof(key, kClientRole, own, other, client_id),
                  client_id),
           deadline));
  BOOST_LEAF_AUTO(answer, Receive(link, kProofBytes + 1,
                                  kMaxHandshakeFrameBytes, deadline));
  if (!ProofMatches(answer,
                    HandshakeProof(key, kServerRole, own, other, client_id))) {
    return FailProof("the listening side does not hold the key");
  }
  return IdAfterProof(answer);
}

result<std::string> AuthenticateServer(connection& link, std::string_view key,
                                       std::string_view server_id,
                                       time_point deadline) {
  BOOST_LEAF_AUTO(other,
                  Receive(link, kChallengeBytes, kChallengeBytes, deadline));
  BOOST_LEAF_AUTO(own, RandomChallenge());
  BOOST_LEAF_CHECK(Send(link, own, deadline));
  BOOST_LEAF_AUTO(answer, Receive(link, kProofBytes + 1,
                                  kMaxHandshakeFrameBytes, deadline));
  auto client_id = IdAfterProof(answer);
  if (!ProofMatches(answer,
                    HandshakeProof(key, kClientRole, other, own, client_id))) {
    return FailProof("the connecting side does not hold the key");
  }
  BOOST_LEAF_CHECK(
      Send(link,
           WithId(HandshakeProof(key, kServerRole, other, own, client_id),
                  server_id),
           deadline));
  return client_id;
}

}  // namespace apricotwheel

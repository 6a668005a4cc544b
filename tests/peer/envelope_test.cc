#include "peer/envelope.h"

#include <boost/test/unit_test.hpp>

namespace apricotwheel {
namespace {

// A key_handover found by the fuzzer. The FlatBuffers verifier accepts it,
// although the only 8-byte element of accepted_epochs starts at byte 92.
const byte_buffer kMisalignedHandover = {
    20, 0, 0, 0, 0,  0, 14, 0,  24, 0, 0, 0, 12, 0, 0, 0, 7,  0, 8, 0,
    14, 0, 0, 0, 0,  0, 0,  16, 28, 0, 0, 0, 3,  0, 0, 0, 0,  0, 0, 0,
    0,  0, 0, 0, 12, 0, 8,  0,  0,  0, 0, 0, 0,  0, 4, 0, 12, 0, 0, 0,
    4,  0, 0, 0, 1,  0, 0,  0,  12, 0, 0, 0, 0,  0, 6, 0, 8,  0, 4, 0,
    6,  0, 0, 0, 4,  0, 0,  0,  3,  0, 0, 0, 4,  0, 0, 0};

// Guards against misaligned 8-byte elements, which would be read in place.
BOOST_AUTO_TEST_CASE(misaligned_elements_are_corrupt) {
  const auto decoded =
      Attempt([] { return DecodeMessage(kMisalignedHandover); });
  BOOST_REQUIRE(!decoded);
  BOOST_TEST((decoded.failure.kind == error_kind::kCorrupt));
}

// Guards against an encoder or an alignment check under which a valid message
// with such vectors fails to decode.
BOOST_AUTO_TEST_CASE(vectors_of_any_length_are_aligned_when_encoded) {
  for (std::size_t count = 0; count < 4; ++count) {
    wire::key_handoverT handover;
    handover.accepted_epochs.assign(count, 7);
    handover.accepted_clocks_ms.assign(count, 9);
    wire::gossipT gossip;
    gossip.largest_free.assign(count, wire::resources(1, 2, 3));
    for (const auto& message :
         {MakeMessage(std::move(handover)), MakeMessage(std::move(gossip))}) {
      const auto bytes = EncodeMessage(message, 1, false);
      BOOST_TEST(!!Attempt([&] { return DecodeMessage(bytes); }));
    }
  }
}

}  // namespace
}  // namespace apricotwheel

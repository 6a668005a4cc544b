#include "peer/envelope.h"

#include <array>
#include <cstdint>
#include <type_traits>

namespace apricotwheel {

namespace {

constexpr std::uint16_t kWireVersion = 1;

constexpr std::array kErrorKinds = {
    error_kind::kInvalidArgument, error_kind::kNotFound,
    error_kind::kConflict,        error_kind::kStaleEpoch,
    error_kind::kUnavailable,     error_kind::kTimeout,
    error_kind::kCapacity,        error_kind::kImpossible,
    error_kind::kOverloaded,      error_kind::kShuttingDown,
    error_kind::kCorrupt,         error_kind::kIo,
    error_kind::kInternal};

// The FlatBuffers verifier checks the alignment of a vector's length but not of
// its elements. Elements that need a wider alignment are read in place and are
// therefore checked here.
template <typename Element>
bool HasAlignedElements(const flatbuffers::Vector<Element>* elements) {
  constexpr auto kAlignment = alignof(std::remove_pointer_t<Element>);
  return elements == nullptr ||
         reinterpret_cast<std::uintptr_t>(elements->Data()) % kAlignment == 0;
}

// Checks every vector of elements with 8-byte alignment in peer_messages.fbs.
bool HasAlignedVectors(const wire::envelope& envelope) {
  if (const auto* gossip = envelope.body_as_gossip()) {
    return HasAlignedElements(gossip->largest_free());
  }
  if (const auto* handover = envelope.body_as_key_handover()) {
    return HasAlignedElements(handover->accepted_epochs()) &&
           HasAlignedElements(handover->accepted_clocks_ms());
  }
  return true;
}

}  // namespace

byte_buffer EncodeMessage(const wire_message& message,
                          std::uint64_t correlation_id, bool is_response) {
  flatbuffers::FlatBufferBuilder builder;
  const auto body = message.body.Pack(builder);
  builder.Finish(wire::Createenvelope(builder, kWireVersion, correlation_id,
                                      is_response, message.body.type, body));
  return {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()};
}

result<wire_message> DecodeMessage(byte_view payload) {
  constexpr char kRemedy[] = "run the same release on all daemons";
  flatbuffers::Verifier verifier(payload.data(), payload.size());
  if (!wire::VerifyenvelopeBuffer(verifier)) {
    return Fail(error_kind::kCorrupt, "an envelope fails verification",
                kRemedy);
  }
  const auto* envelope = wire::Getenvelope(payload.data());
  // The verifier accepts unknown union types and absent bodies.
  if (envelope->version() == 0 || envelope->body() == nullptr ||
      envelope->body_type() <= wire::body::NONE ||
      envelope->body_type() > wire::body::MAX) {
    return Fail(error_kind::kCorrupt, "an envelope has no body of a known type",
                kRemedy);
  }
  if (!HasAlignedVectors(*envelope)) {
    return Fail(error_kind::kCorrupt, "an envelope has misaligned elements",
                kRemedy);
  }
  wire_message message;
  envelope->UnPackTo(&message);
  return message;
}

wire_message MakeFailure(const error& failure) {
  wire::failureT body;
  body.kind = ToString(failure.kind);
  body.message = failure.message;
  body.remedy = failure.remedy;
  return MakeMessage(std::move(body));
}

error ToError(const wire::failureT& failure) {
  for (const auto kind : kErrorKinds) {
    if (ToString(kind) == failure.kind) {
      return {kind, failure.message, failure.remedy};
    }
  }
  return {error_kind::kInternal,
          "unknown error kind '" + failure.kind + "': " + failure.message,
          failure.remedy};
}

}  // namespace apricotwheel

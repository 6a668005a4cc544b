#include "peer/envelope.h"
#include "peer/frame.h"

namespace {

constexpr std::size_t kMaxFrameBytes = 4096;

}  // namespace

// Guards against memory faults and endless loops on hostile frames, and against
// accepted envelopes that cannot be encoded and decoded again. The first byte
// chooses the sizes in which the stream arrives.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace apricotwheel;  // NOLINT(google-build-using-namespace)
  if (size == 0) return 0;
  const std::size_t step = data[0] == 0 ? size : data[0];
  byte_view rest(data + 1, size - 1);
  frame_reader reader(kMaxFrameBytes);
  byte_buffer payload;
  while (!rest.empty()) {
    const auto part = rest.first(std::min(step, rest.size()));
    rest = rest.subspan(part.size());
    reader.Append(part);
    while (true) {
      const auto next = Attempt([&] { return reader.Next(payload); });
      if (!next) return 0;  // The connection is closed.
      if (!*next) break;
      if (payload.size() > kMaxFrameBytes) __builtin_trap();
      const auto message = Attempt([&] { return DecodeMessage(payload); });
      if (!message) return 0;
      const auto encoded =
          EncodeMessage(*message, message->correlation_id, false);
      if (!Attempt([&] { return DecodeMessage(encoded); })) __builtin_trap();
    }
  }
  return 0;
}

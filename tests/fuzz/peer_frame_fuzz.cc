#include "peer/envelope.h"
#include "peer/frame.h"

namespace {

constexpr std::size_t kMaxFrameBytes = 4096;

}  // namespace

// Guards against memory errors and endless loops on malformed frames, and
// against accepted messages that cannot be encoded and decoded again. The first
// byte is the size of the chunks in which the stream arrives; 0 means one
// chunk.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace apricotwheel;  // NOLINT(google-build-using-namespace)
  if (size == 0) return 0;
  const std::size_t chunk_size = data[0] == 0 ? size : data[0];
  byte_view remaining(data + 1, size - 1);
  frame_reader reader(kMaxFrameBytes);
  byte_buffer payload;
  while (!remaining.empty()) {
    const auto chunk = remaining.first(std::min(chunk_size, remaining.size()));
    remaining = remaining.subspan(chunk.size());
    reader.Append(chunk);
    while (true) {
      const auto has_frame = Attempt([&] { return reader.NextFrame(payload); });
      if (!has_frame) return 0;  // A malformed frame closes the connection.
      if (!*has_frame) break;
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

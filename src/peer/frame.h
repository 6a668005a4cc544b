#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "kernel/error.h"

namespace apricotwheel {

using byte_buffer = std::vector<std::uint8_t>;
using byte_view = std::span<const std::uint8_t>;

// A frame is a 4-byte little-endian payload length, followed by the payload.
inline constexpr std::size_t kFrameHeaderBytes = 4;

// Returns the header and the payload as one buffer.
byte_buffer EncodeFrame(byte_view payload);

// Splits a byte stream into frames.
class frame_reader {
 public:
  explicit frame_reader(std::size_t max_frame_bytes)
      : max_frame_bytes_(max_frame_bytes) {}

  void Append(byte_view bytes);

  // Moves the payload of the next complete frame to `payload`; returns false if
  // more bytes are needed. Fails with `corrupt` as soon as a header announces
  // an empty or an oversized frame.
  result<bool> NextFrame(byte_buffer& payload);

  // Returns the number of bytes of an incomplete frame. If it is above 0 at the
  // end of the stream, the last frame is truncated.
  std::size_t PendingBytes() const { return buffer_.size() - consumed_; }

  void SetMaxFrameBytes(std::size_t bytes) { max_frame_bytes_ = bytes; }

 private:
  std::size_t max_frame_bytes_;
  byte_buffer buffer_;
  std::size_t consumed_ = 0;
};

}  // namespace apricotwheel

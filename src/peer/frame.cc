#include "peer/frame.h"

#include <string>

namespace apricotwheel {

namespace {

// An empty buffer above this size is released, so that a large frame does not
// leave an idle connection with a large buffer.
constexpr std::size_t kKeptBufferBytes = 256 * 1024;

}  // namespace

byte_buffer EncodeFrame(byte_view payload) {
  byte_buffer frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    frame.push_back(static_cast<std::uint8_t>(payload.size() >> (8 * i)));
  }
  frame.insert(frame.end(), payload.begin(), payload.end());
  return frame;
}

void frame_reader::Append(byte_view bytes) {
  if (consumed_ == buffer_.size()) {
    buffer_.clear();
    consumed_ = 0;
    if (buffer_.capacity() > kKeptBufferBytes) buffer_.shrink_to_fit();
  }
  buffer_.insert(buffer_.end(), bytes.begin(), bytes.end());
}

result<bool> frame_reader::NextFrame(byte_buffer& payload) {
  if (PendingBytes() < kFrameHeaderBytes) return false;
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    length |= static_cast<std::size_t>(buffer_[consumed_ + i]) << (8 * i);
  }
  if (length == 0 || length > max_frame_bytes_) {
    return Fail(error_kind::kCorrupt,
                "a frame announces " + std::to_string(length) +
                    " bytes; the limit is " + std::to_string(max_frame_bytes_),
                "check that all daemons have the same max_frame_bytes");
  }
  if (PendingBytes() < kFrameHeaderBytes + length) return false;
  const auto first = buffer_.begin() +
                     static_cast<std::ptrdiff_t>(consumed_ + kFrameHeaderBytes);
  payload.assign(first, first + static_cast<std::ptrdiff_t>(length));
  consumed_ += kFrameHeaderBytes + length;
  // Moves the remaining bytes to the front once the consumed prefix is larger.
  if (consumed_ > buffer_.size() / 2) {
    buffer_.erase(buffer_.begin(),
                  buffer_.begin() + static_cast<std::ptrdiff_t>(consumed_));
    consumed_ = 0;
  }
  return true;
}

}  // namespace apricotwheel

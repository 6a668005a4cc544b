#include "peer/peer_connection.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace apricotwheel {

namespace {

constexpr std::size_t kReceiveBytes = 16 * 1024;

}  // namespace

peer_connection::peer_connection(int socket, std::size_t max_frame_bytes,
                                 clock_ptr clock,
                                 std::shared_ptr<peer_traffic> traffic)
    : socket_(socket),
      clock_(std::move(clock)),
      traffic_(std::move(traffic)),
      reader_(max_frame_bytes),
      receive_buffer_(kReceiveBytes),
      last_received_at_(clock_->Now()) {}

peer_connection::~peer_connection() { ::close(socket_); }

bool peer_connection::HasUnreadBytes() const {
  pollfd entry{socket_, POLLIN, 0};
  return ::poll(&entry, 1, 0) > 0;
}

void peer_connection::Close() {
  {
    std::lock_guard guard(mutex_);
    if (closed_) return;
    closed_ = true;
  }
  // The destructor closes the descriptor. If it were closed here, another
  // thread could still use its number after the system has given it to another
  // file.
  ::shutdown(socket_, SHUT_RDWR);
  write_finished_.notify_all();
}

write_outcome peer_connection::WriteFrame(byte_view payload,
                                          time_point deadline) {
  const auto frame = EncodeFrame(payload);
  {
    std::unique_lock lock(mutex_);
    const bool may_write =
        clock_->WaitUntil(lock, write_finished_, deadline,
                          [&] { return closed_ || !is_writing_; });
    if (!may_write || closed_) return write_outcome::kNotSent;
    is_writing_ = true;
  }
  const auto outcome = WriteBytes(frame, deadline);
  {
    std::lock_guard guard(mutex_);
    is_writing_ = false;
  }
  write_finished_.notify_one();
  if (outcome == write_outcome::kBroken) Close();
  if (outcome == write_outcome::kSent) ++traffic_->messages_sent;
  return outcome;
}

write_outcome peer_connection::WriteBytes(byte_view bytes,
                                          time_point deadline) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto count =
        ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      traffic_->bytes_sent += static_cast<std::uint64_t>(count);
      continue;
    }
    if (count < 0 && errno == EINTR) continue;
    const bool would_block =
        count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (would_block && WaitSocket(socket_, POLLOUT, *clock_, deadline)) {
      continue;
    }
    if (!would_block) Close();
    return sent == 0 ? write_outcome::kNotSent : write_outcome::kBroken;
  }
  return write_outcome::kSent;
}

result<bool> peer_connection::ReadFrame(byte_buffer& payload,
                                        time_point deadline) {
  while (true) {
    BOOST_LEAF_AUTO(complete, reader_.NextFrame(payload));
    if (complete) return true;
    const auto count =
        ::recv(socket_, receive_buffer_.data(), receive_buffer_.size(), 0);
    if (count > 0) {
      last_received_at_ = clock_->Now();
      traffic_->bytes_received += static_cast<std::uint64_t>(count);
      reader_.Append(
          byte_view(receive_buffer_).first(static_cast<std::size_t>(count)));
      continue;
    }
    if (count == 0) {
      if (reader_.PendingBytes() == 0 || closed_) return false;
      return Fail(error_kind::kCorrupt, "the last frame is truncated",
                  "check the peer's log for the reason of the close");
    }
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
      return Fail(error_kind::kIo,
                  std::string("cannot read: ") + std::strerror(errno),
                  "check the network between the daemons");
    }
    if (!WaitSocket(socket_, POLLIN, *clock_, deadline)) {
      return Fail(error_kind::kTimeout, "no frame before the deadline",
                  "check whether the peer is overloaded");
    }
  }
}

}  // namespace apricotwheel

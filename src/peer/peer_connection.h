#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "kernel/clock.h"
#include "kernel/error.h"
#include "peer/frame.h"

namespace apricotwheel {

// Byte and message counters over all connections of a node.
struct peer_traffic {
  std::atomic<std::uint64_t> bytes_sent = 0;
  std::atomic<std::uint64_t> bytes_received = 0;
  std::atomic<std::uint64_t> messages_sent = 0;
};

enum class write_outcome {
  kSent,     // All bytes were handed to the socket.
  kNotSent,  // No byte was sent; usable unless the socket failed.
  kBroken,   // Only a part was sent; the connection is closed.
};

// One TCP connection that carries frames. One thread reads; any thread may
// write.
class peer_connection {
 public:
  // Takes ownership of `socket`, which is connected.
  peer_connection(int socket, std::size_t max_frame_bytes, clock_ptr clock,
                  std::shared_ptr<peer_traffic> traffic);
  ~peer_connection();
  peer_connection(const peer_connection&) = delete;
  peer_connection& operator=(const peer_connection&) = delete;

  write_outcome WriteFrame(byte_view payload, time_point deadline);

  // Waits for the next frame. Returns false if the peer closed the connection
  // between two frames or if `Close` was called. Fails with `corrupt` on a
  // truncated or oversized frame, `timeout` at the deadline and `io` on a
  // socket error.
  result<bool> ReadFrame(byte_buffer& payload, time_point deadline);

  void SetMaxFrameBytes(std::size_t bytes) { reader_.SetMaxFrameBytes(bytes); }

  // Returns when the reader last received bytes, or when the connection was
  // opened.
  time_point LastReceivedAt() const { return last_received_at_; }
  // Returns true if bytes have arrived that the reader has not received yet.
  bool HasUnreadBytes() const;

  // Shuts down both directions and wakes the reader and waiting writers.
  void Close();
  bool IsClosed() const { return closed_; }

 private:
  write_outcome WriteBytes(byte_view bytes, time_point deadline);

  const int socket_;
  clock_ptr clock_;
  std::shared_ptr<peer_traffic> traffic_;
  frame_reader reader_;
  byte_buffer receive_buffer_;
  std::mutex mutex_;
  std::condition_variable write_finished_;
  bool is_writing_ = false;
  std::atomic<bool> closed_ = false;
  std::atomic<time_point> last_received_at_;
};

// What an attempt to connect shows about the process at an address.
enum class listener_state {
  kListening,
  kNotListening,  // The host refused: it runs, but no process listens there.
  kUnknown,       // No response; the process may or may not run.
};
listener_state ProbeListener(std::string_view address, runtime_clock& clock,
                             time_point deadline);

// Opens a TCP connection to `ip:port` and returns its socket.
result<int> ConnectSocket(std::string_view address, runtime_clock& clock,
                          time_point deadline);
// Opens a listening socket on `ip:port`.
result<int> ListenSocket(std::string_view address);
// Returns the local address of a socket as `ip:port`.
std::string LocalAddress(int socket);
// Waits for poll `events`; returns false at the deadline.
bool WaitSocket(int socket, short events, runtime_clock& clock,
                time_point deadline);
// Sets TCP_NODELAY, non-blocking mode and the timeouts that detect a dead host.
void ConfigureSocket(int socket);

}  // namespace apricotwheel

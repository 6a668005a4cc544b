#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "kernel/random.h"
#include "peer/node_context.h"

namespace apricotwheel {

struct authenticated_connection {
  std::shared_ptr<peer_connection> connection;
  std::string member_id;  // Member id of the listening side.
};

// Connects to `ip:port` and authenticates both sides. Counts and logs a peer
// that does not hold the key.
result<authenticated_connection> OpenAuthenticatedConnection(
    const node_context& context, std::string_view address, time_point deadline);

// The outgoing connection to one peer. It is opened on demand, and concurrent
// calls share it by correlation id.
//
// A connection can stop to deliver without being reset, and TCP does not detect
// it if a proxy acknowledges the data. So a call that waits without receiving
// anything requests an echo, which a peer returns at once, however long its
// handlers take. A connection without an echo is replaced.
class peer_link : public std::enable_shared_from_this<peer_link> {
 public:
  peer_link(std::shared_ptr<node_context> context, std::string member_id,
            std::string address);

  const std::string& Address() const { return address_; }

  result<wire_message> Call(const wire_message& request, duration timeout);
  void Post(const wire_message& message);

  // Ends the reconnect backoff, because an incoming connection has shown that
  // the peer is alive. Has no effect if the peer rejected the last attempt.
  void ResetBackoff();

  // Fails the pending calls and rejects later ones.
  void Close();

 private:
  struct pending_call;
  using connection_ptr = std::shared_ptr<peer_connection>;

  result<connection_ptr> GetOrOpenConnection(time_point deadline);
  result<connection_ptr> OpenToMember(time_point deadline);
  void ReadResponses(const connection_ptr& connection);
  void DeliverResponse(wire_message response);
  // Waits until the call is done or the deadline has passed. Called with mutex_
  // locked by `lock`.
  void WaitForResponse(std::unique_lock<std::mutex>& lock, pending_call& call,
                       time_point deadline);
  // Returns true if the peer has not returned the echo in time. Called with
  // mutex_ held.
  bool IsSilent(time_point now) const;
  // Closes the connection, which is silent. Called with mutex_ held.
  void DropSilentConnection(time_point now);
  void DropConnection(const connection_ptr& connection);
  void WriteOneWay(const connection_ptr& connection,
                   const byte_buffer& payload);

  const std::shared_ptr<node_context> context_;
  const std::string member_id_;
  const std::string address_;

  std::mutex mutex_;
  std::condition_variable state_changed_;
  connection_ptr connection_;
  // When an echo was requested on `connection_`.
  time_point echo_requested_at_{};
  bool connecting_ = false;
  bool closed_ = false;
  int failed_attempts_ = 0;
  time_point retry_at_{};
  bool was_rejected_ = false;  // The peer closed the last connection.
  random_source random_;
  std::uint64_t last_correlation_id_ = 0;
  std::map<std::uint64_t, std::shared_ptr<pending_call>> pending_;
};

}  // namespace apricotwheel

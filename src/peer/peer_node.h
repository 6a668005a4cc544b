#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "kernel/clock.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "peer/generated/peer_messages_generated.h"

namespace apricotwheel {

using wire_message = wire::envelopeT;

// Handles one request of the daemon with the member id `sender` and returns the
// response, whose correlation id the node fills in. Runs on a handler thread
// and may block.
using peer_handler = std::function<wire_message(const std::string& sender,
                                                const wire_message& request)>;

// Like `peer_handler`, with the time at which the request was read from its
// connection. It may have waited for a handler thread since.
using timed_peer_handler = std::function<wire_message(
    const std::string& sender, const wire_message& request,
    time_point received_at)>;

struct peer_node_options {
  std::string member_id;
  std::string listen_address;  // ip:port; port 0 takes a free one.
  std::string key;             // Shared key, 32 bytes or more.
  std::size_t max_frame_bytes = 8 << 20;
  std::size_t max_handler_threads = 256;
  duration connect_timeout = milliseconds(500);
  clock_ptr clock;
  log_sink log;
  metrics_ptr metrics;
};

struct peer_response {
  // Of the responding daemon, as authenticated by the handshake.
  std::string member_id;
  wire_message message;
};

// Connections to all other daemons: one outgoing connection for each peer that
// this daemon calls, and one reader thread for each connection. Thread-safe.
class peer_node {
 public:
  static result<std::unique_ptr<peer_node>> Start(peer_node_options options);
  ~peer_node();

  // Sets the handler of a message type, at any time. A request without a
  // handler receives a `failure`.
  void SetHandler(wire::body type, peer_handler handler);
  void SetTimedHandler(wire::body type, timed_peer_handler handler);

  // Sets the address of a peer; an empty address removes the peer and closes
  // its connection. Calls to unknown peers fail with `not_found`.
  void SetAddress(std::string_view member_id, std::string_view address);

  // Sends a request and waits for the response. Fails with `unavailable` if the
  // request cannot have reached the peer's handler, with `timeout` if it may
  // have (no response in time, or the connection broke after the send), and
  // with the peer's own error if it responded with a `failure`.
  result<wire_message> Call(std::string_view member_id,
                            const wire_message& request, duration timeout);

  // Sends one request to `ip:port` over a new connection, which is then closed.
  // It serves to reach a daemon whose member id is not known. Fails like
  // `Call`.
  result<peer_response> CallAddress(std::string_view address,
                                    const wire_message& request,
                                    duration timeout);

  // Sends a one-way message; drops it if the peer cannot be reached.
  void Post(std::string_view member_id, const wire_message& message);

  // Returns the listening address with the actual port.
  std::string ListenAddress() const;

  std::uint64_t BytesSent() const;
  std::uint64_t BytesReceived() const;
  std::uint64_t MessagesSent() const;

  void Stop();

 private:
  struct state;
  explicit peer_node(std::shared_ptr<state> initial);
  std::shared_ptr<state> state_;
};

// Builds an envelope around one body, for example
// `MakeMessage(wire::ticket_requestT{})`.
template <class Body>
wire_message MakeMessage(Body body) {
  wire_message message;
  message.body.Set(std::move(body));
  return message;
}

// Builds the response that carries an error, and converts it back.
wire_message MakeFailure(const error& failure);
error ToError(const wire::failureT& failure);

}  // namespace apricotwheel

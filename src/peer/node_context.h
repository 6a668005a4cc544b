#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <mutex>

#include "kernel/metrics.h"
#include "peer/handler_pool.h"
#include "peer/peer_connection.h"
#include "peer/peer_node.h"

namespace apricotwheel {

// State that the connections of one node share. The node and its links own it
// jointly. `peer_node::Stop` joins the threads of the node before the node
// releases it.
struct node_context {
  explicit node_context(peer_node_options initial);

  peer_node_options options;
  // Byte and message counters, shared with each connection.
  std::shared_ptr<peer_traffic> traffic = std::make_shared<peer_traffic>();
  // Guards `handlers`, which may be set while peers are connected.
  std::mutex handler_mutex;
  // Indexed by message type (`wire::body`); null for a type without a handler.
  std::array<std::shared_ptr<const timed_peer_handler>,
             static_cast<std::size_t>(wire::body::MAX) + 1>
      handlers;
  // Includes connections over the limit, which the metric's help text omits.
  prometheus::Counter* rejected_connections;
  prometheus::Counter* invalid_frames;
  // Exported as `apricotwheel_peer_unmatched_replies_total`. Counts messages on
  // an outgoing connection that no call waits for, and all responses on an
  // incoming one.
  prometheus::Counter* unmatched_responses;
  prometheus::Counter* overloaded_requests;
  // Failed attempts of a link to connect, to authenticate or to reach the
  // expected member.
  prometheus::Counter* failed_connects;
  std::atomic<bool> stopping = false;
  thread_group threads;  // Acceptor and readers.
  handler_pool pool;
};

// Counts and logs a connection that is closed because of an invalid frame.
void ReportInvalidFrame(const node_context& context, const error& failure);
// Counts and logs a connection that is rejected, for a failed handshake or
// because there are too many.
void ReportRejectedConnection(const node_context& context,
                              const error& failure);

}  // namespace apricotwheel

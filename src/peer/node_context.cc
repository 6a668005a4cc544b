#include "peer/node_context.h"

#include <prometheus/counter.h>

#include "peer/peer_events.h"

namespace apricotwheel {

namespace {

peer_node_options WithDefaults(peer_node_options options) {
  if (!options.clock) options.clock = runtime_clock::Running();
  if (!options.metrics) {
    options.metrics = std::make_shared<prometheus::Registry>();
  }
  return options;
}

prometheus::Counter* AddCounter(prometheus::Registry& registry,
                                const char* name, const char* help) {
  return &prometheus::BuildCounter()
              .Name(name)
              .Help(help)
              .Register(registry)
              .Add({});
}

}  // namespace

node_context::node_context(peer_node_options initial)
    : options(WithDefaults(std::move(initial))),
      rejected_connections(AddCounter(
          *options.metrics, "apricotwheel_peer_rejected_connections_total",
          "Connections closed because the handshake failed.")),
      invalid_frames(AddCounter(
          *options.metrics, "apricotwheel_peer_invalid_frames_total",
          "Connections closed by a truncated, oversized or invalid frame.")),
      unmatched_responses(AddCounter(
          *options.metrics, "apricotwheel_peer_unmatched_replies_total",
          "Replies dropped because no call waits for them.")),
      overloaded_requests(AddCounter(
          *options.metrics, "apricotwheel_peer_overloaded_requests_total",
          "Requests refused because all handler threads were busy.")),
      failed_connects(AddCounter(*options.metrics,
                                 "apricotwheel_peer_failed_connects_total",
                                 "Attempts to reach a peer that failed.")),
      pool(options.max_handler_threads, options.clock) {}

void ReportInvalidFrame(const node_context& context, const error& failure) {
  context.invalid_frames->Increment();
  Emit(context.options.log, peer_events::kFrameInvalid,
       {Field("reason", Describe(failure))});
}

void ReportRejectedConnection(const node_context& context,
                              const error& failure) {
  context.rejected_connections->Increment();
  Emit(context.options.log, peer_events::kConnectionRejected,
       {Field("reason", Describe(failure))});
}

}  // namespace apricotwheel

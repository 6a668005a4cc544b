#include "daemon/daemon_options.h"

#include <utility>

#include "kernel/random.h"

namespace apricotwheel {

namespace {

constexpr std::size_t kIncarnationBytes = 6;
constexpr std::size_t kMegabyte = 1'000'000;
constexpr std::size_t kPercent = 100;
// Probes and metrics are read without a body. They have memory of their own, so
// that a crowd of callers cannot take it.
constexpr std::size_t kMaxServiceBodyBytes = 16 << 10;
constexpr std::size_t kServiceMemoryBytes = 2 << 20;

std::size_t ToSize(std::int64_t number) {
  return static_cast<std::size_t>(number);
}

}  // namespace

std::string MakeMemberId(const daemon_settings& settings) {
  return settings.name + "." + RandomHex(kIncarnationBytes);
}

peer_node_options PeerOptions(const daemon_settings& settings) {
  peer_node_options peer;
  peer.listen_address = settings.peer_address;
  peer.max_frame_bytes = static_cast<std::size_t>(settings.max_frame_bytes);
  peer.max_handler_threads =
      static_cast<std::size_t>(settings.max_handler_threads);
  return peer;
}

http_listener_options CallerListenerOptions(const daemon_settings& settings,
                                            std::string address) {
  http_listener_options listener;
  listener.address = std::move(address);
  listener.max_connections =
      static_cast<std::size_t>(settings.max_http_connections);
  request_limits& limits = listener.limits;
  limits.max_head_bytes = ToSize(settings.http_max_head_bytes);
  limits.max_line_bytes = ToSize(settings.http_max_line_bytes);
  limits.max_fields = ToSize(settings.http_max_fields);
  limits.max_empty_lines = ToSize(settings.http_max_empty_lines);
  limits.max_body_bytes = ToSize(settings.max_body_bytes);
  limits.head_time = settings.http_head_timeout;
  limits.body_time = settings.http_body_timeout;
  const std::size_t machine_bytes =
      settings.machine_memory_mb > 0
          ? ToSize(settings.machine_memory_mb) * kMegabyte
          : MachineMemoryBytes();
  listener.max_request_memory_bytes =
      machine_bytes / kPercent * ToSize(settings.http_memory_percent);
  return listener;
}

http_listener_options ServiceListenerOptions(const daemon_settings& settings,
                                             std::string address,
                                             std::size_t max_connections) {
  http_listener_options listener =
      CallerListenerOptions(settings, std::move(address));
  listener.max_connections = max_connections;
  listener.limits.max_body_bytes = kMaxServiceBodyBytes;
  listener.max_request_memory_bytes = kServiceMemoryBytes;
  return listener;
}

}  // namespace apricotwheel

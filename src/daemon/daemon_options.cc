#include "daemon/daemon_options.h"

#include <utility>

#include "kernel/random.h"

namespace apricotwheel {

namespace {

constexpr std::size_t kIncarnationBytes = 6;

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
  listener.max_body_bytes = static_cast<std::size_t>(settings.max_body_bytes);
  return listener;
}

}  // namespace apricotwheel

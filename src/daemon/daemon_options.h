#pragma once

#include <string>

#include "clients/http_listener.h"
#include "config/settings.h"
#include "peer/peer_node.h"

namespace apricotwheel {

// Returns the member id of this process: its configured name and a random
// suffix that distinguishes it from earlier processes of the same name.
std::string MakeMemberId(const daemon_settings& settings);

// Returns the options of the peer protocol that come from the settings. The
// caller sets the member id, the key, the clock, the log and the metrics.
peer_node_options PeerOptions(const daemon_settings& settings);

// Returns the options of the callers' HTTP listener at `address`, with the
// connection, request and memory limits of the settings.
http_listener_options CallerListenerOptions(const daemon_settings& settings,
                                            std::string address);

// Returns the options of a listener for probes or operators, whose requests
// have no body worth mentioning.
http_listener_options ServiceListenerOptions(const daemon_settings& settings,
                                             std::string address,
                                             std::size_t max_connections);

}  // namespace apricotwheel

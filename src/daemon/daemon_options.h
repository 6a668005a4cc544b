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
// connection and body limits of the settings.
http_listener_options CallerListenerOptions(const daemon_settings& settings,
                                            std::string address);

}  // namespace apricotwheel

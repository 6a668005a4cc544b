#pragma once

#include <string>

#include "clients/http_listener.h"
#include "config/settings.h"
#include "peer/peer_node.h"

namespace apricotwheel {

// The id of this process among the members: its name, and a part that no
// earlier process of that name has had.
std::string MakeMemberId(const daemon_settings& settings);

// What the settings say of the peer protocol; the key, the clock, the log and
// the metrics are left to the caller.
peer_node_options PeerOptions(const daemon_settings& settings);

// A listener for callers, with the bounds of the settings.
http_listener_options CallerListenerOptions(const daemon_settings& settings,
                                            std::string address);

}  // namespace apricotwheel

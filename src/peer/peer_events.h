#pragma once

#include "kernel/log.h"

namespace apricotwheel::peer_events {

inline constexpr log_event_kind kConnectionRejected{
    1300, "peer_connection_rejected", severity::kWarning};
inline constexpr log_event_kind kFrameInvalid{1301, "peer_frame_invalid",
                                              severity::kWarning};
inline constexpr log_event_kind kLinkUp{1302, "peer_link_up", severity::kInfo};
inline constexpr log_event_kind kLinkDown{1303, "peer_link_down",
                                          severity::kInfo};
inline constexpr log_event_kind kLinkSilent{1304, "peer_link_silent",
                                            severity::kWarning};

}  // namespace apricotwheel::peer_events

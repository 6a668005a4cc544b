#pragma once

#include "kernel/log.h"

namespace apricotwheel::dispatch_events {

inline constexpr log_event_kind kBreakerOpened{1800, "breaker_opened",
                                               severity::kWarning};
inline constexpr log_event_kind kRequestUnknown{1801, "request_unknown",
                                                severity::kWarning};
inline constexpr log_event_kind kKeysHandedOver{1802, "keys_handed_over",
                                                severity::kInfo};
inline constexpr log_event_kind kKeyHandoverFailed{1803, "key_handover_failed",
                                                   severity::kWarning};
inline constexpr log_event_kind kKeysReceived{1804, "keys_received",
                                              severity::kInfo};
inline constexpr log_event_kind kUsageReadFailed{1805, "usage_read_failed",
                                                 severity::kWarning};
inline constexpr log_event_kind kEpochRefused{1806, "instance_refused_epoch",
                                              severity::kWarning};

}  // namespace apricotwheel::dispatch_events

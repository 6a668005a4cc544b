#pragma once

#include "kernel/log.h"

namespace apricotwheel {

inline constexpr log_event_kind kDaemonStarted{1901, "daemon_started",
                                               severity::kInfo};
inline constexpr log_event_kind kStopRequested{1903, "stop_requested",
                                               severity::kInfo};
inline constexpr log_event_kind kDrainFinished{1904, "drain_finished",
                                               severity::kInfo};
inline constexpr log_event_kind kDrainTimedOut{1905, "drain_timed_out",
                                               severity::kWarning};
inline constexpr log_event_kind kHandOverFailed{1906, "hand_over_failed",
                                                severity::kWarning};
inline constexpr log_event_kind kDaemonStopped{1907, "daemon_stopped",
                                               severity::kInfo};
inline constexpr log_event_kind kStartDelayed{1908, "start_delayed",
                                              severity::kWarning};

inline constexpr log_event_kind kSettingsChecked{1909, "settings_checked",
                                                 severity::kInfo};
inline constexpr log_event_kind kSettingsInvalid{1910, "settings_invalid",
                                                 severity::kError};

inline constexpr log_event_kind kLogLinesDropped{1911, "log_lines_dropped",
                                                 severity::kWarning};

}  // namespace apricotwheel

#pragma once

#include "kernel/log.h"

namespace apricotwheel {

inline constexpr log_event_kind kHttpRequestsRefused{
    1100, "http_requests_refused", severity::kWarning};

}  // namespace apricotwheel

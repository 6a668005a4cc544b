#pragma once

#include <string_view>

#include "kernel/log.h"

namespace apricotwheel {

// Sets up the process's logger: one line an event on standard output, since the
// VMs have no disks. Returns the sink for all packages. Events below `level`
// (debug, info, warning or error) are dropped.
log_sink StartLogging(std::string_view level);

}  // namespace apricotwheel

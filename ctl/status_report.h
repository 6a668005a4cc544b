#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace apricotwheel::ctl {

// Returns the faults in the response of `GET /v1/status`, one line each.
std::vector<std::string> FindWarnings(const nlohmann::json& status);

}  // namespace apricotwheel::ctl

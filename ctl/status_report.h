#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace apricotwheel::ctl {

// The faults that the answer of `GET /v1/status` shows, one line each.
std::vector<std::string> FindWarnings(const nlohmann::json& status);

}  // namespace apricotwheel::ctl

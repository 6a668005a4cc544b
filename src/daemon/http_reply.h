#pragma once

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "dispatch/dispatcher.h"
#include "kernel/error.h"
#include "kernel/metrics.h"

namespace apricotwheel {

// Outcome and reason of an error body, for requests and job calls.
struct error_outcome {
  request_outcome outcome = request_outcome::kNotRun;
  std::string reason;
};

void WriteJsonResponse(httplib::Response& response, int status,
                       const nlohmann::json& body);

// Writes the error body of docs/api.md and, with a note, the outcome headers.
void WriteErrorResponse(httplib::Response& response, int status,
                        const error& failure,
                        const std::optional<error_outcome>& outcome = {});

// All metrics of the registry, in the text format of Prometheus.
void WriteMetricsResponse(httplib::Response& response,
                          const prometheus::Registry& registry);

}  // namespace apricotwheel

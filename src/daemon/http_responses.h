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

// The outcome of a failed service request and the reason for it.
struct error_outcome {
  request_outcome outcome = request_outcome::kNotRun;
  std::string reason;
};

void WriteJsonResponse(httplib::Response& response, int status,
                       const nlohmann::json& body);

// Writes the error body of docs/api.md. With `outcome`, adds the fields and
// headers that tell the caller whether the request has run.
void WriteErrorResponse(httplib::Response& response, int status,
                        const error& failure,
                        const std::optional<error_outcome>& outcome = {});

// Writes all metrics of `registry` in the Prometheus text format.
void WriteMetricsResponse(httplib::Response& response,
                          const prometheus::Registry& registry);

}  // namespace apricotwheel

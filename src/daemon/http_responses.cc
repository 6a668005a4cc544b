#include "daemon/http_responses.h"

#include <prometheus/text_serializer.h>

namespace apricotwheel {

void WriteJsonResponse(httplib::Response& response, int status,
                       const nlohmann::json& body) {
  response.status = status;
  // Texts from callers may hold invalid UTF-8, for which dump() throws by
  // default.
  response.set_content(
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      "application/json");
}

void WriteErrorResponse(httplib::Response& response, int status,
                        const error& failure,
                        const std::optional<error_outcome>& outcome) {
  nlohmann::json body;
  body["error"] = {{"kind", ToString(failure.kind)},
                   {"message", failure.message},
                   {"remedy", failure.remedy}};
  if (outcome) {
    body["outcome"] = ToString(outcome->outcome);
    body["reason"] = outcome->reason;
    response.set_header("Apricotwheel-Outcome",
                        std::string(ToString(outcome->outcome)));
    response.set_header("Apricotwheel-Reason", outcome->reason);
  }
  WriteJsonResponse(response, status, body);
}

void WriteMetricsResponse(httplib::Response& response,
                          const prometheus::Registry& registry) {
  const prometheus::TextSerializer serializer;
  response.set_content(serializer.Serialize(registry.Collect()),
                       "text/plain; version=0.0.4");
}

}  // namespace apricotwheel

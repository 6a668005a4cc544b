#include "daemon/http_reply.h"

#include <prometheus/text_serializer.h>

namespace apricotwheel {

void ReplyJson(httplib::Response& response, int status,
               const nlohmann::json& body) {
  response.status = status;
  // Text from callers may hold invalid UTF-8, which must not fail the reply.
  response.set_content(
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      "application/json");
}

void ReplyError(httplib::Response& response, int status, const error& failure,
                const std::optional<outcome_note>& note) {
  nlohmann::json body;
  body["error"] = {{"kind", ToString(failure.kind)},
                   {"message", failure.message},
                   {"remedy", failure.remedy}};
  if (note) {
    body["outcome"] = ToString(note->outcome);
    body["reason"] = note->reason;
    response.set_header("Apricotwheel-Outcome",
                        std::string(ToString(note->outcome)));
    response.set_header("Apricotwheel-Reason", note->reason);
  }
  ReplyJson(response, status, body);
}

void ReplyMetrics(httplib::Response& response,
                  const prometheus::Registry& registry) {
  const prometheus::TextSerializer serializer;
  response.set_content(serializer.Serialize(registry.Collect()),
                       "text/plain; version=0.0.4");
}

}  // namespace apricotwheel

#pragma once

#include <sys/socket.h>

#include <nlohmann/json.hpp>
#include <string>

#include "clients/http_listener.h"

namespace apricotwheel::standins {

// The response to a JSON call.
struct json_response {
  int status = 200;
  nlohmann::json body = nlohmann::json::object();
};

inline void WriteJsonResponse(httplib::Response& response,
                              const json_response& source) {
  response.status = source.status;
  response.set_content(source.body.dump(), "application/json");
}

// Adds a route `POST path` whose handler takes and returns JSON. An empty body
// is read as `{}`. Responds with 400 to a body that is invalid JSON or lacks a
// field.
template <class Handler>
void RouteJson(httplib::Server& server, const std::string& path,
               Handler handler) {
  server.Post(path, [handler](const httplib::Request& request,
                              httplib::Response& response) {
    try {
      const auto body = request.body.empty()
                            ? nlohmann::json::object()
                            : nlohmann::json::parse(request.body);
      WriteJsonResponse(response, handler(body));
    } catch (const nlohmann::json::exception& error) {
      WriteJsonResponse(response, {400, {{"error", error.what()}}});
    }
  });
}

// Shuts the connection of the current request down without a response. What the
// library writes to it afterwards is discarded.
inline void DropConnection() {
  shutdown(http_listener::CurrentSocket(), SHUT_RDWR);
}

}  // namespace apricotwheel::standins

#pragma once

#include <sys/socket.h>

#include <nlohmann/json.hpp>
#include <string>

#include "clients/http_listener.h"

namespace apricotwheel::standins {

// The answer of one JSON call.
struct json_response {
  int status = 200;
  nlohmann::json body = nlohmann::json::object();
};

inline void WriteJsonResponse(httplib::Response& response,
                              const json_response& source) {
  response.status = source.status;
  response.set_content(source.body.dump(), "application/json");
}

// Adds `POST path` whose handler takes and returns JSON. A body that is no
// valid JSON or lacks a field is answered with 400. An empty body is `{}`.
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

// Ends the connection of the current request without an answer. The bytes that
// the library writes afterwards go nowhere.
inline void DropConnection() {
  shutdown(http_listener::CurrentSocket(), SHUT_RDWR);
}

}  // namespace apricotwheel::standins

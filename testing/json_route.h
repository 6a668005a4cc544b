#pragma once

#include <sys/socket.h>

#include <nlohmann/json.hpp>
#include <string>

#include "clients/http_listener.h"

namespace apricotwheel::standins {

// The answer of one JSON call.
struct json_answer {
  int status = 200;
  nlohmann::json body = nlohmann::json::object();
};

inline void SetJson(httplib::Response& response, const json_answer& answer) {
  response.status = answer.status;
  response.set_content(answer.body.dump(), "application/json");
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
      SetJson(response, handler(body));
    } catch (const nlohmann::json::exception& fault) {
      SetJson(response, {400, {{"error", fault.what()}}});
    }
  });
}

// Ends the connection of the current request without an answer. The bytes that
// the library writes afterwards go nowhere.
inline void DropConnection() {
  shutdown(http_listener::CurrentSocket(), SHUT_RDWR);
}

}  // namespace apricotwheel::standins

#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "ctl/command.h"

namespace apricotwheel::ctl {

struct daemon_response {
  int status = 0;
  nlohmann::json body;
};

struct daemon_request {
  std::string method;  // GET, POST or DELETE.
  std::string path;
  std::string body;
  bool changes_state = false;  // A lost response leaves the effect unknown.
  duration long_poll_wait{};   // Added to the read timeout.
};

// Sends one request to the daemon at `address`. Fails with `unavailable` if the
// request cannot have had an effect and with `timeout` if its effect is
// unknown. Returns responses with an error status like any other.
result<daemon_response> SendRequest(const command_context& context,
                                    const std::string& address,
                                    const daemon_request& request);

// Converts a response with an error status to an error.
error ErrorFromResponse(const daemon_response& response, bool changes_state);

// Sends a request to the daemon of the context; fails on statuses above 299.
result<daemon_response> SendCheckedRequest(const command_context& context,
                                           const daemon_request& request);

// Returns the value of `key` as text, "-" if it is absent or null.
std::string FieldText(const nlohmann::json& object, std::string_view key);

void PrintJson(const command_context& context, const nlohmann::json& value);

}  // namespace apricotwheel::ctl

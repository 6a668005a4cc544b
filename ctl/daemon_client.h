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
  bool changes_state = false;  // A lost reply leaves the effect unknown.
  duration long_poll_wait{};   // Added to the read timeout.
};

// Makes one call to the daemon at `address`. Fails with `unavailable` if the
// call provably had no effect and with `timeout` if its effect is unknown; an
// answer with an error status is no failure here.
result<daemon_response> SendRequest(const command_context& context,
                                    const std::string& address,
                                    const daemon_request& request);

// The error that an answer with an error status stands for.
error ErrorFromResponse(const daemon_response& response, bool changes_state);

// Calls the daemon of the context and fails on every status above 299.
result<daemon_response> SendCheckedRequest(const command_context& context,
                                           const daemon_request& request);

// The value of `key` as text, "-" if it is absent.
std::string FieldText(const nlohmann::json& object, std::string_view key);

void PrintJson(const command_context& context, const nlohmann::json& value);

}  // namespace apricotwheel::ctl

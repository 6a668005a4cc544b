#include "ctl/daemon_client.h"

#include <httplib.h>

#include "config/fields.h"

namespace apricotwheel::ctl {
namespace {

using nlohmann::json;

// Daemons are on the same network, where a connection that takes longer than
// this does not open at all.
constexpr auto kConnectTimeout = milliseconds(2000);

error TransportError(httplib::Error failure, const std::string& address,
                     bool changes_state) {
  const std::string what =
      "daemon " + address + ": " + httplib::to_string(failure);
  if (failure == httplib::Error::Connection ||
      failure == httplib::Error::ConnectionTimeout || !changes_state) {
    return {error_kind::kUnavailable, what,
            "check the address or use another daemon"};
  }
  return {error_kind::kTimeout, what,
          "read the state back before you repeat the call"};
}

}  // namespace

result<daemon_response> SendRequest(const command_context& context,
                                    const std::string& address,
                                    const daemon_request& request) {
  if (!IsAddress(address)) {
    return Fail(error_kind::kInvalidArgument,
                "the daemon's address is missing or invalid",
                "write --daemon ip:port");
  }
  const auto colon = address.rfind(':');
  std::string host = address.substr(0, colon);
  if (host.front() == '[') host = host.substr(1, host.size() - 2);
  httplib::Client client(host, std::stoi(address.substr(colon + 1)));
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(kConnectTimeout);
  client.set_write_timeout(
      std::chrono::duration_cast<milliseconds>(context.timeout));
  client.set_read_timeout(std::chrono::duration_cast<milliseconds>(
      context.timeout + request.long_poll_wait));
  constexpr const char* kType = "application/json";
  httplib::Result http_result =
      request.method == "POST" ? client.Post(request.path, request.body, kType)
      : request.method == "DELETE" ? client.Delete(request.path)
                                   : client.Get(request.path);
  if (!http_result) {
    return Fail(
        TransportError(http_result.error(), address, request.changes_state));
  }
  daemon_response response;
  response.status = http_result->status;
  response.body = json::parse(http_result->body, nullptr, false);
  if (!response.body.is_object()) response.body = json::object();
  return response;
}

error ErrorFromResponse(const daemon_response& response, bool changes_state) {
  const auto found = response.body.find("error");
  const json& error_body =
      found == response.body.end() ? response.body : *found;
  error failure;
  failure.message = "the daemon returned status " +
                    std::to_string(response.status) + ": " +
                    FieldText(error_body, "message");
  failure.remedy = FieldText(error_body, "remedy");
  if (failure.remedy == "-") failure.remedy = "read the daemon's log";
  const std::string outcome = FieldText(response.body, "outcome");
  const auto reasons = response.body.find("reasons");
  if (reasons != response.body.end()) failure.message += " " + reasons->dump();
  if (outcome == "unknown" || (response.status == 504 && changes_state)) {
    failure.kind = error_kind::kTimeout;
  } else if (response.status >= 500) {
    failure.kind = error_kind::kUnavailable;
  } else if (response.status == 404) {
    failure.kind = error_kind::kNotFound;
  } else {
    failure.kind = error_kind::kInvalidArgument;
  }
  return failure;
}

result<daemon_response> SendCheckedRequest(const command_context& context,
                                           const daemon_request& request) {
  auto response = SendRequest(context, context.daemon_address, request);
  if (response && response->status > 299) {
    return Fail(ErrorFromResponse(*response, request.changes_state));
  }
  return response;
}

std::string FieldText(const json& object, std::string_view key) {
  if (!object.is_object()) return "-";
  const auto found = object.find(key);
  if (found == object.end() || found->is_null()) return "-";
  if (found->is_string()) return found->get<std::string>();
  return found->dump();
}

void PrintJson(const command_context& context, const json& value) {
  context.out << value.dump(2, ' ', false, json::error_handler_t::replace)
              << "\n";
}

}  // namespace apricotwheel::ctl

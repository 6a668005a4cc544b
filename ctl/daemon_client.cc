#include "ctl/daemon_client.h"

#include <httplib.h>

#include "config/fields.h"

namespace apricotwheel::ctl {
namespace {

using nlohmann::json;

// A daemon is on the same network; a longer wait for its SYN helps nobody.
constexpr auto kConnectTimeout = milliseconds(2000);

error ErrorOfTransport(httplib::Error failure, const std::string& address,
                       bool has_effect) {
  const std::string what =
      "daemon " + address + ": " + httplib::to_string(failure);
  if (failure == httplib::Error::Connection ||
      failure == httplib::Error::ConnectionTimeout || !has_effect) {
    return {error_kind::kUnavailable, what,
            "check the address or ask another daemon"};
  }
  return {error_kind::kTimeout, what,
          "read the state back before you repeat the call"};
}

}  // namespace

result<daemon_answer> CallDaemon(const command_context& context,
                                 const std::string& address,
                                 const daemon_call& call) {
  if (!IsAddress(address)) {
    return Fail(error_kind::kInvalidArgument,
                "the daemon's address is missing or wrong",
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
      context.timeout + call.extra_wait));
  constexpr const char* kType = "application/json";
  httplib::Result answer = call.method == "POST"
                               ? client.Post(call.path, call.body, kType)
                           : call.method == "DELETE" ? client.Delete(call.path)
                                                     : client.Get(call.path);
  if (!answer) {
    return Fail(ErrorOfTransport(answer.error(), address, call.has_effect));
  }
  daemon_answer read;
  read.status = answer->status;
  read.body = json::parse(answer->body, nullptr, false);
  if (!read.body.is_object()) read.body = json::object();
  return read;
}

error ErrorOf(const daemon_answer& answer, bool has_effect) {
  const auto found = answer.body.find("error");
  const json& fault = found == answer.body.end() ? answer.body : *found;
  error failure;
  failure.message = "the daemon answered " + std::to_string(answer.status) +
                    ": " + TextOf(fault, "message");
  failure.remedy = TextOf(fault, "remedy");
  if (failure.remedy == "-") failure.remedy = "read the daemon's log";
  const std::string outcome = TextOf(answer.body, "outcome");
  const auto reasons = answer.body.find("reasons");
  if (reasons != answer.body.end()) failure.message += " " + reasons->dump();
  if (outcome == "unknown" || (answer.status == 504 && has_effect)) {
    failure.kind = error_kind::kTimeout;
  } else if (answer.status >= 500) {
    failure.kind = error_kind::kUnavailable;
  } else if (answer.status == 404) {
    failure.kind = error_kind::kNotFound;
  } else {
    failure.kind = error_kind::kInvalidArgument;
  }
  return failure;
}

result<daemon_answer> CallForSuccess(const command_context& context,
                                     const daemon_call& call) {
  auto answer = CallDaemon(context, context.daemon, call);
  if (answer && answer->status > 299) {
    return Fail(ErrorOf(*answer, call.has_effect));
  }
  return answer;
}

std::string TextOf(const json& object, std::string_view key) {
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

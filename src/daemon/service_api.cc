#include "daemon/service_api.h"

#include <array>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>

#include "clients/http_listener.h"
#include "daemon/http_responses.h"

namespace apricotwheel {

namespace {

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::size_t kMaxIdempotencyKeyBytes = 200;
constexpr std::size_t kMaxTicketBytes = 200;
constexpr std::int64_t kMaxDeadlineMs = 600'000;

constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
constexpr std::string_view kTicketHeader = "Apricotwheel-Ticket";
constexpr std::string_view kDeadlineHeader = "Apricotwheel-Deadline-Ms";
constexpr std::string_view kClassHeader = "Apricotwheel-Class";
constexpr std::string_view kRepeatableHeader = "Apricotwheel-Repeatable";

// Headers that the HTTP library adds or that apply to one connection only. They
// are not passed on between callers and instances.
constexpr std::array<std::string_view, 12> kUnforwardedHeaders = {
    "REMOTE_ADDR",    "REMOTE_PORT", "LOCAL_ADDR", "LOCAL_PORT",
    "Connection",     "Keep-Alive",  "Host",       "Transfer-Encoding",
    "Content-Length", "Upgrade",     "Expect",     "TE"};

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char a, char b) {
                      return std::tolower(static_cast<unsigned char>(a)) ==
                             std::tolower(static_cast<unsigned char>(b));
                    });
}

bool IsForwarded(std::string_view name) {
  return std::none_of(
      kUnforwardedHeaders.begin(), kUnforwardedHeaders.end(),
      [&](std::string_view other) { return EqualsIgnoringCase(name, other); });
}

std::string HeaderValue(const httplib::Request& http, std::string_view name) {
  return http.get_header_value(std::string(name));
}

boost::leaf::error_id InvalidHeader(std::string_view name,
                                    std::string_view value,
                                    std::string_view remedy) {
  return Fail(error_kind::kInvalidArgument,
              "header " + std::string(name) + " has the value '" +
                  std::string(value) + "'",
              std::string(remedy));
}

result<std::optional<duration>> ParseDeadline(const httplib::Request& http) {
  const std::string text = HeaderValue(http, kDeadlineHeader);
  if (text.empty()) return std::optional<duration>();
  std::int64_t deadline_ms = 0;
  const auto [end, status] =
      std::from_chars(text.data(), text.data() + text.size(), deadline_ms);
  if (status != std::errc() || end != text.data() + text.size() ||
      deadline_ms < 1 || deadline_ms > kMaxDeadlineMs) {
    return InvalidHeader(kDeadlineHeader, text,
                         "send a number from 1 to 600000");
  }
  return std::optional<duration>(milliseconds(deadline_ms));
}

result<std::optional<priority_class>> ParsePriorityClass(
    const httplib::Request& http) {
  const std::string text = HeaderValue(http, kClassHeader);
  if (text.empty()) return std::optional<priority_class>();
  for (const auto known : {priority_class::kUrgent, priority_class::kService,
                           priority_class::kBatch}) {
    if (text == ToString(known)) return std::optional<priority_class>(known);
  }
  return InvalidHeader(kClassHeader, text, "send urgent, service or batch");
}

result<std::optional<bool>> ParseRepeatable(const httplib::Request& http) {
  const std::string text = HeaderValue(http, kRepeatableHeader);
  if (text.empty()) return std::optional<bool>();
  if (text == "yes") return std::optional<bool>(true);
  if (text == "no") return std::optional<bool>(false);
  return InvalidHeader(kRepeatableHeader, text, "send yes or no");
}

result<std::string> ParseBoundedHeader(const httplib::Request& http,
                                       std::string_view name,
                                       std::size_t limit) {
  std::string text = HeaderValue(http, name);
  if (text.size() > limit) {
    return InvalidHeader(name, text.substr(0, limit),
                         "send at most " + std::to_string(limit) + " bytes");
  }
  return text;
}

void ParseTarget(std::string_view target, service_request& request) {
  target.remove_prefix(std::min(kServicePrefix.size(), target.size()));
  const auto end = target.find_first_of("/?");
  request.service = std::string(target.substr(0, end));
  std::string_view rest =
      end == std::string_view::npos ? "" : target.substr(end);
  request.path = rest.empty() || rest.front() != '/' ? "/" : "";
  request.path += rest;
}

int RetryAfterSeconds(duration delay) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(delay).count();
  return static_cast<int>(std::max<std::int64_t>(1, seconds));
}

void HandleServiceRequest(dispatcher& request_dispatcher,
                          const httplib::Request& http,
                          httplib::Response& response) {
  const auto request = Attempt([&] { return ParseServiceRequest(http); });
  if (!request) {
    WriteErrorResponse(
        response, 400, request.failure,
        error_outcome{request_outcome::kNotRun, "malformed_header"});
    return;
  }
  WriteServiceResponse(request_dispatcher.HandleRequest(*request), response);
}

void HandleTicketRequest(dispatcher& request_dispatcher,
                         httplib::Response& response) {
  const auto ticket = Attempt([&] { return request_dispatcher.IssueTicket(); });
  if (!ticket) {
    WriteErrorResponse(response, 503, ticket.failure);
    return;
  }
  WriteJsonResponse(response, 200, {{"ticket", *ticket}});
}

}  // namespace

result<service_request> ParseServiceRequest(const httplib::Request& http) {
  service_request request;
  ParseTarget(http.target, request);
  request.method = http.method;
  request.body = http.body;
  BOOST_LEAF_ASSIGN(request.deadline, ParseDeadline(http));
  BOOST_LEAF_ASSIGN(request.priority, ParsePriorityClass(http));
  BOOST_LEAF_ASSIGN(request.repeatable, ParseRepeatable(http));
  BOOST_LEAF_ASSIGN(
      request.idempotency_key,
      ParseBoundedHeader(http, kIdempotencyKeyHeader, kMaxIdempotencyKeyBytes));
  BOOST_LEAF_ASSIGN(request.ticket,
                    ParseBoundedHeader(http, kTicketHeader, kMaxTicketBytes));
  for (const auto& [name, value] : http.headers) {
    if (!IsForwarded(name)) continue;
    // The instance may compress its response, which is passed on as it is.
    const bool is_hidden = EqualsIgnoringCase(name, kHiddenAcceptEncoding);
    request.headers.emplace_back(is_hidden ? "Accept-Encoding" : name, value);
  }
  return request;
}

void WriteServiceResponse(const service_response& response,
                          httplib::Response& http) {
  if (response.outcome != request_outcome::kCompleted) {
    if (response.retry_after) {
      http.set_header("Retry-After",
                      std::to_string(RetryAfterSeconds(*response.retry_after)));
    }
    const bool may_have_run = response.outcome == request_outcome::kUnknown;
    WriteErrorResponse(
        http, response.status,
        {may_have_run ? error_kind::kTimeout : error_kind::kUnavailable,
         "the request got the outcome " +
             std::string(ToString(response.outcome)) + " (" + response.reason +
             ")",
         may_have_run ? "check its effect before you send it again"
                      : "it did not run; send it again later"},
        error_outcome{response.outcome, response.reason});
  } else {
    http.status = response.status;
    std::string content_type = "application/octet-stream";
    for (const auto& [name, value] : response.headers) {
      if (EqualsIgnoringCase(name, "Content-Type")) {
        content_type = value;
      } else if (IsForwarded(name)) {
        http.set_header(name, value);
      }
    }
    http.set_header("Apricotwheel-Outcome", "completed");
    http.set_content(response.body, content_type);
  }
  if (!response.worker.empty()) {
    http.set_header("Apricotwheel-Worker", response.worker);
  }
}

void AddServiceRoutes(httplib::Server& server, dispatcher& request_dispatcher) {
  const std::string pattern = R"(/v1/services/.+)";
  const auto handler = [&request_dispatcher](const httplib::Request& http,
                                             httplib::Response& response) {
    HandleServiceRequest(request_dispatcher, http, response);
  };
  server.Get(pattern, handler);
  server.Post(pattern, handler);
  server.Put(pattern, handler);
  server.Patch(pattern, handler);
  server.Delete(pattern, handler);
  server.Options(pattern, handler);
  server.Post("/v1/tickets",
              [&request_dispatcher](const httplib::Request&,
                                    httplib::Response& response) {
                HandleTicketRequest(request_dispatcher, response);
              });
}

}  // namespace apricotwheel

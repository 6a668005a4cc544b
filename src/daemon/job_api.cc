#include "daemon/job_api.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace apricotwheel {

namespace {

constexpr std::int64_t kMaxWaitMs = 60'000;

void Write(const job_api_response& reply, httplib::Response& response) {
  response.status = reply.status;
  if (reply.status == 503) {
    response.set_header("Apricotwheel-Outcome", "not_run");
    response.set_header("Retry-After", "1");
  }
  if (reply.status == 504) {
    response.set_header("Apricotwheel-Outcome", "unknown");
  }
  response.set_content(reply.body, "application/json");
}

// A missing or malformed wait means none.
duration ParseWait(const httplib::Request& request) {
  const std::string text = request.get_param_value("wait_ms");
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return milliseconds(std::clamp<std::int64_t>(number, 0, kMaxWaitMs));
}

}  // namespace

void AddJobRoutes(httplib::Server& server, job_manager& jobs) {
  using http_request = httplib::Request;
  using http_response = httplib::Response;
  server.Post("/v1/jobs",
              [&jobs](const http_request& request, http_response& response) {
                Write(jobs.Submit(request.body), response);
              });
  server.Get("/v1/jobs", [&jobs](const http_request&, http_response& response) {
    Write(jobs.List(), response);
  });
  server.Get(R"(/v1/jobs/([^/]+))", [&jobs](const http_request& request,
                                            http_response& response) {
    Write(jobs.Get(request.matches[1].str(), ParseWait(request)), response);
  });
  server.Get(R"(/v1/jobs/([^/]+)/why)",
             [&jobs](const http_request& request, http_response& response) {
               Write(jobs.ExplainJob(request.matches[1].str()), response);
             });
  server.Delete(R"(/v1/jobs/([^/]+))",
                [&jobs](const http_request& request, http_response& response) {
                  Write(jobs.Cancel(request.matches[1].str()), response);
                });
}

}  // namespace apricotwheel

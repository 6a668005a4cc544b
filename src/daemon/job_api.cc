#include "daemon/job_api.h"

#include <algorithm>
#include <charconv>
#include <string>

#include "clients/http_listener.h"
#include "daemon/http_responses.h"
#include "kernel/json_reading.h"

namespace apricotwheel {

namespace {

constexpr std::int64_t kMaxWaitMs = 60'000;

void WriteJobResponse(const job_api_response& job_response,
                      httplib::Response& response) {
  response.status = job_response.status;
  if (job_response.status == 503) {
    response.set_header("Apricotwheel-Outcome", "not_run");
    response.set_header("Retry-After", "1");
  }
  if (job_response.status == 504) {
    response.set_header("Apricotwheel-Outcome", "unknown");
  }
  response.set_content(job_response.body, "application/json");
}

// The tree of the body would take more memory than requests may hold.
void WriteNoMemory(memory_grant granted, httplib::Response& response) {
  const bool is_temporary = granted == memory_grant::kNoneNow;
  response.set_header("Apricotwheel-Outcome", "not_run");
  if (is_temporary) response.set_header("Retry-After", "1");
  WriteErrorResponse(
      response, is_temporary ? 503 : 413,
      {is_temporary ? error_kind::kOverloaded : error_kind::kInvalidArgument,
       "there is no memory for the values of the body",
       is_temporary ? "try again later" : "split the job into several jobs"});
}

// Returns the long poll time of `wait_ms`, at most kMaxWaitMs; 0 if the
// parameter is missing or does not start with a number.
duration ParseLongPollTime(const httplib::Request& request) {
  const std::string text = request.get_param_value("wait_ms");
  std::int64_t wait_ms = 0;
  std::from_chars(text.data(), text.data() + text.size(), wait_ms);
  return milliseconds(std::clamp<std::int64_t>(wait_ms, 0, kMaxWaitMs));
}

}  // namespace

void AddJobRoutes(httplib::Server& server, job_manager& jobs) {
  using httplib_request = httplib::Request;
  using httplib_response = httplib::Response;
  server.Post("/v1/jobs", [&jobs](const httplib_request& request,
                                  httplib_response& response) {
    const auto granted =
        http_listener::ReserveMemory(2 * EstimateJsonMemory(request.body));
    if (granted != memory_grant::kGranted) {
      return WriteNoMemory(granted, response);
    }
    WriteJobResponse(jobs.Submit(request.body), response);
  });
  server.Get("/v1/jobs",
             [&jobs](const httplib_request&, httplib_response& response) {
               WriteJobResponse(jobs.List(), response);
             });
  server.Get(R"(/v1/jobs/([^/]+))", [&jobs](const httplib_request& request,
                                            httplib_response& response) {
    WriteJobResponse(
        jobs.Get(request.matches[1].str(), ParseLongPollTime(request)),
        response);
  });
  server.Get(R"(/v1/jobs/([^/]+)/why)", [&jobs](const httplib_request& request,
                                                httplib_response& response) {
    WriteJobResponse(jobs.ExplainJob(request.matches[1].str()), response);
  });
  server.Delete(R"(/v1/jobs/([^/]+))", [&jobs](const httplib_request& request,
                                               httplib_response& response) {
    WriteJobResponse(jobs.Cancel(request.matches[1].str()), response);
  });
}

}  // namespace apricotwheel

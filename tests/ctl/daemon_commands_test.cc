#include <httplib.h>

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <thread>

#include "ctl/command.h"
#include "ctl/status_report.h"

namespace apricotwheel::ctl {
namespace {

// HTTP server that returns one status and body to every request and records the
// requests.
struct daemon_standin {
  httplib::Server server;
  std::thread thread;
  std::string address;
  int status = 200;
  std::string body = "{}";
  std::vector<std::string> requests;

  daemon_standin() {
    const auto handler = [this](const httplib::Request& request,
                                httplib::Response& response) {
      requests.push_back(request.method + " " + request.path + " " +
                         request.body);
      response.status = status;
      response.set_content(body, "application/json");
    };
    server.Get(".*", handler).Post(".*", handler).Delete(".*", handler);
    address =
        "127.0.0.1:" + std::to_string(server.bind_to_any_port("127.0.0.1"));
    thread = std::thread([this] { server.listen_after_bind(); });
    while (!server.is_running()) std::this_thread::yield();
  }
  ~daemon_standin() {
    server.stop();
    thread.join();
  }

  int Run(const argument_list& arguments, std::string* output = nullptr) {
    std::ostringstream out;
    command_context context{out, out};
    context.daemon_address = address;
    context.timeout = milliseconds(2000);
    const int code = RunCommand(context, arguments);
    if (output != nullptr) *output = out.str();
    return code;
  }
};

struct response_case {
  int status;
  std::string body;
  int code;
};

// Guards against an exit code that does not tell whether the job was submitted.
// The code follows from the status and the outcome of the response.
BOOST_FIXTURE_TEST_CASE(submit_maps_each_response_to_an_exit_code,
                        daemon_standin) {
  const std::vector<response_case> cases = {
      {201, R"({"job_id": "07-1"})", kOk},
      {200, R"({"job_id": "07-1"})", kOk},
      {400, R"({"error": {"message": "m"}, "outcome": "not_run"})",
       kInvalidInput},
      {404, "{}", kFailed},
      {422, R"({"reasons": ["accelerators"]})", kInvalidInput},
      {503, R"({"outcome": "not_run"})", kUnavailable},
      {504, R"({"outcome": "unknown"})", kUnknownEffect},
      {504, "not json", kUnknownEffect},
  };
  for (const auto& input : cases) {
    status = input.status;
    body = input.body;
    BOOST_TEST(Run({"submit", "work"}) == input.code, input.status);
  }
}

// Guards against a duplicate job after a lost response: the retries must send
// the same request id.
BOOST_FIXTURE_TEST_CASE(submit_repeats_with_one_request_id, daemon_standin) {
  status = 504;
  body = R"({"outcome": "unknown"})";
  std::string output;
  BOOST_TEST(Run({"submit", "work"}, &output) == kUnknownEffect);
  BOOST_REQUIRE(requests.size() == 3);
  BOOST_TEST(requests[0] == requests[1]);
  BOOST_TEST(requests[0].find("request_id") != std::string::npos);
  BOOST_TEST(output.find("--request-id") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(job_commands_call_their_routes, daemon_standin) {
  body = R"({"job_id": "07-1", "state": "pending", "had_run": false,
             "reasons": ["no free accelerators"], "jobs": [], "tasks": []})";
  std::string output;
  BOOST_TEST(Run({"why", "07-1"}, &output) == kOk);
  BOOST_TEST(output.find("no free accelerators") != std::string::npos);
  BOOST_TEST(Run({"job", "07-1"}) == kOk);
  BOOST_TEST(Run({"job"}) == kOk);
  BOOST_TEST(Run({"cancel", "07-1", "07-2"}, &output) == kOk);
  BOOST_TEST(output.find("07-2 is pending, it had not run") !=
             std::string::npos);
  BOOST_TEST(requests.at(0) == "GET /v1/jobs/07-1/why ");
  BOOST_TEST(requests.back() == "DELETE /v1/jobs/07-2 ");
}

BOOST_AUTO_TEST_CASE(unreachable_daemon_has_its_exit_code) {
  std::ostringstream out;
  command_context context{out, out};
  context.daemon_address = "127.0.0.1:1";
  BOOST_TEST(RunCommand(context, {"status"}) == kUnavailable);
  BOOST_TEST(RunCommand(context, {"submit", "work"}) == kUnavailable);
}

// Guards against a status command that does not report the faults of a cell, or
// that fails on fields of another type, as a daemon of another version may
// send.
BOOST_FIXTURE_TEST_CASE(status_warns_of_faults, daemon_standin) {
  body = R"({"member_id": "a.1", "ready": true, "holds_lease": true,
    "kv_reachable": false, "document": {"fault": "bad"},
    "vm_list": {"age_ms": 100}, "members": [{"id": "a.1"}],
    "partitions": [{"name": "fd/r", "owner": "gone.2", "epoch": 4}],
    "shards": [{"shard": 0, "owner": "a.1"}],
    "workers": [{"worker": "w", "state": "quarantined"}],
    "instances": [{"task_id": "service/s/0", "accepting": false}]})";
  BOOST_TEST(FindWarnings(nlohmann::json::parse(body)).size() == 5);
  std::string output;
  BOOST_TEST(Run({"status"}, &output) == kOk);
  BOOST_TEST(output.find("fd/r") != std::string::npos);
  for (const std::string unexpected_body :
       {"[]", "{}", R"({"members": 3, "workers": "x", "document": 1})"}) {
    body = unexpected_body;
    BOOST_TEST(Run({"status"}) == kOk);
  }
}

}  // namespace
}  // namespace apricotwheel::ctl

#include "daemon/service_api.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace apricotwheel {
namespace {

namespace data = boost::unit_test::data;

httplib::Request Request(const std::string& target) {
  httplib::Request request;
  request.method = "POST";
  request.target = target;
  request.body = "body";
  return request;
}

struct target_row {
  const char* target;
  const char* service;
  const char* path;
};
std::ostream& operator<<(std::ostream& out, const target_row& row) {
  return out << row.target;
}
const target_row kTargets[] = {
    {"/v1/services/echo", "echo", "/"},
    {"/v1/services/echo/", "echo", "/"},
    {"/v1/services/echo?a=1", "echo", "/?a=1"},
    {"/v1/services/echo/a/b?c=%20d", "echo", "/a/b?c=%20d"},
    {"/v1/services//x", "", "/x"},
};

// Guards against a split of the request target that changes the path or the
// query that the instance receives.
BOOST_DATA_TEST_CASE(targets_are_parsed, data::make(kTargets)) {
  const auto parsed =
      Attempt([&] { return ParseServiceRequest(Request(sample.target)); });
  BOOST_REQUIRE(bool(parsed));
  BOOST_TEST(parsed->service == sample.service);
  BOOST_TEST(parsed->path == sample.path);
}

struct header_row {
  const char* name;
  std::string value;
};
std::ostream& operator<<(std::ostream& out, const header_row& row) {
  return out << row.name << ": " << row.value.substr(0, 20);
}
const header_row kBadHeaders[] = {
    {"Apricotwheel-Deadline-Ms", "0"},
    {"Apricotwheel-Deadline-Ms", "600001"},
    {"Apricotwheel-Deadline-Ms", "12ms"},
    {"Apricotwheel-Deadline-Ms", "99999999999999999999"},
    {"Apricotwheel-Class", "high"},
    {"Apricotwheel-Repeatable", "true"},
    {"Idempotency-Key", std::string(201, 'k')},
    {"Apricotwheel-Ticket", std::string(201, 't')},
};

// Guards against malformed headers that are ignored instead of rejected: the
// request would run with a deadline, class or key that its caller did not set.
BOOST_DATA_TEST_CASE(malformed_headers_are_rejected, data::make(kBadHeaders)) {
  auto request = Request("/v1/services/echo/");
  request.set_header(sample.name, sample.value);
  const auto parsed = Attempt([&] { return ParseServiceRequest(request); });
  BOOST_REQUIRE(!parsed);
  BOOST_TEST((parsed.failure.kind == error_kind::kInvalidArgument));
  BOOST_TEST(parsed.failure.message.find(sample.name) != std::string::npos);
  BOOST_TEST(!parsed.failure.remedy.empty());
}

// Guards against valid headers that are not parsed, and against headers of one
// connection that are forwarded to the instance.
BOOST_AUTO_TEST_CASE(valid_headers_are_parsed) {
  auto request = Request("/v1/services/echo/");
  request.set_header("Apricotwheel-Deadline-Ms", "250");
  request.set_header("Apricotwheel-Class", "urgent");
  request.set_header("Apricotwheel-Repeatable", "no");
  request.set_header("Idempotency-Key", "key");
  request.set_header("Connection", "keep-alive");
  request.set_header("X-Caller", "value");
  const auto parsed = Attempt([&] { return ParseServiceRequest(request); });
  BOOST_REQUIRE(bool(parsed));
  BOOST_TEST((parsed->deadline == duration(milliseconds(250))));
  BOOST_TEST((parsed->priority == priority_class::kUrgent));
  BOOST_TEST((parsed->repeatable == false));
  BOOST_TEST(parsed->idempotency_key == "key");
  bool forwards_caller_header = false;
  for (const auto& [name, value] : parsed->headers) {
    BOOST_TEST(name != "Connection");
    forwards_caller_header = forwards_caller_header || name == "X-Caller";
  }
  BOOST_TEST(forwards_caller_header);
}

// Guards against a response without the outcome headers, by which the caller
// knows whether the request may have run.
BOOST_AUTO_TEST_CASE(responses_carry_their_outcome) {
  service_response response;
  response.outcome = request_outcome::kNotRun;
  response.status = 503;
  response.reason = "queue_full";
  response.retry_after = milliseconds(1200);
  httplib::Response rejected;
  WriteServiceResponse(response, rejected);
  BOOST_TEST(rejected.status == 503);
  BOOST_TEST(rejected.get_header_value("Apricotwheel-Outcome") == "not_run");
  BOOST_TEST(rejected.get_header_value("Retry-After") == "2");
  response = {};
  response.outcome = request_outcome::kCompleted;
  response.status = 404;
  response.body = "none";
  response.headers = {{"Content-Type", "text/plain"}, {"Connection", "close"}};
  httplib::Response completed;
  WriteServiceResponse(response, completed);
  BOOST_TEST(completed.status == 404);
  BOOST_TEST(completed.body == "none");
  BOOST_TEST(completed.get_header_value("Apricotwheel-Outcome") == "completed");
  BOOST_TEST(completed.get_header_value("Content-Type") == "text/plain");
  BOOST_TEST(!completed.has_header("Connection"));
}

}  // namespace
}  // namespace apricotwheel

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "clients/http_connection.h"
#include "clients/http_listener.h"

namespace apricotwheel {
namespace {

constexpr auto kCallTimeout = milliseconds(5000);

// Serves every path, as the listener for callers does, and one segment below
// /jobs/, as the one for operators does. The response has the path and the
// header Range, or the body.
struct fixture {
  fixture() {
    const auto echo = [](const httplib::Request& request,
                         httplib::Response& response) {
      response.status = 200;
      response.set_header("Seen-Type",
                          request.get_header_value("Content-Type"));
      response.set_content(request.method == "POST"
                               ? request.body
                               : http_listener::PathOf(request) + " " +
                                     request.get_header_value("Range"),
                           "text/plain");
    };
    all = Listen();
    all->Server().Get("/.*", echo);
    all->Server().Post("/.*", echo);
    all->Start().value();
    jobs = Listen();
    jobs->Server().Get("/jobs/([^/]+)/why", echo);
    jobs->Start().value();
  }

  static std::unique_ptr<http_listener> Listen() {
    http_listener_options options;
    options.address = "127.0.0.1:0";
    return http_listener::Bind(options).value();
  }

  static http_response Send(http_listener& listener,
                            const http_request& request) {
    http_connection connection(ParseEndpoint(listener.Address()).value());
    return connection.Exchange(request, kCallTimeout, kCallTimeout).value();
  }

  static http_request Get(std::string target) {
    http_request request;
    request.method = "GET";
    request.target = std::move(target);
    return request;
  }

  // A request of the usual size must be served after each odd one.
  void CheckServes() {
    BOOST_TEST(Send(*all, Get("/x?y=1")).body == "/x ");
    BOOST_TEST(Send(*jobs, Get("/jobs/j1/why")).body == "/jobs/j1/why ");
  }

  std::unique_ptr<http_listener> all;
  std::unique_ptr<http_listener> jobs;
};

// Guards against a path whose length ends the process: std::regex, by which the
// HTTP library matches routes, recurses for each byte.
BOOST_DATA_TEST_CASE(long_paths_are_served,
                     boost::unit_test::data::make({127, 128, 129, 400, 900,
                                                   1024, 1025, 4000, 8000}),
                     length) {
  fixture test;
  const std::string path =
      "/" + std::string(static_cast<std::size_t>(length) - 1, 'a');
  BOOST_TEST(test.Send(*test.all, fixture::Get(path)).body == path + " ");
  BOOST_TEST(test.Send(*test.jobs, fixture::Get(path)).status == 404);
  const auto unknown = fixture::Get("/jobs" + path.substr(5));
  BOOST_TEST(test.Send(*test.jobs, unknown).status == 404);
  test.CheckServes();
}

// Guards against a target or a header over the limits that is served in part or
// ends the process.
BOOST_AUTO_TEST_CASE(what_is_too_long_is_refused) {
  fixture test;
  for (const std::size_t length : {8001, 8100, 9000, 100'000}) {
    const auto request = fixture::Get("/" + std::string(length - 1, 'a'));
    BOOST_TEST(test.Send(*test.all, request).status == 414);
  }
  auto request = fixture::Get("/");
  request.headers = {{"Range", "bytes=" + std::string(9000, '1')}};
  const int status = test.Send(*test.all, request).status;
  BOOST_TEST((status == 400 || status == 431));
  test.CheckServes();
}

// Guards against a Range header whose length ends the process, and against one
// that the HTTP library applies to a response that is passed on.
BOOST_DATA_TEST_CASE(ranges_are_passed_on,
                     boost::unit_test::data::make({2, 600, 6000, 8000}),
                     length) {
  fixture test;
  const auto size = static_cast<std::size_t>(length);
  std::string many = "0-1";
  while (many.size() + 4 <= size) many += ",2-3";
  for (const char* name : {"Range", "rAnGe"}) {
    for (const auto& value :
         {"bytes=" + std::string(size, '1') + "-", "bytes=" + many}) {
      auto request = fixture::Get("/");
      request.headers = {{"Accept", "*/*"}, {name, value}};
      const auto response = test.Send(*test.all, request);
      BOOST_TEST(response.status == 200);
      BOOST_TEST(response.body == "/ " + value);
    }
  }
  test.CheckServes();
}

// Guards against other headers whose length ends the process.
BOOST_AUTO_TEST_CASE(long_headers_are_served) {
  fixture test;
  for (const char* name :
       {"Host", "Accept", "Accept-Encoding", "Content-Type", "Cookie",
        "Authorization", "Expect", "If-Range", "X-Deadline-Ms"}) {
    auto request = fixture::Get("/");
    request.headers = {{name, std::string(7000, 'a')}};
    BOOST_TEST(test.Send(*test.all, request).status == 200);
  }
  test.CheckServes();
}

// Guards against a part of a multipart body whose header ends the process, and
// against a body of which the handler sees nothing.
BOOST_AUTO_TEST_CASE(multipart_bodies_are_passed_on) {
  fixture test;
  for (const std::size_t length : {10, 6000, 500'000}) {
    http_request request;
    request.target = "/";
    request.headers = {{"Content-Type", "multipart/form-data; boundary=b"}};
    request.body = "--b\r\nContent-Disposition: form-data; name=\"" +
                   std::string(length, 'a') + "\"\r\n\r\nx\r\n--b--\r\n";
    const auto response = test.Send(*test.all, request);
    BOOST_TEST(response.status == 200);
    BOOST_TEST((response.body == request.body));
    BOOST_TEST(FindHeader(response.headers, "Seen-Type")
                   .ends_with("/form-data; boundary=b"));
  }
  test.CheckServes();
}

}  // namespace
}  // namespace apricotwheel

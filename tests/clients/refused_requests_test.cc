// Requests outside the limits, sent to a listener.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "clients/http_connection.h"
#include "clients/http_listener.h"

namespace apricotwheel {
namespace {

constexpr auto kCallTimeout = milliseconds(20'000);

struct fixture {
  explicit fixture(duration head_time = milliseconds(10'000)) {
    http_listener_options options;
    options.address = "127.0.0.1:0";
    options.limits.max_body_bytes = 1000;
    options.limits.head_time = head_time;
    options.limits.body_time = head_time;
    options.metrics = metrics;
    listener = http_listener::Bind(options).value();
    const auto echo = [this](const httplib::Request& request,
                             httplib::Response& response) {
      ++calls;
      response.set_content(request.body, "text/plain");
    };
    listener->Server().Get("/.*", echo);
    listener->Server().Post("/.*", echo);
    listener->Server().Delete("/.*", echo);
    listener->Start().value();
    const auto endpoint = ParseEndpoint(listener->Address()).value();
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    inet_pton(AF_INET, endpoint.ip.c_str(), &peer.sin_addr);
    socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{20, 0};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    BOOST_REQUIRE(connect(socket, reinterpret_cast<const sockaddr*>(&peer),
                          sizeof peer) == 0);
  }
  ~fixture() { close(socket); }
  fixture(const fixture&) = delete;
  fixture& operator=(const fixture&) = delete;

  bool Send(std::string_view bytes) const {
    return send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }
  // Reads until the listener closes the connection.
  std::string ReadAll() const {
    std::string received;
    char chunk[4096];
    ssize_t count = 0;
    while ((count = recv(socket, chunk, sizeof chunk, 0)) > 0) {
      received.append(chunk, static_cast<std::size_t>(count));
    }
    return received;
  }
  void CheckServes() const {
    http_connection connection(ParseEndpoint(listener->Address()).value());
    http_request request;
    request.target = "/";
    request.body = "x";
    BOOST_TEST(connection.Exchange(request, kCallTimeout, kCallTimeout)->body ==
               "x");
  }

  metrics_ptr metrics = std::make_shared<prometheus::Registry>();
  std::atomic<int> calls = 0;
  std::unique_ptr<http_listener> listener;
  int socket = -1;
};

struct refused_case {
  std::string bytes;
  int status;
};
std::ostream& operator<<(std::ostream& output, const refused_case& row) {
  return output << row.status << " " << row.bytes.substr(0, 60);
}

const std::string kPost = "POST / HTTP/1.1\r\n";
const std::vector<refused_case> kRefused = {
    {"GET /" + std::string(9000, 'a'), 414},
    {"GET / HTTP/1.1\r\nA: " + std::string(9000, 'a'), 431},
    {"\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n",
     400},
    {kPost + "Content-Length: 1001\r\n\r\n", 413},
    {kPost + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n", 413},
    {kPost + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 400},
    {kPost + "content-encoding: gzip\r\nContent-Length: 1\r\n\r\na", 415},
    {kPost + "Content-Encoding: identity, br\r\nContent-Length: 1\r\n\r\na",
     415},
};

// Guards against a refusal without an answer, one that says "not run" of a
// request that ran, and one that does not end the connection.
BOOST_DATA_TEST_CASE(refusals_are_answered,
                     boost::unit_test::data::make(kRefused), row) {
  const fixture test;
  BOOST_TEST(test.Send(row.bytes));
  const std::string answer = test.ReadAll();
  BOOST_TEST(answer.starts_with("HTTP/1.1 " + std::to_string(row.status)));
  BOOST_TEST(answer.find("Apricotwheel-Outcome: not_run") != std::string::npos);
  BOOST_TEST(test.calls == 0);
  test.CheckServes();
}

// Guards against responses that the library compresses, which takes some MB for
// each, and against the refusal of a body without a coding.
BOOST_AUTO_TEST_CASE(content_codings_are_not_applied) {
  const fixture test;
  BOOST_TEST(test.Send(kPost +
                       "Accept-Encoding: br, gzip\r\nConnection: close\r\n"
                       "Content-Encoding: identity\r\n"
                       "Content-Length: 2\r\n\r\nab"));
  const std::string answer = test.ReadAll();
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
  BOOST_TEST(answer.find("Content-Encoding") == std::string::npos);
  BOOST_TEST(answer.ends_with("\r\n\r\nab"));
}

// Guards against a request that never ends because each byte comes in time.
BOOST_AUTO_TEST_CASE(slow_requests_end) {
  for (const std::string& begin :
       {std::string("GET /"), kPost + "Content-Length: 1000\r\n\r\n"}) {
    const fixture test(milliseconds(300));
    BOOST_TEST(test.Send(begin));
    int sent = 0;
    // The listener closes long before the 900 bytes and 18 s are over.
    while (sent < 900 && test.Send("a")) {
      ++sent;
      runtime_clock::Running()->SleepFor(milliseconds(20));
    }
    BOOST_TEST(sent < 900);
    BOOST_TEST(test.calls == 0);
    test.CheckServes();
  }
}

// Guards against a request without a length that waits for the connection's
// end, and against pipelined requests that are lost.
BOOST_AUTO_TEST_CASE(requests_without_a_length_have_no_body) {
  const fixture test;
  BOOST_TEST(test.Send("DELETE / HTTP/1.1\r\n\r\n" + kPost +
                       "Content-Length: 2\r\n\r\nab" + kPost +
                       "Transfer-Encoding: chunked\r\n\r\n2\r\ncd\r\n0\r\n\r\n"
                       "GET / HTTP/1.1\r\nConnection: close\r\n\r\n"));
  const std::string answers = test.ReadAll();
  BOOST_TEST(test.calls == 4);
  BOOST_TEST(answers.find("\r\n\r\nab") != std::string::npos);
  BOOST_TEST(answers.find("\r\n\r\ncd") != std::string::npos);
}

}  // namespace
}  // namespace apricotwheel

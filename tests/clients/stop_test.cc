#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "clients/http_listener.h"
#include "clients/kv_client.h"
#include "testing/kv_standin.h"

namespace apricotwheel {
namespace {

duration Elapsed(const std::function<void()>& work) {
  const auto clock = runtime_clock::Running();
  const auto start = clock->Now();
  work();
  return clock->Now() - start;
}

int ConnectTo(const std::string& address) {
  const auto endpoint = ParseEndpoint(address).value();
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
  inet_pton(AF_INET, endpoint.ip.c_str(), &peer.sin_addr);
  const int opened = socket(AF_INET, SOCK_STREAM, 0);
  BOOST_REQUIRE(connect(opened, reinterpret_cast<const sockaddr*>(&peer),
                        sizeof peer) == 0);
  return opened;
}

// Guards against a stop that waits 30 s, the read timeout, for the rest of an
// incomplete request, and against one that drops the response of a request that
// is being handled.
BOOST_AUTO_TEST_CASE(an_incomplete_request_does_not_delay_a_stop) {
  for (const std::string part :
       {"POST /x HTT", "POST /x HTTP/1.1\r\nHost: a\r\n",
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab"}) {
    const auto listener = http_listener::Bind({"127.0.0.1:0"}).value();
    std::atomic<bool> is_handling = false;
    std::atomic<int> posts = 0;
    listener->Server().Post(
        "/x", [&](const httplib::Request&, httplib::Response&) { ++posts; });
    listener->Server().Get(
        "/slow", [&](const httplib::Request&, httplib::Response& response) {
          is_handling = true;
          std::this_thread::sleep_for(milliseconds(1500));
          response.set_content("complete", "text/plain");
        });
    listener->Start().value();
    const int incomplete = ConnectTo(listener->Address());
    BOOST_REQUIRE(send(incomplete, part.data(), part.size(), 0) ==
                  static_cast<ssize_t>(part.size()));
    auto response = std::async(std::launch::async, [&] {
      httplib::Client caller("http://" + listener->Address());
      const auto reply = caller.Get("/slow");
      return reply ? reply->body : std::string();
    });
    while (!is_handling) std::this_thread::sleep_for(milliseconds(1));
    BOOST_TEST((Elapsed([&] { listener->Stop(); }) < milliseconds(5000)));
    BOOST_TEST(response.get() == "complete");
    BOOST_TEST(posts == 0);
    close(incomplete);
  }
}

// Guards against a stop that waits for a watch in flight, and against an
// interrupt that also affects other calls.
BOOST_AUTO_TEST_CASE(an_interrupt_ends_only_watches) {
  const auto service = standins::kv_standin::Start({}).value();
  const auto client = kv_client::Create({service->Address()}).value();
  auto watch = std::async(std::launch::async, [&] {
    return Attempt([&] { return client->Watch("a", 0, milliseconds(20'000)); });
  });
  while (service->CallCount("watch") == 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  BOOST_TEST((Elapsed([&] {
                client->InterruptWatches();
                BOOST_TEST(!watch.get());
              }) < milliseconds(2000)));
  const auto later =
      Attempt([&] { return client->Watch("a", 0, milliseconds(20'000)); });
  BOOST_TEST((later.failure.kind == error_kind::kUnavailable));
  BOOST_TEST(client->Put("a", "1").value() > 0U);
}

// Guards against a `PutConfirmed` that exceeds its deadline by the timeouts of
// its single calls.
BOOST_AUTO_TEST_CASE(a_confirmed_write_ends_by_its_deadline) {
  const auto service = standins::kv_standin::Start({}).value();
  const auto client = kv_client::Create({service->Address()}).value();
  const auto clock = runtime_clock::Running();
  service->SetFaults({standins::kv_outage::kHang, 0, 0});
  BOOST_TEST((Elapsed([&] {
                const auto deadline = clock->Now() + milliseconds(300);
                const auto written = Attempt([&] {
                  return client->PutConfirmed("a", "1", 0, *clock, deadline);
                });
                BOOST_TEST((written.failure.kind == error_kind::kTimeout));
              }) < milliseconds(1200)));
  service->SetFaults({});
}

}  // namespace
}  // namespace apricotwheel

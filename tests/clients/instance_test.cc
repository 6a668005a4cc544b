#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "clients/http_connection.h"
#include "clients/instance_client.h"
#include "testing/instance_standin.h"

namespace apricotwheel {
namespace {

namespace data = boost::unit_test::data;
using standins::instance_faults;
using standins::instance_standin;

struct fixture {
  std::unique_ptr<instance_standin> service;
  std::unique_ptr<instance_client> client;

  explicit fixture(const standins::instance_standin_options& options = {})
      : service(instance_standin::Start(options).value()), client(Connect()) {}

  std::unique_ptr<instance_client> Connect() const {
    return instance_client::Create({.address = service->Address()}).value();
  }
  static instance_request Request(const std::string& id,
                                  std::uint64_t epoch = 1) {
    instance_request request;
    request.method = "POST";
    request.path = "/work";
    request.body = "body of " + id;
    request.correlation_id = id;
    request.epoch = epoch;
    return request;
  }
  outcome<instance_response> Send(const std::string& id) {
    return Attempt(
        [&] { return client->Send(Request(id), milliseconds(300)); });
  }
};

struct fault_row {
  const char* name;
  instance_faults faults;
  error_kind expected;
};
std::ostream& operator<<(std::ostream& out, const fault_row& row) {
  return out << row.name;
}

const fault_row kFaultRows[] = {
    {"late", {.delay_ms = 600}, error_kind::kTimeout},
    {"closed mid-reply", {.close_mid_reply = 1}, error_kind::kCorrupt},
    {"truncated body", {.truncate_body = 1}, error_kind::kCorrupt},
    {"no last chunk", {.omit_last_chunk = 1}, error_kind::kCorrupt},
    {"wrong correlation", {.wrong_correlation = 1}, error_kind::kCorrupt},
};

// Guards against delivery of a late, truncated or foreign response, and against
// reuse of its connection. The request ran, so the error must not be one that
// denies it.
BOOST_DATA_TEST_CASE(faulty_response_is_not_delivered, data::make(kFaultRows),
                     row) {
  fixture test;
  test.service->SetFaults(row.faults);
  const auto failed = test.Send("c1");
  BOOST_REQUIRE(!failed);
  BOOST_TEST((failed.failure.kind == row.expected));
  BOOST_TEST(test.service->RequestRunCount("c1") == 1u);
  BOOST_TEST(!test.client->IsOpen());
  test.service->SetFaults({});
  const auto next = test.Send("c2");
  BOOST_REQUIRE(bool(next));
  BOOST_TEST(next->body.find("\"c2\"") != std::string::npos);
}

// Guards against a duplicate response that is taken for the response to the
// next request on the connection.
BOOST_AUTO_TEST_CASE(duplicate_response_is_dropped) {
  fixture test;
  test.service->SetFaults({.answer_twice = 1});
  BOOST_TEST(bool(test.Send("c1")));
  std::this_thread::sleep_for(milliseconds(20));
  const auto next = test.Send("c2");
  BOOST_REQUIRE(bool(next));
  BOOST_TEST(next->body.find("\"c2\"") != std::string::npos);
  BOOST_TEST(test.service->RequestRunCount("c2") == 1u);
}

// Guards against an instance that serves requests with an older epoch, from a
// daemon that no longer owns the partition. The variant that ignores epochs
// proves that the check can fail.
BOOST_AUTO_TEST_CASE(older_epoch_is_refused) {
  for (const bool broken : {false, true}) {
    standins::instance_standin_options options;
    options.ignore_epochs = broken;
    fixture test(options);
    test.client->Send(fixture::Request("c1", 5), milliseconds(300)).value();
    const auto stale = Attempt([&] {
      return test.client->Send(fixture::Request("c2", 4), milliseconds(300));
    });
    BOOST_TEST(bool(stale) == broken);
    if (!broken) BOOST_TEST((stale.failure.kind == error_kind::kStaleEpoch));
    BOOST_TEST(test.service->RequestRunCount("c2") == (broken ? 1u : 0u));
  }
}

// Guards against a `timeout` for a request to a dead instance, which cannot
// have run there.
BOOST_AUTO_TEST_CASE(unreachable_instance_is_unavailable) {
  fixture test;
  BOOST_TEST(bool(test.Send("c1")));
  test.service.reset();
  const auto failed = test.Send("c2");
  BOOST_TEST((failed.failure.kind == error_kind::kUnavailable));
}

// Guards against an instance stand-in that does not count requests above its
// slot limit or connections above its connection limit, and against wrong usage
// figures.
BOOST_AUTO_TEST_CASE(breaches_are_counted_and_usage_is_reported) {
  for (const bool refuse : {false, true}) {
    standins::instance_standin_options options;
    options.slots = 1;
    options.connections = 2;
    options.refuse_over_limit = refuse;
    fixture test(options);
    test.service->SetFaults({.service_ms = 150});
    bool first_answered = false;
    std::thread first([&] { first_answered = bool(test.Send("c1")); });
    std::this_thread::sleep_for(milliseconds(50));
    const auto second = test.Connect();
    const auto usage = second->FetchUsage().value();
    BOOST_TEST(usage.slots_in_use == 1u);
    BOOST_TEST(usage.connections == 1u);
    BOOST_TEST(test.service->SlotBreachCount() == 0u);
    const auto sent = Attempt([&] {
      return second->Send(fixture::Request("c2"), milliseconds(300));
    });
    first.join();
    BOOST_TEST(first_answered);
    BOOST_TEST(bool(sent) == !refuse);
    if (refuse) BOOST_TEST((sent.failure.kind == error_kind::kCapacity));
    BOOST_TEST(test.service->SlotBreachCount() == 1u);
    BOOST_TEST(test.service->ConnectionBreachCount() == 0u);
    const auto third = test.Connect();
    const auto fourth = test.Connect();
    third->FetchUsage().value();
    fourth->FetchUsage().value();
    Attempt([&] {
      return fourth->Send(fixture::Request("c3"), milliseconds(300));
    });
    BOOST_TEST(test.service->ConnectionBreachCount() == 1u);
  }
}

// Guards against a header value with a line break, which would add a second
// header or request.
BOOST_AUTO_TEST_CASE(line_ends_in_headers_are_refused) {
  fixture test;
  auto request = fixture::Request("c1\r\nX: y");
  const auto failed =
      Attempt([&] { return test.client->Send(request, milliseconds(300)); });
  BOOST_TEST((failed.failure.kind == error_kind::kInvalidArgument));
}

// Guards against a stop that aborts a request in flight, and against one that
// waits for idle keep-alive connections.
BOOST_AUTO_TEST_CASE(listener_stop_closes_idle_and_completes_busy_connections) {
  http_listener_options options;
  options.address = "127.0.0.1:0";
  const auto listener = http_listener::Bind(options).value();
  listener->Server().Get("/slow", [](const auto&, auto& response) {
    std::this_thread::sleep_for(milliseconds(200));
    response.set_content("ok", "text/plain");
  });
  BOOST_REQUIRE(bool(Attempt([&] { return listener->Start(); })));
  const auto peer = ParseEndpoint(listener->Address()).value();
  http_connection idle(peer);
  http_request call;
  call.method = "GET";
  call.target = "/none";
  BOOST_TEST(idle.Exchange(call, milliseconds(300), milliseconds(300))
                 .value()
                 .status == 404);
  http_connection connection(peer);
  std::string body;
  std::thread busy([&] {
    http_request slow = call;
    slow.target = "/slow";
    body = connection.Exchange(slow, milliseconds(300), milliseconds(2000))
               .value()
               .body;
  });
  std::this_thread::sleep_for(milliseconds(50));
  const auto begin = std::chrono::steady_clock::now();
  listener->Stop();
  BOOST_TEST((std::chrono::steady_clock::now() - begin < milliseconds(2000)));
  busy.join();
  BOOST_TEST(body == "ok");
  BOOST_TEST(!connection.IsOpen());
  BOOST_TEST(listener->OpenConnections() == 0u);
}

// Guards against a connection over the limit that waits instead of being
// rejected with 503 while all others are being served, and against idle
// connections that keep it out.
BOOST_AUTO_TEST_CASE(listener_refuses_connections_past_its_limit) {
  constexpr auto kTimeout = milliseconds(20'000);
  http_listener_options options;
  options.address = "127.0.0.1:0";
  options.max_connections = 2;
  const auto listener = http_listener::Bind(options).value();
  std::atomic<int> handled = 0;
  std::atomic<bool> is_held = true;
  listener->Server().Get("/", [&](const auto&, auto& response) {
    ++handled;
    while (is_held) std::this_thread::sleep_for(milliseconds(1));
    response.set_content("ok", "text/plain");
  });
  BOOST_REQUIRE(bool(Attempt([&] { return listener->Start(); })));
  std::vector<std::unique_ptr<http_connection>> connections;
  for (int i = 0; i < 4; ++i) {
    connections.push_back(std::make_unique<http_connection>(
        ParseEndpoint(listener->Address()).value()));
  }
  const auto get = [&](int i) {
    http_request call;
    call.method = "GET";
    call.target = "/";
    return connections[static_cast<std::size_t>(i)]
        ->Exchange(call, kTimeout, kTimeout)
        .value();
  };
  std::vector<std::thread> callers;
  for (int i = 0; i < 2; ++i) {
    callers.emplace_back([&, i] { BOOST_TEST(get(i).status == 200); });
  }
  while (handled < 2) std::this_thread::sleep_for(milliseconds(1));
  const auto refused = get(2);
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(FindHeader(refused.headers, "apricotwheel-outcome") == "not_run");
  BOOST_TEST(!FindHeader(refused.headers, "retry-after").empty());
  is_held = false;
  for (auto& caller : callers) caller.join();
  BOOST_TEST(listener->OpenConnections() == 2u);
  BOOST_TEST(get(3).status == 200);
  // The connection that gave its slot ends.
  while (listener->OpenConnections() > 2) {
    std::this_thread::sleep_for(milliseconds(1));
  }
}

}  // namespace
}  // namespace apricotwheel

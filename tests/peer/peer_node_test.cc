#include "peer/peer_node.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>
#include <vector>

#include "tests/peer/raw_peer.h"

namespace apricotwheel {
namespace {

wire_message Echo(const std::string& sender, const wire_message& request) {
  wire::job_responseT reply;
  reply.body = sender + ":" + request.body.Asjob_request()->body;
  return MakeMessage(std::move(reply));
}

struct pair_fixture {
  std::unique_ptr<peer_node> left = StartNode("left.1");
  std::unique_ptr<peer_node> right = StartNode("right.1");

  pair_fixture() {
    right->SetHandler(wire::body::job_request, Echo);
    left->SetAddress("right.1", right->ListenAddress());
  }
  auto Call(const std::string& text, duration timeout = milliseconds(5000)) {
    return Attempt(
        [&] { return left->Call("right.1", JobRequest(text), timeout); });
  }
};

// Guards against a response that reaches another of the callers that share a
// connection, and against a handler that sees another sender than the
// authenticated member.
BOOST_FIXTURE_TEST_CASE(concurrent_calls_get_their_own_responses,
                        pair_fixture) {
  std::vector<std::thread> callers;
  std::atomic<int> wrong = 0;
  for (int caller = 0; caller < 8; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; i < 100; ++i) {
        const auto text = std::to_string(caller) + "-" + std::to_string(i);
        const auto reply = Call(text);
        if (!reply || reply->body.Asjob_response()->body != "left.1:" + text) {
          ++wrong;
        }
      }
    });
  }
  for (auto& caller : callers) caller.join();
  BOOST_TEST(wrong == 0);
  BOOST_TEST(left->MessagesSent() >= 800U);
  BOOST_TEST(right->BytesSent() > 0U);
}

// Guards against a call by address that does not return the member id of the
// responder, and against failures of such a call with the wrong kind.
BOOST_FIXTURE_TEST_CASE(call_address_needs_no_member_id, pair_fixture) {
  const auto call = [](peer_node& node, const std::string& address,
                       duration timeout) {
    return Attempt(
        [&] { return node.CallAddress(address, JobRequest("x"), timeout); });
  };
  const auto address = right->ListenAddress();
  const auto response = call(*left, address, milliseconds(5000));
  BOOST_REQUIRE(bool(response));
  BOOST_TEST(response->member_id == "right.1");
  BOOST_TEST(response->message.body.Asjob_response()->body == "left.1:x");

  const auto stranger = StartNode(
      "stranger.1", [](auto& options) { options.key = std::string(32, 'w'); });
  BOOST_TEST((call(*stranger, address, milliseconds(1000)).failure.kind ==
              error_kind::kUnavailable));
  right->SetHandler(wire::body::job_request, [](const auto&, const auto&) {
    std::this_thread::sleep_for(milliseconds(300));
    return MakeMessage(wire::job_responseT{});
  });
  BOOST_TEST((call(*left, address, milliseconds(100)).failure.kind ==
              error_kind::kTimeout));
  right->SetHandler(wire::body::job_request, [](const auto&, const auto&) {
    return MakeFailure({error_kind::kStaleEpoch, "old", "claim again"});
  });
  BOOST_TEST((call(*left, address, milliseconds(5000)).failure.kind ==
              error_kind::kStaleEpoch));
  right->Stop();
  BOOST_TEST((call(*left, address, milliseconds(1000)).failure.kind ==
              error_kind::kUnavailable));
}

// Guards against errors whose kind changes between the peers, and against calls
// to unknown peers or of unhandled types that hang.
BOOST_FIXTURE_TEST_CASE(failures_keep_their_kind, pair_fixture) {
  right->SetHandler(wire::body::stop_request, [](const auto&, const auto&) {
    return MakeFailure({error_kind::kStaleEpoch, "old", "claim again"});
  });
  const auto call = [&](auto body) {
    return Attempt([&] {
      return left->Call("right.1", MakeMessage(std::move(body)),
                        milliseconds(2000));
    });
  };
  BOOST_TEST(Describe(call(wire::stop_requestT{}).failure) ==
             "stale_epoch: old; claim again");
  BOOST_TEST(
      (call(wire::ticket_requestT{}).failure.kind == error_kind::kUnavailable));
  const auto unknown = Attempt(
      [&] { return left->Call("nobody", JobRequest("x"), milliseconds(100)); });
  BOOST_TEST((unknown.failure.kind == error_kind::kNotFound));
}

// Guards against an unbounded number of handler threads, and against a busy
// handler that blocks the reader of its connection.
BOOST_AUTO_TEST_CASE(requests_over_the_limit_are_overloaded) {
  const auto left = StartNode("left.1");
  const auto right = StartNode(
      "right.1", [](auto& options) { options.max_handler_threads = 2; });
  std::promise<void> release;
  const auto released = release.get_future().share();
  std::atomic<int> running = 0;
  right->SetHandler(wire::body::job_request,
                    [&](const auto& sender, const auto& in) {
                      ++running;
                      released.wait();
                      return Echo(sender, in);
                    });
  left->SetAddress("right.1", right->ListenAddress());
  const auto call = [&] {
    return Attempt([&] {
      return left->Call("right.1", JobRequest("x"), milliseconds(5000));
    });
  };
  auto first = std::async(std::launch::async, call);
  auto second = std::async(std::launch::async, call);
  BOOST_REQUIRE(Eventually([&] { return running == 2; }));
  BOOST_TEST((call().failure.kind == error_kind::kOverloaded));
  release.set_value();
  BOOST_TEST(static_cast<bool>(first.get()));
  BOOST_TEST(static_cast<bool>(second.get()));
}

// Guards against `unavailable` for a request that the peer's handler has
// received, and against a connection that stays unusable after the peer has
// restarted.
BOOST_FIXTURE_TEST_CASE(disconnect_between_send_and_response_is_a_timeout,
                        pair_fixture) {
  std::promise<void> entered;
  right->SetHandler(wire::body::job_request, [&](const auto&, const auto&) {
    entered.set_value();
    std::this_thread::sleep_for(milliseconds(200));
    return wire_message();
  });
  auto pending = std::async(std::launch::async, [&] { return Call("x"); });
  entered.get_future().wait();
  const auto address = right->ListenAddress();
  right->Stop();
  BOOST_TEST((pending.get().failure.kind == error_kind::kTimeout));
  BOOST_TEST((Call("y").failure.kind == error_kind::kUnavailable));

  // The address now belongs to another incarnation, which must not be taken for
  // the one that was called.
  right = StartNode("right.2",
                    [&](auto& options) { options.listen_address = address; });
  right->SetHandler(wire::body::job_request, Echo);
  BOOST_TEST((Call("z").failure.kind == error_kind::kUnavailable));
  left->SetAddress("right.1", "");
  left->SetAddress("right.2", address);
  BOOST_TEST(static_cast<bool>(Attempt([&] {
    return left->Call("right.2", JobRequest("z"), milliseconds(2000));
  })));
}

// Guards against daemons with different keys that exchange messages.
BOOST_AUTO_TEST_CASE(wrong_key_is_rejected_by_both_sides) {
  const auto metrics = std::make_shared<prometheus::Registry>();
  const auto right =
      StartNode("right.1", [&](auto& options) { options.metrics = metrics; });
  std::atomic<int> handled = 0;
  right->SetHandler(wire::body::job_request,
                    [&](const auto& sender, const auto& in) {
                      ++handled;
                      return Echo(sender, in);
                    });
  const auto left = StartNode(
      "left.1", [](auto& options) { options.key = std::string(32, 'w'); });
  left->SetAddress("right.1", right->ListenAddress());
  const auto reply = Attempt([&] {
    return left->Call("right.1", JobRequest("x"), milliseconds(2000));
  });
  BOOST_TEST((reply.failure.kind == error_kind::kUnavailable));
  BOOST_TEST(handled == 0);
  BOOST_TEST(Eventually([&] {
    return CounterValue(*metrics,
                        "apricotwheel_peer_rejected_connections_total") == 1;
  }));
}

// Guards against one-way messages that are lost while the first connection is
// being opened, or that block while the peer is unreachable.
BOOST_FIXTURE_TEST_CASE(post_is_delivered_and_never_blocks, pair_fixture) {
  std::promise<std::string> received;
  right->SetHandler(wire::body::gossip, [&](const auto& sender, const auto&) {
    received.set_value(sender);
    return wire_message();
  });
  left->Post("right.1", MakeMessage(wire::gossipT{}));
  BOOST_TEST(received.get_future().get() == "left.1");
  left->SetAddress("gone", "127.0.0.1:1");
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 100; ++i)
    left->Post("gone", MakeMessage(wire::gossipT{}));
  BOOST_TEST((std::chrono::steady_clock::now() - start < milliseconds(500)));
}

}  // namespace
}  // namespace apricotwheel

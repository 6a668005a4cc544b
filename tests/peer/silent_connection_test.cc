#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "tests/peer/raw_peer.h"

namespace apricotwheel {
namespace {

// Connections of a node that are accepted and then deliver nothing, as behind a
// proxy that has lost its other side.
struct silent_peer_fixture {
  raw_server peer;
  std::unique_ptr<peer_node> node = StartNode("node.1");

  silent_peer_fixture() { node->SetAddress("raw.1", peer.address); }
  auto Call(duration timeout) {
    return Attempt(
        [&] { return node->Call("raw.1", JobRequest("x"), timeout); });
  }
  // Returns true if the node opens another connection within two seconds.
  bool Reconnects() const {
    const auto clock = runtime_clock::Running();
    return WaitSocket(peer.listener, POLLIN, *clock,
                      clock->Now() + milliseconds(2000));
  }
};

// Answers the first request on the next connection of the node.
std::shared_ptr<peer_connection> AnswerOneRequest(const raw_server& peer) {
  const std::shared_ptr<peer_connection> connection = peer.Accept();
  byte_buffer payload;
  const auto received =
      Attempt([&] { return connection->ReadFrame(payload, TestDeadline()); });
  if (!received || !*received) return connection;
  const auto request = Attempt([&] { return DecodeMessage(payload); });
  if (!request) return connection;
  connection->WriteFrame(EncodeMessage(MakeMessage(wire::job_responseT{}),
                                       request->correlation_id, true),
                         TestDeadline());
  return connection;
}

// Guards against a connection that falls silent without a reset and is used for
// good, so that no call reaches a peer that accepts new connections.
BOOST_FIXTURE_TEST_CASE(a_silent_connection_is_replaced, silent_peer_fixture) {
  auto accepted = std::async(std::launch::async, [&] { return peer.Accept(); });
  const auto failed = Call(milliseconds(3000));
  const auto silent = accepted.get();
  BOOST_TEST((failed.failure.kind == error_kind::kTimeout));
  auto answered =
      std::async(std::launch::async, [&]() -> std::shared_ptr<peer_connection> {
        return Reconnects() ? AnswerOneRequest(peer) : nullptr;
      });
  BOOST_TEST(static_cast<bool>(Call(milliseconds(1000))));
  BOOST_TEST((answered.get() != nullptr));
}

// Guards against a silence that is never detected because each single call
// waits for less time than the detection takes.
BOOST_FIXTURE_TEST_CASE(short_calls_detect_a_silent_connection,
                        silent_peer_fixture) {
  auto accepted = std::async(std::launch::async, [&] { return peer.Accept(); });
  BOOST_TEST(!Call(milliseconds(500)));
  const auto silent = accepted.get();
  auto answered =
      std::async(std::launch::async, [&]() -> std::shared_ptr<peer_connection> {
        return Reconnects() ? AnswerOneRequest(peer) : nullptr;
      });
  bool is_answered = false;
  for (int i = 0; i < 6 && !is_answered; ++i) {
    is_answered = static_cast<bool>(Call(milliseconds(500)));
  }
  BOOST_TEST(is_answered);
  BOOST_TEST((answered.get() != nullptr));
}

// Guards against a handler that is slow, while all others are busy, and is
// taken for a silent connection.
BOOST_AUTO_TEST_CASE(a_slow_handler_keeps_its_connection) {
  const auto left = StartNode("left.1");
  const auto right = StartNode(
      "right.1", [](auto& options) { options.max_handler_threads = 1; });
  right->SetHandler(wire::body::job_request, [](const auto&, const auto&) {
    std::this_thread::sleep_for(milliseconds(2000));
    return MakeMessage(wire::job_responseT{});
  });
  left->SetAddress("right.1", right->ListenAddress());
  const auto response = Attempt([&] {
    return left->Call("right.1", JobRequest("x"), milliseconds(5000));
  });
  BOOST_TEST(static_cast<bool>(response));
}

}  // namespace
}  // namespace apricotwheel

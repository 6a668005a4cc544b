#include <boost/test/unit_test.hpp>
#include <future>

#include "kernel/random.h"
#include "tests/peer/raw_peer.h"

namespace apricotwheel {
namespace {

struct node_fixture {
  metrics_ptr metrics = std::make_shared<prometheus::Registry>();
  std::atomic<int> handled = 0;
  std::unique_ptr<peer_node> node = StartNode("node.1", [&](auto& options) {
    options.metrics = metrics;
    options.max_frame_bytes = 64 * 1024;
  });

  node_fixture() {
    node->SetHandler(wire::body::job_request, [&](const auto&, const auto&) {
      ++handled;
      return MakeMessage(wire::job_responseT{});
    });
  }
  auto CounterReaches(const char* name, double expected) {
    return Eventually([&] { return CounterValue(*metrics, name) == expected; });
  }
  auto InvalidFrames(double expected) {
    return CounterReaches("apricotwheel_peer_invalid_frames_total", expected);
  }
  auto Rejected(double expected) {
    return CounterReaches("apricotwheel_peer_rejected_connections_total",
                          expected);
  }
};

void SendBytes(int socket, byte_view bytes) {
  BOOST_REQUIRE(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(bytes.size()));
}

// Guards against a frame that yields a payload although it was cut off, at any
// byte.
BOOST_AUTO_TEST_CASE(frames_cut_anywhere_yield_nothing) {
  const auto whole = EncodeFrame(EncodeMessage(JobRequest("x"), 1, false));
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    frame_reader reader(1024);
    reader.Append(byte_view(whole).first(cut));
    byte_buffer payload;
    BOOST_TEST(!reader.NextFrame(payload).value());
    BOOST_TEST(reader.PendingBytes() == cut);
    const auto body = byte_view(whole).subspan(kFrameHeaderBytes);
    if (cut < body.size())
      Attempt([&] { return DecodeMessage(body.first(cut)); });
  }
}

// Guards against a decoder that crashes on a flipped bit or returns a message
// without a body.
BOOST_AUTO_TEST_CASE(flipped_bits_never_yield_a_message_without_body) {
  const auto whole = EncodeMessage(JobRequest("some text"), 7, false);
  for (std::size_t bit = 0; bit < whole.size() * 8; ++bit) {
    auto copy = whole;
    copy[bit / 8] ^= static_cast<std::uint8_t>(1U << (bit % 8));
    const auto message = Attempt([&] { return DecodeMessage(copy); });
    if (message) {
      BOOST_TEST(message->body.value != nullptr);
    } else {
      BOOST_TEST((message.failure.kind == error_kind::kCorrupt));
    }
  }
}

// Guards against truncated, oversized, empty and unverifiable frames that leave
// the connection open, are not counted, or reach a handler.
BOOST_FIXTURE_TEST_CASE(invalid_frames_close_the_connection, node_fixture) {
  const auto connect = [&] {
    auto connection = ConnectRawClient(node->ListenAddress(), "node.1");
    BOOST_REQUIRE(connection);
    return connection;
  };
  auto connection = connect();
  connection->WriteFrame(byte_buffer(100, 0xab), TestDeadline());
  BOOST_TEST(ClosesInTime(*connection));
  BOOST_TEST(InvalidFrames(1));
  connection = connect();
  connection->WriteFrame(byte_buffer(64 * 1024 + 1), TestDeadline());
  BOOST_TEST(ClosesInTime(*connection));
  BOOST_TEST(InvalidFrames(2));
  connection = connect();
  connection->WriteFrame({}, TestDeadline());
  BOOST_TEST(ClosesInTime(*connection));
  BOOST_TEST(InvalidFrames(3));
  const auto whole = EncodeFrame(EncodeMessage(JobRequest("x"), 1, false));
  const int socket = ConnectRawSocket(node->ListenAddress());
  connection = WrapSocket(socket);
  BOOST_REQUIRE(Authenticate(*connection, "node.1"));
  SendBytes(socket, byte_view(whole).first(whole.size() - 1));
  connection.reset();
  BOOST_TEST(InvalidFrames(4));
  BOOST_TEST(handled == 0);
}

// Guards against a recorded handshake that is accepted a second time, an
// envelope that is parsed before the handshake is complete, and a silent
// connection that stays open forever.
BOOST_FIXTURE_TEST_CASE(unauthenticated_connections_are_rejected,
                        node_fixture) {
  const byte_buffer challenge(kChallengeBytes, 1);
  auto first = WrapSocket(ConnectRawSocket(node->ListenAddress()));
  first->WriteFrame(challenge, TestDeadline());
  byte_buffer server_challenge;
  BOOST_REQUIRE(first->ReadFrame(server_challenge, TestDeadline()).value());
  auto proof = HandshakeProof(kTestKey, "client", challenge, server_challenge,
                              "client.1");
  for (const char letter : std::string("client.1")) {
    proof.push_back(static_cast<std::uint8_t>(letter));
  }
  first->WriteFrame(proof, TestDeadline());
  byte_buffer server_proof;
  BOOST_REQUIRE(first->ReadFrame(server_proof, TestDeadline()).value());

  auto replayed = WrapSocket(ConnectRawSocket(node->ListenAddress()));
  replayed->WriteFrame(challenge, TestDeadline());
  BOOST_REQUIRE(replayed->ReadFrame(server_challenge, TestDeadline()).value());
  replayed->WriteFrame(proof, TestDeadline());
  BOOST_TEST(ClosesInTime(*replayed));
  BOOST_TEST(Rejected(1));

  auto eager = WrapSocket(ConnectRawSocket(node->ListenAddress()));
  eager->WriteFrame(EncodeMessage(JobRequest("x"), 1, false), TestDeadline());
  BOOST_TEST(ClosesInTime(*eager));
  BOOST_TEST(Rejected(2));

  auto silent = WrapSocket(ConnectRawSocket(node->ListenAddress()));
  BOOST_TEST(ClosesInTime(*silent));
  BOOST_TEST(Rejected(3));
  BOOST_TEST(handled == 0);
}

// Guards against a response that is delivered to a call with another
// correlation id, and against a request that is taken for a response.
BOOST_FIXTURE_TEST_CASE(response_to_a_wrong_id_is_dropped, node_fixture) {
  raw_server server;
  node->SetAddress("raw.1", server.address);
  auto call = std::async(std::launch::async, [&] {
    return Attempt([&] {
      return node->Call("raw.1", JobRequest("x"), milliseconds(600));
    });
  });
  const auto connection = server.Accept();
  BOOST_REQUIRE(connection);
  byte_buffer payload;
  BOOST_REQUIRE(connection->ReadFrame(payload, TestDeadline()).value());
  const auto id = DecodeMessage(payload).value().correlation_id;
  const auto reply = MakeMessage(wire::job_responseT{});
  connection->WriteFrame(EncodeMessage(reply, id + 1, true), TestDeadline());
  connection->WriteFrame(EncodeMessage(reply, id, false), TestDeadline());
  BOOST_TEST((call.get().failure.kind == error_kind::kTimeout));
  connection->WriteFrame(EncodeMessage(reply, id, true),
                         TestDeadline());  // The call has timed out.
  BOOST_TEST(CounterReaches("apricotwheel_peer_unmatched_replies_total", 3));
}

// Guards against a frozen peer that delays a caller past its timeout, and
// against a `timeout` for a frame that was not sent completely and thus had no
// effect.
BOOST_FIXTURE_TEST_CASE(frozen_peer_does_not_block_callers, node_fixture) {
  raw_server server;
  const auto sender = StartNode("sender.1");
  sender->SetAddress("raw.1", server.address);
  auto accepted =
      std::async(std::launch::async, [&] { return server.Accept(); });
  const auto call = [&](const std::string& text) {
    const auto start = std::chrono::steady_clock::now();
    const auto reply = Attempt([&] {
      return sender->Call("raw.1", JobRequest(text), milliseconds(300));
    });
    BOOST_TEST((std::chrono::steady_clock::now() - start < milliseconds(1500)));
    return reply.failure.kind;
  };
  BOOST_TEST((call("small") == error_kind::kTimeout));
  const auto frozen = accepted.get();  // Nothing reads from it any more.
  BOOST_REQUIRE(frozen);
  const std::string large(7 << 20, 'x');
  auto kind = error_kind::kTimeout;  // Until the socket buffers are full.
  for (int i = 0; i < 5 && kind == error_kind::kTimeout; ++i)
    kind = call(large);
  BOOST_TEST((kind == error_kind::kUnavailable));
}

}  // namespace
}  // namespace apricotwheel

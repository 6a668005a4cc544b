// Limits of incoming connections in a cell of many daemons.
#include <boost/test/unit_test.hpp>
#include <vector>

#include "peer/incoming_connections.h"
#include "tests/peer/raw_peer.h"

namespace apricotwheel {
namespace {

using connection_list = std::vector<std::unique_ptr<peer_connection>>;

constexpr int kMembers = 97;

std::string MemberName(int index) { return "member." + std::to_string(index); }

// Returns true if the node still answers a request on this connection.
bool IsServed(peer_connection& connection) {
  const auto payload = EncodeMessage(JobRequest("x"), 7, false);
  if (connection.WriteFrame(payload, TestDeadline()) != write_outcome::kSent) {
    return false;
  }
  byte_buffer response;
  const auto read =
      Attempt([&] { return connection.ReadFrame(response, TestDeadline()); });
  return read && *read;
}

struct large_cell {
  metrics_ptr metrics = std::make_shared<prometheus::Registry>();
  std::unique_ptr<peer_node> node =
      StartNode("owner.1", [&](auto& options) { options.metrics = metrics; });

  large_cell() {
    node->SetHandler(wire::body::job_request, [](const auto&, const auto&) {
      return MakeMessage(wire::job_responseT{});
    });
    for (int i = 0; i < kMembers; ++i) {
      node->SetAddress(MemberName(i), "127.0.0.1:1");
    }
  }
  std::unique_ptr<peer_connection> Connect(const std::string& sender) const {
    return ConnectRawClient(node->ListenAddress(), "owner.1", sender);
  }
  double Rejected() const {
    return CounterValue(*metrics,
                        "apricotwheel_peer_rejected_connections_total");
  }
};

// Pattern: each of 97 daemons calls the owner of a pool. A fixed limit of 64
// connections rejected the others about 900 times a second.
BOOST_FIXTURE_TEST_CASE(each_member_of_a_large_cell_keeps_its_connection,
                        large_cell) {
  connection_list connections;
  for (int i = 0; i < kMembers; ++i) {
    connections.push_back(Connect(MemberName(i)));
    BOOST_REQUIRE(connections.back() != nullptr);
  }
  for (const auto& connection : connections) BOOST_TEST(IsServed(*connection));
  BOOST_TEST(Rejected() == 0);
}

// Guards against processes outside the member list that keep members out, with
// or without the key.
BOOST_FIXTURE_TEST_CASE(strangers_do_not_keep_members_out, large_cell) {
  connection_list silent;
  for (int i = 0; i < 200; ++i) {
    silent.push_back(WrapSocket(ConnectRawSocket(node->ListenAddress())));
  }
  connection_list strangers;
  int rejected = 0;
  for (int i = 0; i < 70; ++i) {
    strangers.push_back(Connect("stranger." + std::to_string(i)));
    if (!strangers.back() || !IsServed(*strangers.back())) ++rejected;
  }
  BOOST_TEST(rejected == 6);
  connection_list members;
  for (int i = 0; i < kMembers; ++i) {
    members.push_back(Connect(MemberName(i)));
    BOOST_REQUIRE(members.back() != nullptr);
    BOOST_TEST(IsServed(*members.back()));
  }
}

// Guards against connections of one member that pile up.
BOOST_FIXTURE_TEST_CASE(the_oldest_connection_of_a_member_is_closed,
                        large_cell) {
  connection_list connections;
  for (int i = 0; i < 5; ++i) {
    connections.push_back(Connect(MemberName(0)));
    BOOST_REQUIRE(connections.back() != nullptr);
    BOOST_TEST(IsServed(*connections.back()));
  }
  BOOST_TEST(ClosesInTime(*connections.front()));
  BOOST_TEST(IsServed(*connections.back()));
}

// Guards against a daemon that uses up its descriptors.
BOOST_AUTO_TEST_CASE(connections_leave_most_descriptors_free) {
  BOOST_TEST(ConnectionsForDescriptors(4100) == 1025U);
  BOOST_TEST(ConnectionsForDescriptors(100) == 64U);
  incoming_connections incoming(2);
  const auto open = [&](const std::string& member) {
    raw_server server;
    const int socket = ConnectRawSocket(server.address);
    const auto id = incoming.Add(WrapSocket(socket), 10);
    return id && (member.empty() || incoming.SetSender(*id, member, true));
  };
  BOOST_TEST(open(""));
  BOOST_TEST(open("member.1"));
  BOOST_TEST(open("member.2"));  // In place of the first.
  BOOST_TEST(!open("member.3"));
}

// Guards against a rejected link that connects again for each call: the peer's
// own calls to this daemon ended its backoff each time.
BOOST_AUTO_TEST_CASE(a_rejected_link_backs_off_although_the_peer_calls) {
  const raw_server busy;
  const auto node = StartNode("left.1");
  node->SetAddress("raw.1", busy.address);
  std::atomic<int> attempts = 0;
  std::atomic<bool> is_over = false;
  std::thread listener([&] {
    while (!is_over) {
      pollfd waiting{busy.listener, POLLIN, 0};
      if (::poll(&waiting, 1, 20) <= 0) continue;
      ::close(::accept(busy.listener, nullptr, nullptr));
      ++attempts;
    }
  });
  const auto end = runtime_clock::Running()->Now() + milliseconds(1000);
  while (runtime_clock::Running()->Now() < end) {
    // The peer connects here, which shows that it is alive.
    ConnectRawClient(node->ListenAddress(), "left.1", "raw.1");
    BOOST_TEST((Attempt([&] {
                  return node->Call("raw.1", JobRequest("x"), milliseconds(50));
                }).failure.kind == error_kind::kUnavailable));
  }
  is_over = true;
  listener.join();
  // Waits of 50 ms, doubled each time and shortened by at most half.
  BOOST_TEST(attempts <= 8);
}

}  // namespace
}  // namespace apricotwheel

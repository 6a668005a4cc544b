#pragma once

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <string>
#include <thread>

#include "peer/envelope.h"
#include "peer/handshake.h"
#include "peer/peer_connection.h"
#include "peer/peer_node.h"

// Helpers of the peer tests: nodes on free loopback ports, and a peer whose
// frames the test sends one by one, in order to violate the protocol.
namespace apricotwheel {

inline const std::string kTestKey(32, 'k');

template <class Change>
std::unique_ptr<peer_node> StartNode(const std::string& member_id,
                                     Change change) {
  peer_node_options options;
  options.member_id = member_id;
  options.listen_address = "127.0.0.1:0";
  options.key = kTestKey;
  change(options);
  return Attempt([&] { return peer_node::Start(options); }).value.value();
}
inline std::unique_ptr<peer_node> StartNode(const std::string& member_id) {
  return StartNode(member_id, [](auto&) {});
}

inline wire_message JobRequest(const std::string& text) {
  wire::job_requestT body;
  body.body = text;
  return MakeMessage(std::move(body));
}

template <class Condition>
bool Eventually(Condition condition) {
  for (int i = 0; i < 500; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return condition();
}

inline double CounterValue(prometheus::Registry& metrics,
                           const std::string& name) {
  for (const auto& family : metrics.Collect()) {
    if (family.name == name) return family.metric.at(0).counter.value;
  }
  return -1;
}

inline time_point TestDeadline() {
  return runtime_clock::Running()->Now() + milliseconds(5000);
}

inline std::unique_ptr<peer_connection> WrapSocket(int socket) {
  ConfigureSocket(socket);
  return std::make_unique<peer_connection>(socket, 8 << 20,
                                           runtime_clock::Running(),
                                           std::make_shared<peer_traffic>());
}

inline int ConnectRawSocket(const std::string& address) {
  const auto clock = runtime_clock::Running();
  return Attempt([&] { return ConnectSocket(address, *clock, TestDeadline()); })
      .value.value();
}

// Authenticates to a node as `client_id`. Returns true if the node has the
// member id `server_id`.
inline bool Authenticate(peer_connection& connection,
                         const std::string& server_id,
                         const std::string& client_id = "client.1") {
  const auto server = Attempt([&] {
    return AuthenticateAsClient(connection, kTestKey, client_id,
                                TestDeadline());
  });
  return server && *server == server_id;
}

inline std::unique_ptr<peer_connection> ConnectRawClient(
    const std::string& address, const std::string& server_id,
    const std::string& client_id = "client.1") {
  auto connection = WrapSocket(ConnectRawSocket(address));
  return Authenticate(*connection, server_id, client_id) ? std::move(connection)
                                                         : nullptr;
}

// Listens for connections of a node and authenticates as `raw.1`.
struct raw_server {
  int listener =
      Attempt([] { return ListenSocket("127.0.0.1:0"); }).value.value();
  std::string address = LocalAddress(listener);

  ~raw_server() { ::close(listener); }
  std::unique_ptr<peer_connection> Accept() const {
    WaitSocket(listener, POLLIN, *runtime_clock::Running(), TestDeadline());
    auto connection = WrapSocket(::accept(listener, nullptr, nullptr));
    const auto client = Attempt([&] {
      return AuthenticateAsServer(*connection, kTestKey, "raw.1",
                                  TestDeadline());
    });
    return client ? std::move(connection) : nullptr;
  }
};

// Returns true if the peer closes the connection before the test deadline.
inline bool ClosesInTime(peer_connection& connection) {
  byte_buffer payload;
  const auto read =
      Attempt([&] { return connection.ReadFrame(payload, TestDeadline()); });
  return read ? !*read : read.failure.kind == error_kind::kIo;
}

}  // namespace apricotwheel

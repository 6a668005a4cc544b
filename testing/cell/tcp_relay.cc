#include "testing/cell/tcp_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>

#include "clients/http_listener.h"
#include "kernel/thread_group.h"

namespace apricotwheel::testing {

namespace {

constexpr int kPollIntervalMs = 20;
constexpr int kListenBacklog = 256;

sockaddr_in ToSocketAddress(const ip_endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  return address;
}

void SetNoDelay(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool WriteAll(int descriptor, const char* data, ssize_t size) {
  while (size > 0) {
    const ssize_t written =
        send(descriptor, data, static_cast<std::size_t>(size), MSG_NOSIGNAL);
    if (written <= 0) return false;
    data += written;
    size -= written;
  }
  return true;
}

}  // namespace

struct tcp_relay::state {
  int listener = -1;
  std::string address;
  sockaddr_in target{};
  std::atomic<relay_mode> mode = relay_mode::kForward;
  std::atomic<bool> stopped = false;
  thread_group threads;

  void AcceptConnections();
  void RelayConnection(int client);
  bool ForwardBytes(int from, int to, bool to_server) const;
};

void tcp_relay::state::AcceptConnections() {
  while (!stopped) {
    pollfd waiting{listener, POLLIN, 0};
    if (poll(&waiting, 1, kPollIntervalMs) <= 0) continue;
    const int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) continue;
    if (mode == relay_mode::kRefuse) {
      close(client);
      continue;
    }
    const auto spawned = Attempt([&] {
      return threads.Spawn("relay",
                           [this, client] { RelayConnection(client); });
    });
    if (!spawned) close(client);
  }
}

void tcp_relay::state::RelayConnection(int client) {
  const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto* raw = reinterpret_cast<const sockaddr*>(&target);
  if (connect(server, raw, sizeof target) == 0) {
    SetNoDelay(client);
    SetNoDelay(server);
    while (!stopped && mode != relay_mode::kRefuse) {
      std::array<pollfd, 2> waiting{{{client, POLLIN, 0}, {server, POLLIN, 0}}};
      if (poll(waiting.data(), waiting.size(), kPollIntervalMs) <= 0) continue;
      if (waiting[0].revents != 0 && !ForwardBytes(client, server, true)) break;
      if (waiting[1].revents != 0 && !ForwardBytes(server, client, false))
        break;
    }
  }
  close(server);
  close(client);
}

bool tcp_relay::state::ForwardBytes(int from, int to, bool to_server) const {
  std::array<char, 16384> buffer;
  const ssize_t count = recv(from, buffer.data(), buffer.size(), 0);
  if (count <= 0) return false;
  const relay_mode current = mode;
  const bool dropped = current == relay_mode::kDropBoth ||
                       (to_server && current == relay_mode::kDropToServer) ||
                       (!to_server && current == relay_mode::kDropToClient);
  return dropped || WriteAll(to, buffer.data(), count);
}

tcp_relay::tcp_relay(std::shared_ptr<state> initial)
    : state_(std::move(initial)) {}

tcp_relay::~tcp_relay() {
  state_->stopped = true;
  state_->threads.JoinAll();
  close(state_->listener);
}

result<std::unique_ptr<tcp_relay>> tcp_relay::Start(
    const std::string& listen_address, const std::string& target) {
  BOOST_LEAF_AUTO(listen_endpoint, ParseEndpoint(listen_address));
  BOOST_LEAF_AUTO(target_endpoint, ParseEndpoint(target));
  auto initial = std::make_shared<state>();
  initial->address = listen_address;
  initial->target = ToSocketAddress(target_endpoint);
  initial->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(initial->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ToSocketAddress(listen_endpoint);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address);
  if (bind(initial->listener, raw, sizeof address) != 0 ||
      listen(initial->listener, kListenBacklog) != 0) {
    close(initial->listener);
    return Fail(error_kind::kIo, "cannot listen on " + listen_address,
                "use a free loopback port");
  }
  std::unique_ptr<tcp_relay> relay(new tcp_relay(initial));
  BOOST_LEAF_CHECK(initial->threads.Spawn(
      "relay-accept", [state = initial.get()] { state->AcceptConnections(); }));
  return relay;
}

void tcp_relay::SetMode(relay_mode mode) { state_->mode = mode; }

const std::string& tcp_relay::Address() const { return state_->address; }

}  // namespace apricotwheel::testing

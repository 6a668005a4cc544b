#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>

#include "peer/peer_connection.h"

namespace apricotwheel {

namespace {

// Longest single poll, so that a wait notices when a paused clock is advanced.
constexpr auto kMaxPollTime = milliseconds(20);
// A connection fails when sent data stays unacknowledged for this long, or
// after keep-alive probes have gone unanswered for as long. Only a dead host is
// detected this way: the host of a paused process still acknowledges.
constexpr int kDeadHostTimeoutMs = 5000;
constexpr int kListenBacklog = 128;

result<sockaddr_in> ParseAddress(std::string_view address) {
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  const auto colon = address.rfind(':');
  std::uint16_t port = 0;
  if (colon != std::string_view::npos) {
    const std::string ip(address.substr(0, colon));
    const char* end = address.data() + address.size();
    const auto [stop, status] =
        std::from_chars(address.data() + colon + 1, end, port);
    if (status == std::errc() && stop == end &&
        ::inet_pton(AF_INET, ip.c_str(), &parsed.sin_addr) == 1) {
      parsed.sin_port = htons(port);
      return parsed;
    }
  }
  return Fail(error_kind::kInvalidArgument,
              "'" + std::string(address) + "' is not an address",
              "write an IPv4 number and a port, for example 10.0.0.1:7100");
}

const sockaddr* AsSockaddr(const sockaddr_in& address) {
  // The socket API requires this cast.
  return reinterpret_cast<const sockaddr*>(&address);
}

void SetOption(int socket, int level, int name, int value) {
  ::setsockopt(socket, level, name, &value, sizeof(value));
}

// Returns 0 and a connected socket, or the error number.
int TryConnect(const sockaddr_in& target, runtime_clock& clock,
               time_point deadline, int& connected) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket < 0) return errno;
  ConfigureSocket(socket);
  int code = 0;
  if (::connect(socket, AsSockaddr(target), sizeof(target)) != 0) {
    code = errno;
    if (code == EINPROGRESS) {
      code = ETIMEDOUT;
      if (WaitSocket(socket, POLLOUT, clock, deadline)) {
        socklen_t size = sizeof(code);
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &code, &size);
      }
    }
  }
  if (code == 0) {
    connected = socket;
  } else {
    ::close(socket);
  }
  return code;
}

}  // namespace

void ConfigureSocket(int socket) {
  ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kDeadHostTimeoutMs);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, 2);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, 3);
}

bool WaitSocket(int socket, short events, runtime_clock& clock,
                time_point deadline) {
  // A wait without a deadline ends when data arrives or the socket is shut
  // down, so it needs no periodic wake-ups.
  const bool is_unbounded = deadline == time_point::max();
  while (true) {
    const auto remaining = deadline - clock.Now();
    if (remaining <= duration::zero()) return false;
    const auto poll_time = std::chrono::ceil<milliseconds>(
        std::min<duration>(remaining, kMaxPollTime));
    pollfd entry{socket, events, 0};
    const int ready = ::poll(
        &entry, 1, is_unbounded ? -1 : static_cast<int>(poll_time.count()));
    if (ready > 0) return true;
    if (ready < 0 && errno != EINTR) return true;  // Reported by the next call.
  }
}

result<int> ConnectSocket(std::string_view address, runtime_clock& clock,
                          time_point deadline) {
  BOOST_LEAF_AUTO(target, ParseAddress(address));
  int socket = -1;
  const int code = TryConnect(target, clock, deadline, socket);
  if (code == 0) return socket;
  return Fail(
      error_kind::kUnavailable,
      "cannot connect to " + std::string(address) + ": " + std::strerror(code),
      "check that the daemon runs and that the address is right");
}

listener_state ProbeListener(std::string_view address, runtime_clock& clock,
                             time_point deadline) {
  const auto target = Attempt([&] { return ParseAddress(address); });
  if (!target) return listener_state::kUnknown;
  int socket = -1;
  const int code = TryConnect(*target.value, clock, deadline, socket);
  if (code != 0) {
    return code == ECONNREFUSED ? listener_state::kNotListening
                                : listener_state::kUnknown;
  }
  ::close(socket);
  return listener_state::kListening;
}

result<int> ListenSocket(std::string_view address) {
  BOOST_LEAF_AUTO(local, ParseAddress(address));
  const int socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (socket >= 0) {
    SetOption(socket, SOL_SOCKET, SO_REUSEADDR, 1);
    if (::bind(socket, AsSockaddr(local), sizeof(local)) == 0 &&
        ::listen(socket, kListenBacklog) == 0) {
      return socket;
    }
  }
  const int code = errno;
  if (socket >= 0) ::close(socket);
  return Fail(
      error_kind::kIo,
      "cannot listen on " + std::string(address) + ": " + std::strerror(code),
      "choose an address of this machine with a free port");
}

std::string LocalAddress(int socket) {
  sockaddr_in local{};
  socklen_t size = sizeof(local);
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&local), &size);
  char text[INET_ADDRSTRLEN] = {};
  ::inet_ntop(AF_INET, &local.sin_addr, text, sizeof(text));
  return std::string(text) + ":" + std::to_string(ntohs(local.sin_port));
}

}  // namespace apricotwheel

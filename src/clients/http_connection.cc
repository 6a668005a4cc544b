#include "clients/http_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

namespace apricotwheel {

namespace {

constexpr std::size_t kMaxLineBytes = 16 * 1024;
// Status lines, headers, interim responses and trailers of one response.
constexpr std::size_t kMaxHeadBytes = 64 * 1024;
constexpr std::size_t kMaxResponseBytes = 64 << 20;
constexpr std::size_t kMaxIdleConnections = 8;
constexpr std::size_t kReadBufferBytes = 16 * 1024;

time_point Now() {
  static const clock_ptr clock = runtime_clock::Running();
  return clock->Now();
}

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

boost::leaf::error_id FailUnavailable(const std::string& message) {
  return Fail(error_kind::kUnavailable, message,
              "check the address and that the service runs");
}
boost::leaf::error_id FailTimeout(const std::string& message) {
  return Fail(error_kind::kTimeout, message,
              "read the state back before repeating the call");
}
boost::leaf::error_id FailCorrupt(const std::string& message) {
  return Fail(error_kind::kCorrupt, message,
              "check the server; the request may have taken effect");
}

// Waits for `events`; returns false when the deadline passes or poll fails.
bool WaitReady(int socket, short events, time_point deadline) {
  while (true) {
    const auto remaining =
        std::chrono::ceil<milliseconds>(deadline - Now()).count();
    if (remaining <= 0) return false;
    pollfd entry{socket, events, 0};
    const int ready = poll(
        &entry, 1, static_cast<int>(std::min<std::int64_t>(remaining, 60000)));
    if (ready > 0) return true;
    if (ready < 0 && errno != EINTR) return false;
  }
}

bool ParseNumber(std::string_view text, int base, std::size_t& number) {
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number, base);
  return !text.empty() && parsed.ec == std::errc() &&
         parsed.ptr == text.data() + text.size();
}

// Returns true if an idle connection was closed by the peer or holds bytes that
// belong to no request, such as a second response.
bool IsStaleConnection(int socket) {
  pollfd entry{socket, POLLIN | POLLRDHUP, 0};
  return poll(&entry, 1, 0) != 0;
}

bool HasNoLineBreaks(std::string_view text) {
  return text.find_first_of("\r\n") == std::string_view::npos &&
         text.find('\0') == std::string_view::npos;
}

}  // namespace

std::string_view FindHeader(const header_list& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoreCase(key, name)) return value;
  }
  return {};
}

void http_connection::Close() {
  const std::lock_guard lock(socket_mutex_);
  if (socket_ >= 0) close(socket_);
  socket_ = -1;
  buffer_.clear();
}

void http_connection::Interrupt() {
  const std::lock_guard lock(socket_mutex_);
  is_interrupted_ = true;
  if (socket_ >= 0) shutdown(socket_, SHUT_RDWR);
}

result<void> http_connection::Connect(time_point deadline) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(peer_.port));
  if (inet_pton(AF_INET, peer_.ip.c_str(), &address.sin_addr) != 1) {
    return Fail(error_kind::kInvalidArgument,
                peer_.ip + " is not an IPv4 address",
                "give an address as ip:port");
  }
  const std::string peer = peer_.ip + ":" + std::to_string(peer_.port);
  {
    const std::lock_guard lock(socket_mutex_);
    if (is_interrupted_) return FailUnavailable("the call was interrupted");
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  }
  if (socket_ < 0) return FailUnavailable("cannot create a socket for " + peer);
  const int on = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const auto* generic_address = reinterpret_cast<const sockaddr*>(&address);
  if (connect(socket_, generic_address, sizeof address) == 0) return {};
  int error_code = errno;
  if (error_code == EINPROGRESS) {
    error_code = ETIMEDOUT;
    if (WaitReady(socket_, POLLOUT, deadline)) {
      socklen_t size = sizeof error_code;
      getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error_code, &size);
    }
  }
  if (error_code == 0) return {};
  Close();
  return FailUnavailable("cannot connect to " + peer);
}

result<void> http_connection::SendAll(std::string_view data,
                                      time_point deadline) {
  bool sent_any = false;
  while (!data.empty()) {
    const ssize_t sent = send(socket_, data.data(), data.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      sent_any = true;
      data.remove_prefix(static_cast<std::size_t>(sent));
    } else if (errno == EAGAIN || errno == EINTR) {
      if (!WaitReady(socket_, POLLOUT, deadline)) {
        if (!sent_any)
          return FailUnavailable("no byte was sent before the deadline");
        return FailTimeout(
            "the request was sent only in part before the deadline");
      }
    } else if (!sent_any) {
      return FailUnavailable(
          "the connection closed before the first byte was sent");
    } else {
      return FailTimeout(
          "the connection closed while the request was being sent");
    }
  }
  return {};
}

result<void> http_connection::FillBuffer(time_point deadline) {
  while (true) {
    if (!WaitReady(socket_, POLLIN, deadline)) {
      return FailTimeout("no complete response before the deadline");
    }
    char chunk[kReadBufferBytes];
    const ssize_t count = recv(socket_, chunk, sizeof chunk, 0);
    if (count > 0) {
      buffer_.append(chunk, static_cast<std::size_t>(count));
      response_started_ = true;
      return {};
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) continue;
    if (response_started_) return FailCorrupt("the response is truncated");
    return FailTimeout("the connection closed without a response");
  }
}

result<std::string> http_connection::ReadLine(time_point deadline) {
  while (true) {
    const auto end = buffer_.find("\r\n");
    if (end != std::string::npos) {
      std::string line = buffer_.substr(0, end);
      buffer_.erase(0, end + 2);
      return line;
    }
    if (buffer_.size() > kMaxLineBytes)
      return FailCorrupt("a line of the response is too long");
    BOOST_LEAF_CHECK(FillBuffer(deadline));
  }
}

result<void> http_connection::ReadExactly(std::size_t count,
                                          std::string& output,
                                          time_point deadline) {
  if (count > kMaxResponseBytes || output.size() + count > kMaxResponseBytes) {
    return FailCorrupt("the response is too long");
  }
  while (buffer_.size() < count) BOOST_LEAF_CHECK(FillBuffer(deadline));
  output.append(buffer_, 0, count);
  buffer_.erase(0, count);
  return {};
}

result<http_response> http_connection::ReadResponse(const http_request& request,
                                                    time_point deadline) {
  http_response response;
  std::size_t head_bytes = 0;
  const auto read_head_line = [&]() -> result<std::string> {
    BOOST_LEAF_AUTO(line, ReadLine(deadline));
    head_bytes += line.size() + 2;
    if (head_bytes > kMaxHeadBytes)
      return FailCorrupt("the head of the response is too long");
    return line;
  };
  do {
    BOOST_LEAF_AUTO(line, read_head_line());
    std::size_t status = 0;
    if (line.size() < 12 || line.compare(0, 7, "HTTP/1.") != 0 ||
        !ParseNumber(std::string_view{line}.substr(9, 3), 10, status)) {
      return FailCorrupt("the response has a malformed status line");
    }
    response = {};
    response.status = static_cast<int>(status);
    while (true) {
      BOOST_LEAF_AUTO(header, read_head_line());
      if (header.empty()) break;
      const auto colon = header.find(':');
      if (colon == std::string::npos || response.headers.size() > 256) {
        return FailCorrupt("the response has a malformed header");
      }
      const auto begin = header.find_first_not_of(" \t", colon + 1);
      response.headers.emplace_back(
          header.substr(0, colon),
          begin == std::string::npos ? "" : header.substr(begin));
    }
  } while (response.status < 200);

  if (request.method == "HEAD" || response.status == 204 ||
      response.status == 304) {
    return response;
  }
  if (EqualsIgnoreCase(FindHeader(response.headers, "Transfer-Encoding"),
                       "chunked")) {
    while (true) {
      BOOST_LEAF_AUTO(line, ReadLine(deadline));
      std::size_t size = 0;
      if (!ParseNumber(std::string_view{line}.substr(0, line.find(';')), 16,
                       size)) {
        return FailCorrupt("the response has a malformed chunk size");
      }
      if (size == 0) break;
      BOOST_LEAF_CHECK(ReadExactly(size, response.body, deadline));
      BOOST_LEAF_AUTO(end, ReadLine(deadline));
      if (!end.empty())
        return FailCorrupt("a chunk is longer than its declared size");
    }
    while (true) {
      BOOST_LEAF_AUTO(trailer, read_head_line());
      if (trailer.empty()) return response;
    }
  }
  std::size_t length = 0;
  // A body that is delimited by the end of the connection cannot be told from a
  // truncated one.
  if (!ParseNumber(FindHeader(response.headers, "Content-Length"), 10,
                   length)) {
    return FailCorrupt("the response has no Content-Length");
  }
  BOOST_LEAF_CHECK(ReadExactly(length, response.body, deadline));
  return response;
}

result<http_response> http_connection::Exchange(const http_request& request,
                                                duration connect_timeout,
                                                duration timeout) {
  bool is_valid = HasNoLineBreaks(request.method) &&
                  HasNoLineBreaks(request.target) &&
                  request.target.find(' ') == std::string::npos;
  std::string head =
      request.method + " " + request.target + " HTTP/1.1\r\nHost: " + peer_.ip +
      ":" + std::to_string(peer_.port) +
      "\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
  for (const auto& [key, value] : request.headers) {
    is_valid = is_valid && HasNoLineBreaks(key) && HasNoLineBreaks(value);
    head += key;
    head += ": ";
    head += value;
    head += "\r\n";
  }
  if (!is_valid) {
    return Fail(error_kind::kInvalidArgument,
                "the method, target or a header has a control character",
                "remove line breaks and NUL, and spaces in the target");
  }
  head += "\r\n";
  head += request.body;

  const auto start = Now();
  const auto deadline = start + timeout;
  if (socket_ >= 0 && (!buffer_.empty() || IsStaleConnection(socket_))) Close();
  response_started_ = false;
  if (socket_ < 0) {
    if (request.needs_open_connection) {
      return Fail(error_kind::kConflict, "the connection has closed",
                  "find out which process listens there now");
    }
    BOOST_LEAF_CHECK(Connect(std::min(deadline, start + connect_timeout)));
  }
  // `response` is only inspected, so that an error is returned unchanged.
  auto response = [&]() -> result<http_response> {
    BOOST_LEAF_CHECK(SendAll(head, deadline));
    return ReadResponse(request, deadline);
  }();
  if (!response ||
      EqualsIgnoreCase(FindHeader(response->headers, "Connection"), "close")) {
    Close();
  }
  return response;
}

std::unique_ptr<http_connection> http_connection_pool::Acquire() {
  const std::lock_guard lock(mutex_);
  if (is_interrupted_) return nullptr;
  std::unique_ptr<http_connection> connection;
  if (!idle_.empty()) {
    connection = std::move(idle_.back());
    idle_.pop_back();
  } else {
    connection = std::make_unique<http_connection>(peer_);
  }
  active_.insert(connection.get());
  return connection;
}

void http_connection_pool::Release(
    std::unique_ptr<http_connection> connection) {
  const std::lock_guard lock(mutex_);
  active_.erase(connection.get());
  // A connection is closed after a failure and is not kept.
  if (connection->IsOpen() && !is_interrupted_ &&
      idle_.size() < kMaxIdleConnections) {
    idle_.push_back(std::move(connection));
  }
}

result<http_response> http_connection_pool::Call(const http_request& request,
                                                 duration connect_timeout,
                                                 duration timeout) {
  struct scoped_connection {
    http_connection_pool* pool;
    std::unique_ptr<http_connection> connection;
    ~scoped_connection() {
      if (connection) pool->Release(std::move(connection));
    }
  };
  const scoped_connection acquired{this, Acquire()};
  if (!acquired.connection) {
    return FailUnavailable("the connection pool is shut down");
  }
  return acquired.connection->Exchange(request, connect_timeout, timeout);
}

void http_connection_pool::Interrupt() {
  const std::lock_guard lock(mutex_);
  is_interrupted_ = true;
  for (auto* connection : active_) connection->Interrupt();
}

}  // namespace apricotwheel

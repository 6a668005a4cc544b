#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "clients/http_listener.h"
#include "clients/instance_client.h"
#include "kernel/clock.h"
#include "kernel/error.h"

namespace apricotwheel {

struct http_request {
  std::string method = "POST";
  std::string target;
  header_list headers;
  std::string body;
  // Send it only on the connection of an earlier exchange that is still open.
  bool needs_open_connection = false;
};

struct http_response {
  int status = 0;
  header_list headers;
  std::string body;
};

// Returns the value of the first header `name`, compared without regard to
// case, or an empty string.
std::string_view FindHeader(const header_list& headers, std::string_view name);

// One HTTP/1.1 client connection. It replaces the client of cpp-httplib, which
// limits the time of each read but not of the whole exchange, does not report
// whether any byte was sent, and accepts a body without a length.
class http_connection {
 public:
  explicit http_connection(ip_endpoint peer) : peer_(std::move(peer)) {}
  ~http_connection() { Close(); }
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;

  // Sends a request and reads the whole response. Fails with
  //  `unavailable` if no byte of the request can have been sent,
  //  `conflict` if nothing was sent because it needs an open connection,
  //  `timeout` if the connection ended before the response began or the time
  //    ran out,
  //  `corrupt` if the response is malformed or truncated.
  // The connection is closed after any failure.
  result<http_response> Exchange(const http_request& request,
                                 duration connect_timeout, duration timeout);

  bool IsOpen() const { return socket_ >= 0; }
  void Close();

  // Aborts the exchange that another thread runs, as if the peer had closed the
  // connection. The connection cannot be used again.
  void Interrupt();

 private:
  result<void> Connect(time_point deadline);
  result<void> SendAll(std::string_view data, time_point deadline);
  result<std::string> ReadLine(time_point deadline);
  result<void> ReadExactly(std::size_t count, std::string& output,
                           time_point deadline);
  result<void> FillBuffer(time_point deadline);
  result<http_response> ReadResponse(const http_request& request,
                                     time_point deadline);

  ip_endpoint peer_;
  std::mutex socket_mutex_;  // Held to open, close or shut down `socket_`.
  int socket_ = -1;
  bool is_interrupted_ = false;  // Guarded by socket_mutex_.
  std::string buffer_;
  bool response_started_ = false;
};

// Thread-safe pool of keep-alive connections to one address.
class http_connection_pool {
 public:
  explicit http_connection_pool(ip_endpoint peer) : peer_(std::move(peer)) {}
  result<http_response> Call(const http_request& request,
                             duration connect_timeout, duration timeout);

  // Aborts the calls in flight; later calls fail with `unavailable`.
  void Interrupt();

 private:
  // Returns null after `Interrupt`.
  std::unique_ptr<http_connection> Acquire();
  void Release(std::unique_ptr<http_connection> connection);

  ip_endpoint peer_;
  std::mutex mutex_;
  std::set<http_connection*> active_;
  bool is_interrupted_ = false;
  std::vector<std::unique_ptr<http_connection>> idle_;
};

}  // namespace apricotwheel

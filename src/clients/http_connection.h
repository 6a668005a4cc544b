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
};

struct http_response {
  int status = 0;
  header_list headers;
  std::string body;
};

// The value of the first header called `name` in any case, or empty.
std::string_view FindHeader(const header_list& headers, std::string_view name);

// One HTTP/1.1 client connection. cpp-httplib's client limits each read but not
// the whole call, does not tell whether a byte was sent, and accepts a body
// without a length, so the clients of this package use this class instead.
class http_connection {
 public:
  explicit http_connection(ip_endpoint peer) : peer_(std::move(peer)) {}
  ~http_connection() { Close(); }
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;

  // Sends a request and reads its whole reply. Fails with
  //  `unavailable` if no byte can have been sent,
  //  `timeout` if the connection ended before a reply began or the time ran
  //  out, `corrupt` if the reply is malformed or cut short.
  // The connection is closed after any failure.
  result<http_response> Exchange(const http_request& request,
                                 duration connect_timeout, duration timeout);

  bool IsOpen() const { return socket_ >= 0; }
  void Close();

  // Ends the exchange that runs in another thread, as if the peer had closed
  // the connection. The connection cannot be used again.
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
  std::mutex socket_mutex_;  // Held to change `socket_` or to interrupt it.
  int socket_ = -1;
  bool is_interrupted_ = false;  // Guarded by socket_mutex_.
  std::string buffer_;
  bool response_started_ = false;
};

// Keep-alive connections to one address, shared by many threads.
class http_connection_pool {
 public:
  explicit http_connection_pool(ip_endpoint peer) : peer_(std::move(peer)) {}
  result<http_response> Call(const http_request& request,
                             duration connect_timeout, duration timeout);

  // Ends the running calls and refuses later ones as `unavailable`.
  void Interrupt();

 private:
  // Null after an interrupt.
  std::unique_ptr<http_connection> Acquire();
  void Release(std::unique_ptr<http_connection> connection);

  ip_endpoint peer_;
  std::mutex mutex_;
  std::set<http_connection*> active_;
  bool is_interrupted_ = false;
  std::vector<std::unique_ptr<http_connection>> idle_;
};

}  // namespace apricotwheel

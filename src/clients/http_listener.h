#pragma once

#include <httplib.h>

#include <cstddef>
#include <memory>
#include <string>

#include "clients/request_limits.h"
#include "kernel/clock.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/thread_group.h"

namespace apricotwheel {

struct http_listener_options {
  std::string address;  // ip:port; port 0 takes a free one.
  std::size_t max_connections = 512;
  duration keep_alive = std::chrono::seconds(60);
  request_limits limits = {};
  // Memory that all incomplete and running requests may hold together; 0 takes
  // a quarter of the machine's memory.
  std::size_t max_request_memory_bytes = 0;
  log_sink log = {};
  metrics_ptr metrics = {};  // Null counts nothing.
};

// Name under which a route sees the header Accept-Encoding. The library does
// not compress responses.
inline constexpr const char* kHiddenAcceptEncoding =
    "Accept-Encoding-not-applied";

// An HTTP server with one thread for each connection. A connection over
// `max_connections` takes the slot of one that keeps the daemon waiting, see
// `connection_slots`. If all of them have requests that are being handled, it
// receives a 503 with Retry-After and the header `Apricotwheel-Outcome:
// not_run`, and is closed. So does a request outside the limits, with the
// status of its `refusal_answer`.
class http_listener {
 public:
  // Opens the listening socket. Routes are added to `Server()` before `Start`.
  // The pre- and post-routing handlers are taken: they reject a target over
  // 8000 bytes with 414 and add `Connection: close` to responses during a stop.
  // A route sees the first 128 bytes of a path; `PathOf` has all of it. The
  // library does not apply Range and does not parse multipart bodies.
  static result<std::unique_ptr<http_listener>> Bind(
      http_listener_options options);
  ~http_listener();

  httplib::Server& Server();
  // Returns the address with the actual port.
  const std::string& Address() const;

  // Serves requests in the background until `Stop`.
  result<void> Start();
  // Stops listening and waits for the open connections to close. Requests that
  // are being handled receive their response. A request that is still
  // incomplete one second after the call is dropped.
  void Stop();

  std::size_t OpenConnections() const;

  // Returns the descriptor of the connection whose request the calling thread
  // handles, or -1. Test stand-ins use it to inject connection faults.
  static int CurrentSocket();

  // Charges the request that the calling thread handles with more memory, until
  // its end. Elsewhere, grants all.
  static memory_grant ReserveMemory(std::size_t bytes);

  // Returns the whole path of the request that the calling thread handles.
  static std::string PathOf(const httplib::Request& request);

 private:
  struct state;
  explicit http_listener(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

struct ip_endpoint {
  std::string ip;
  int port = 0;
};
// Parses "ip:port". Fails with `invalid_argument` on anything else.
result<ip_endpoint> ParseEndpoint(const std::string& address);

}  // namespace apricotwheel

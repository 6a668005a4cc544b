#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/clock.h"
#include "kernel/error.h"

namespace apricotwheel {

using header_list = std::vector<std::pair<std::string, std::string>>;

struct instance_request {
  std::string method;
  std::string path;  // Starts with '/' and includes the query.
  header_list headers;
  std::string body;
  std::string correlation_id;  // Echoed by the instance.
  // Epoch of the worker's partition, sent as Apricotwheel-Epoch.
  std::uint64_t epoch = 0;
};

struct instance_response {
  int status = 0;
  header_list headers;
  std::string body;
};

struct instance_usage {
  std::uint32_t slots_in_use = 0;
  // Connections to the instance, without the one that carries this request.
  std::uint32_t connections = 0;
};

struct instance_client_options {
  std::string address;  // ip:port
  duration connect_timeout = milliseconds(300);
};

// One connection to one service instance. Not thread-safe: the owner of the
// instance keeps one client for each connection and can therefore count the
// connections exactly. The protocol is in docs/contracts/instance.md.
class instance_client {
 public:
  // Parses the address and does not connect.
  static result<std::unique_ptr<instance_client>> Create(
      instance_client_options options);
  ~instance_client();

  // Sends a request and returns the whole response. Connects first if the
  // connection is not open or the instance has closed it. Fails with
  //  `unavailable` if no byte of the request can have been sent,
  //  `stale_epoch` if the instance rejected the epoch with 412: the request did
  //    not run,
  //  `capacity` if the instance has no free slot (503 with the header
  //    Apricotwheel-Outcome: not_run): the request did not run,
  //  `timeout` if the whole response did not arrive within `timeout` or the
  //    connection ended before the response began: the request may have run,
  //  `corrupt` if the response is truncated or carries another correlation id:
  //    the request may have run.
  // The connection is closed after any failure.
  result<instance_response> Send(const instance_request& request,
                                 duration timeout);

  // Requests the number of slots and connections in use as the instance counts
  // them. Connects like `Send` and waits at most 1 s.
  result<instance_usage> FetchUsage();

  bool IsOpen() const;
  void Close();

 private:
  struct state;
  explicit instance_client(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel

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
  std::string path;  // With the query, starting with '/'.
  header_list headers;
  std::string body;
  std::string correlation_id;  // Echoed by the instance.
  std::uint64_t epoch = 0;     // Sent as Apricotwheel-Epoch.
};

struct instance_response {
  int status = 0;
  header_list headers;
  std::string body;
};

struct instance_usage {
  std::uint32_t slots_in_use = 0;
  std::uint32_t connections = 0;  // Without the one that asks.
};

struct instance_client_options {
  std::string address;  // ip:port
  duration connect_timeout = milliseconds(300);
};

// One connection to one service instance; not safe for concurrent calls, so
// that the owner of the instance counts connections exactly. The protocol is in
// docs/contracts/instance.md.
class instance_client {
 public:
  static result<std::unique_ptr<instance_client>> Create(
      instance_client_options options);
  ~instance_client();

  // Sends a request and returns the whole answer. Fails with
  //  `unavailable` if no byte of the request can have been sent,
  //  `stale_epoch` if the instance refused the epoch (412): it did not run,
  //  `capacity` if the instance refused for want of a slot (503 with the header
  //    Apricotwheel-Outcome: not_run): it did not run,
  //  `timeout` if no answer came before `timeout`: it may have run,
  //  `corrupt` if the answer was cut short or carries another correlation id:
  //    it may have run.
  // After any failure the connection is closed.
  result<instance_response> Send(const instance_request& request,
                                 duration timeout);

  // Reads the instance's own count of slots and connections in use.
  result<instance_usage> FetchUsage();

  bool IsOpen() const;
  void Close();

 private:
  struct state;
  explicit instance_client(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel

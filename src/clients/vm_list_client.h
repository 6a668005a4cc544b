#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "kernel/clock.h"
#include "kernel/error.h"
#include "kernel/resources.h"

namespace apricotwheel {

enum class vm_state { kLive, kLeaving };

struct vm_record {
  std::string id;
  std::string address;  // ip:port of the worker agent
  std::string failure_domain;
  std::string rack;
  vm_state state = vm_state::kLive;
  resource_vector capacity;
};

struct vm_list {
  std::uint64_t version = 0;
  std::vector<vm_record> vms;
};

struct vm_list_client_options {
  std::string address;  // ip:port
  duration call_timeout = milliseconds(1500);
};

// Thread-safe HTTP client of the platform's VM list. The protocol is in
// docs/contracts/vm-list.md.
class vm_list_client {
 public:
  static result<std::unique_ptr<vm_list_client>> Create(
      vm_list_client_options options);
  ~vm_list_client();

  // Fails with `corrupt` on a malformed list; the caller then keeps the list
  // that it has.
  result<vm_list> Fetch();

 private:
  struct state;
  explicit vm_list_client(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel

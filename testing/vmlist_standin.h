#pragma once

#include <memory>
#include <string>

#include "clients/vm_list_client.h"
#include "kernel/clock.h"

namespace apricotwheel::standins {

struct vmlist_standin_options {
  std::string listen = "127.0.0.1:0";
  vm_list cell;
  clock_ptr clock = runtime_clock::Running();
};

// Stand-in of the platform's VM list, which docs/contracts/vm-list.md
// describes.
class vmlist_standin {
 public:
  static result<std::unique_ptr<vmlist_standin>> Start(
      vmlist_standin_options options);
  ~vmlist_standin();
  const std::string& Address() const;

 private:
  struct state;
  explicit vmlist_standin(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel::standins

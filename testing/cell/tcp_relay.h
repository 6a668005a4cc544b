#pragma once

#include <memory>
#include <string>

#include "kernel/error.h"

namespace apricotwheel::testing {

// What a relay does with the bytes of its connections.
enum class relay_mode {
  kForward,
  kDropToServer,  // Requests vanish; answers pass.
  kDropToClient,  // Requests pass; answers vanish.
  kDropBoth,      // All bytes vanish; connections stay open.
  kRefuse,        // Open connections are reset, new ones are closed at once.
};

// Forwards TCP connections to one address, so that a test can cut a link in
// one direction or both.
class tcp_relay {
 public:
  static result<std::unique_ptr<tcp_relay>> Start(const std::string& listen,
                                                  const std::string& target);
  ~tcp_relay();

  void SetMode(relay_mode mode);
  const std::string& Address() const;

 private:
  struct state;
  explicit tcp_relay(std::shared_ptr<state> initial);
  std::shared_ptr<state> state_;
};

}  // namespace apricotwheel::testing

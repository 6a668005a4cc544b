#pragma once

#include <memory>
#include <string>

#include "kernel/error.h"

namespace apricotwheel::testing {

// How a relay treats its connections.
enum class relay_mode {
  kForward,
  kDropToServer,  // Discards what clients send.
  kDropToClient,  // Discards what the server sends.
  kDropBoth,      // Discards all bytes; connections stay open.
  kRefuse,        // Closes open and new connections.
};

// Forwards TCP connections to one address. Tests use it to interrupt a link in
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

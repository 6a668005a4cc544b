#pragma once

#include <functional>
#include <memory>
#include <string>

#include "clients/instance_client.h"

namespace apricotwheel {

// One connection to an instance, as the pool uses it.
struct instance_connection {
  std::function<outcome<instance_response>(const instance_request&, duration)>
      send;
  std::function<outcome<instance_usage>()> fetch_usage;
  std::function<bool()> is_open;
};
using connection_ptr = std::shared_ptr<instance_connection>;

// Opens a connection to `address`. An error means that nothing was sent.
using connection_opener =
    std::function<outcome<connection_ptr>(const std::string& address)>;

// The opener for real instances.
connection_opener MakeInstanceConnectionOpener();

}  // namespace apricotwheel

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "clients/instance_client.h"

namespace apricotwheel {

// One connection to an instance.
struct instance_connection {
  std::function<outcome<instance_response>(const instance_request&, duration)>
      send;
  std::function<outcome<instance_usage>()> fetch_usage;
  std::function<bool()> is_open;
};
using connection_ptr = std::shared_ptr<instance_connection>;

// Opens a connection to `address`. After an error nothing was sent.
using connection_opener =
    std::function<outcome<connection_ptr>(const std::string& address)>;

// Returns an opener of HTTP connections by instance_client.
connection_opener MakeInstanceConnectionOpener();

}  // namespace apricotwheel

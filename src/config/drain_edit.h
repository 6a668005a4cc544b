#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"

namespace apricotwheel {

// Adds VM ids to, and removes them from, the drain list of a valid document by
// editing only the lines of that list, so that comments and layout stay. Ids
// that are already listed, or not listed, are left as they are. Fails with
// `invalid_argument` if an id is not valid, or if the list is laid out in a way
// that cannot be edited line by line.
result<std::string> EditDrainList(std::string_view text,
                                  const std::vector<std::string>& add,
                                  const std::vector<std::string>& remove);

}  // namespace apricotwheel

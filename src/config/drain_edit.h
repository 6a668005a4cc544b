#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"

namespace apricotwheel {

// Adds VM ids to the drain list of a valid document and removes others. Only
// the lines of that list are edited, so that comments and layout stay. Ids to
// add that are listed, and ids to remove that are not, have no effect. Fails
// with `invalid_argument` if an id is not valid, or if the layout of the list
// cannot be edited line by line.
result<std::string> EditDrainList(std::string_view text,
                                  const std::vector<std::string>& add,
                                  const std::vector<std::string>& remove);

}  // namespace apricotwheel

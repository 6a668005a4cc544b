#pragma once

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "kernel/error.h"

namespace apricotwheel {

// Parses `text` as JSON and passes it to `read`, which returns a result. Fails
// with `corrupt` if the text is not JSON or if `read` throws because a field is
// missing or has another type.
template <class Read>
auto ReadJson(std::string_view text, const char* remedy, Read read)
    -> decltype(read(std::declval<const nlohmann::json&>())) {
  try {
    return read(nlohmann::json::parse(text));
  } catch (const nlohmann::json::exception& failure) {
    return Fail(error_kind::kCorrupt, failure.what(), remedy);
  }
}

}  // namespace apricotwheel

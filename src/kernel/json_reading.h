#pragma once

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "kernel/error.h"

namespace apricotwheel {

// Parses `text` and reads it with `read`, which returns a result. Any fault of
// JSON, in the text or in what `read` looks for, becomes `corrupt`.
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

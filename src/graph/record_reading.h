#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "kernel/json_reading.h"

namespace apricotwheel {

// What another daemon of the cell has written or sent cannot be understood.
inline constexpr const char* kRecordRemedy =
    "check that all daemons run compatible versions";

inline boost::leaf::error_id CorruptRecord(std::string message) {
  return Fail(error_kind::kCorrupt, std::move(message), kRecordRemedy);
}

template <class Read>
auto ReadRecord(std::string_view text, Read read) {
  return ReadJson(text, kRecordRemedy, std::move(read));
}

}  // namespace apricotwheel

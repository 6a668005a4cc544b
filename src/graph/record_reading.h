#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "kernel/json_reading.h"

namespace apricotwheel {

// Remedy for a record of another daemon that cannot be decoded.
inline constexpr const char* kRecordRemedy =
    "check that all daemons run compatible versions";

inline boost::leaf::error_id CorruptRecord(std::string message) {
  return Fail(error_kind::kCorrupt, std::move(message), kRecordRemedy);
}

// Parses a JSON record with `read`; malformed JSON fails with `corrupt`.
template <class Read>
auto ReadRecord(std::string_view text, Read read) {
  return ReadJson(text, kRecordRemedy, std::move(read));
}

}  // namespace apricotwheel

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "kernel/error.h"

namespace apricotwheel {

// Integers up to this one are exact in every JSON implementation.
inline constexpr std::int64_t kMaxJsonInteger = std::int64_t{1} << 53;

// Returns true if arrays and objects are nested deeper than any message or
// record is. Functions that copy or print JSON values are recursive, so such a
// value could use up the stack.
bool IsNestedTooDeep(std::string_view text);

// Returns an upper bound of the memory that the tree of a JSON text takes while
// it is built, without building it. The tree of "[],[],.." is many times larger
// than its text.
std::size_t EstimateJsonMemory(std::string_view text);

// Returns a whole number between the limits, which may be written with a
// fraction of 0. Fails with `corrupt` for anything else; the conversions of the
// library wrap around numbers that are too large.
result<std::int64_t> ReadInteger(const nlohmann::json& value, std::int64_t low,
                                 std::int64_t high);

// Like `ReadInteger` for a field of an object; 0 if the field is missing.
result<std::int64_t> ReadOptionalInteger(const nlohmann::json& object,
                                         const char* field, std::int64_t low,
                                         std::int64_t high);

// Rounds towards zero and limits the result.
std::int64_t ToInteger(double value, std::int64_t low, std::int64_t high);

// Returns the message of a JSON error without what the library quotes of the
// text: it may hold secrets, such as the keys of callers.
std::string DescribeJsonError(const nlohmann::json::exception& failure);

// Parses `text` as JSON and passes it to `read`, which returns a result. Fails
// with `corrupt` if the text is not JSON or is nested too deep, or if `read`
// throws because a field is missing or has another type.
template <class Read>
auto ReadJson(std::string_view text, const char* remedy, Read read)
    -> decltype(read(std::declval<const nlohmann::json&>())) {
  if (IsNestedTooDeep(text)) {
    return Fail(error_kind::kCorrupt, "the JSON text is nested too deep",
                remedy);
  }
  try {
    return read(nlohmann::json::parse(text));
  } catch (const nlohmann::json::exception& failure) {
    return Fail(error_kind::kCorrupt, DescribeJsonError(failure), remedy);
  }
}

}  // namespace apricotwheel

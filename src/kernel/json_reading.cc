#include "kernel/json_reading.h"

#include <algorithm>
#include <cmath>

namespace apricotwheel {

namespace {

constexpr int kMaxDepth = 64;

// Blocks of the allocator for the parts of a tree. A value counts three times,
// because an array that grows is copied to one of twice the size.
constexpr std::size_t kValueBytes = 3 * sizeof(nlohmann::json);
constexpr std::size_t kContainerBytes = 80;  // Of an array or object, or text.
constexpr std::size_t kMemberBytes = 96;     // The node and its key.

// Calls `visit` with each character outside of strings and with the quote that
// begins one, until it returns false. Returns whether it never did.
template <class Visit>
bool VisitStructure(std::string_view text, Visit visit) {
  bool is_in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char letter = text[i];
    if (is_in_string) {
      if (letter == '\\') ++i;
      if (letter == '"') is_in_string = false;
      continue;
    }
    is_in_string = letter == '"';
    if (!visit(letter)) return false;
  }
  return true;
}

boost::leaf::error_id OutOfRange() {
  return Fail(error_kind::kCorrupt, "a number is out of range",
              "check which program writes it");
}

}  // namespace

std::string DescribeJsonError(const nlohmann::json::exception& failure) {
  std::string message = failure.what();
  // A syntax error ends with the last token, a number that is too large with
  // its digits.
  for (const std::string_view quote : {"; last read:", "overflow parsing "}) {
    message.resize(std::min(message.size(), message.find(quote)));
  }
  return message;
}

bool IsNestedTooDeep(std::string_view text) {
  int depth = 0;
  return !VisitStructure(text, [&](char letter) {
    if (letter == '[' || letter == '{') ++depth;
    if (letter == ']' || letter == '}') --depth;
    return depth <= kMaxDepth;
  });
}

std::size_t EstimateJsonMemory(std::string_view text) {
  // The texts of strings and keys are copied once.
  std::size_t bytes = text.size() + kValueBytes;
  VisitStructure(text, [&](char letter) {
    if (letter == '"') bytes += kContainerBytes;
    if (letter == '[' || letter == '{') bytes += kContainerBytes + kValueBytes;
    if (letter == ':') bytes += kMemberBytes;
    if (letter == ',') bytes += kValueBytes;
    return true;
  });
  return bytes;
}

result<std::int64_t> ReadInteger(const nlohmann::json& value, std::int64_t low,
                                 std::int64_t high) {
  std::int64_t number = 0;
  if (value.is_number_unsigned()) {
    const auto wide = value.get<std::uint64_t>();
    if (wide > static_cast<std::uint64_t>(kMaxJsonInteger)) return OutOfRange();
    number = static_cast<std::int64_t>(wide);
  } else if (value.is_number_integer()) {
    number = value.get<std::int64_t>();
  } else if (value.is_number_float()) {
    const double real = value.get<double>();
    const auto limit = static_cast<double>(kMaxJsonInteger);
    if (!(std::abs(real) <= limit) || std::trunc(real) != real) {
      return OutOfRange();
    }
    number = static_cast<std::int64_t>(real);
  } else {
    return OutOfRange();
  }
  if (number < low || number > high) return OutOfRange();
  return number;
}

result<std::int64_t> ReadOptionalInteger(const nlohmann::json& object,
                                         const char* field, std::int64_t low,
                                         std::int64_t high) {
  if (!object.contains(field)) return std::int64_t{0};
  return ReadInteger(object.at(field), low, high);
}

std::int64_t ToInteger(double value, std::int64_t low, std::int64_t high) {
  if (!(value > static_cast<double>(low))) return low;
  if (value >= static_cast<double>(high)) return high;
  return static_cast<std::int64_t>(value);
}

}  // namespace apricotwheel

#include "config/fields.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <sstream>
#include <unordered_map>

namespace apricotwheel {
namespace {

using node_kind = yaml_node::node_kind;

bool IsLowerOrDigit(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= '0' && character <= '9');
}

bool IsLetterOrDigit(char character) {
  return IsLowerOrDigit(character) || (character >= 'A' && character <= 'Z');
}

// Returns the text in quotes. A long one is truncated, because it would hide
// the rest of the message.
std::string Quoted(std::string_view text) {
  constexpr std::size_t kMaxShownBytes = 60;
  std::string quoted = "'";
  for (const char character : text.substr(0, kMaxShownBytes)) {
    quoted += static_cast<unsigned char>(character) < 0x20 ? ' ' : character;
  }
  if (text.size() > kMaxShownBytes) quoted += "...";
  return quoted + "'";
}

template <class Accept>
bool ReadChecked(const yaml_node& node, std::string_view key,
                 std::string& target, fault_list& faults, Accept accept,
                 std::string_view what, std::string_view remedy) {
  if (node.kind != node_kind::kScalar) {
    faults.Add(node.line, key, std::string(what) + " is expected",
               std::string(remedy));
    return false;
  }
  if (!accept(node.scalar)) {
    faults.Add(node.line, key,
               Quoted(node.scalar) + " is not " + std::string(what),
               std::string(remedy));
    return false;
  }
  target = node.scalar;
  return true;
}

}  // namespace

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > 63) return false;
  if (!IsLowerOrDigit(text.front()) || !IsLowerOrDigit(text.back())) {
    return false;
  }
  return std::all_of(text.begin(), text.end(), [](char character) {
    return IsLowerOrDigit(character) || character == '-';
  });
}

bool IsVmId(std::string_view text) {
  if (text.empty() || text.size() > 128) return false;
  if (!IsLetterOrDigit(text.front())) return false;
  return std::all_of(text.begin(), text.end(), [](char character) {
    return IsLetterOrDigit(character) || character == '.' || character == '_' ||
           character == '-';
  });
}

bool IsAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  const std::string_view port = text.substr(colon + 1);
  int number = 0;
  const auto parsed =
      std::from_chars(port.data(), port.data() + port.size(), number);
  if (port.empty() || parsed.ec != std::errc() ||
      parsed.ptr != port.data() + port.size() || number < 1 || number > 65535) {
    return false;
  }
  std::string_view ip = text.substr(0, colon);
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    return inet_pton(AF_INET6, std::string(ip.substr(1, ip.size() - 2)).c_str(),
                     binary.data()) == 1;
  }
  return inet_pton(AF_INET, std::string(ip).c_str(), binary.data()) == 1;
}

bool ReadInteger(const yaml_node& node, std::string_view key, std::int64_t low,
                 std::int64_t high, std::int64_t& target, fault_list& faults) {
  const std::string range = std::to_string(low) + " to " + std::to_string(high);
  if (node.kind != node_kind::kScalar) {
    faults.Add(node.line, key, "a whole number is expected",
               "write a number from " + range);
    return false;
  }
  const char* end = node.scalar.data() + node.scalar.size();
  std::int64_t number = 0;
  const auto parsed = std::from_chars(node.scalar.data(), end, number);
  if (parsed.ec == std::errc::result_out_of_range && parsed.ptr == end) {
    faults.Add(node.line, key, node.scalar.substr(0, 60) + " is out of range",
               "write a number from " + range);
    return false;
  }
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    faults.Add(node.line, key, Quoted(node.scalar) + " is not a whole number",
               "write a number from " + range + ", without a unit");
    return false;
  }
  if (number < low || number > high) {
    faults.Add(node.line, key, node.scalar + " is out of range",
               "write a number from " + range);
    return false;
  }
  target = number;
  return true;
}

bool ReadInteger(const yaml_node& node, std::string_view key, std::uint32_t low,
                 std::uint32_t high, std::uint32_t& target,
                 fault_list& faults) {
  std::int64_t number = 0;
  if (!ReadInteger(node, key, std::int64_t{low}, std::int64_t{high}, number,
                   faults)) {
    return false;
  }
  target = static_cast<std::uint32_t>(number);
  return true;
}

bool ReadDecimal(const yaml_node& node, std::string_view key, double low,
                 double high, double& target, fault_list& faults) {
  std::ostringstream range;
  range << "write a decimal number from " << low << " to " << high
        << ", without a unit";
  const char* end = node.scalar.data() + node.scalar.size();
  double number = 0;
  const auto parsed = std::from_chars(node.scalar.data(), end, number,
                                      std::chars_format::fixed);
  const bool is_number = node.kind == node_kind::kScalar &&
                         parsed.ec == std::errc() && parsed.ptr == end;
  // Written so that it rejects NaN as well.
  if (!is_number || !(number >= low && number <= high)) {
    faults.Add(node.line, key,
               Quoted(node.scalar) + " is no decimal number in range",
               range.str());
    return false;
  }
  target = number;
  return true;
}

bool ReadBool(const yaml_node& node, std::string_view key, bool& target,
              fault_list& faults) {
  if (node.kind == node_kind::kScalar &&
      (node.scalar == "true" || node.scalar == "false")) {
    target = node.scalar == "true";
    return true;
  }
  faults.Add(node.line, key, "true or false is expected",
             "write true or false");
  return false;
}

bool ReadText(const yaml_node& node, std::string_view key, std::string& target,
              fault_list& faults) {
  return ReadChecked(
      node, key, target, faults,
      [](std::string_view text) {
        return !text.empty() && text.size() <= 4096;
      },
      "a text of 1 to 4096 bytes", "write the text after the key");
}

bool ReadName(const yaml_node& node, std::string_view key, std::string& target,
              fault_list& faults) {
  return ReadChecked(node, key, target, faults, IsName, "a valid name",
                     "use 1 to 63 lower-case letters, digits and hyphens, "
                     "with a letter or digit at both ends");
}

bool ReadVmId(const yaml_node& node, std::string_view key, std::string& target,
              fault_list& faults) {
  return ReadChecked(node, key, target, faults, IsVmId, "a valid VM id",
                     "use 1 to 128 letters, digits, '.', '_' and '-', "
                     "starting with a letter or digit");
}

bool ReadAddress(const yaml_node& node, std::string_view key,
                 std::string& target, fault_list& faults) {
  return ReadChecked(node, key, target, faults, IsAddress, "an address",
                     "write ip:port, for example 10.0.0.5:7100");
}

bool ReadAddressList(const yaml_node& node, std::string_view key,
                     std::vector<std::string>& target, fault_list& faults) {
  std::vector<yaml_node> items = node.items;
  if (node.kind == node_kind::kScalar) {
    std::string_view remaining = node.scalar;
    while (true) {
      const auto comma = remaining.find(',');
      auto part = remaining.substr(0, comma);
      part.remove_prefix(std::min(part.find_first_not_of(' '), part.size()));
      part = part.substr(0, part.find_last_not_of(' ') + 1);
      yaml_node item;
      item.kind = node_kind::kScalar;
      item.line = node.line;
      item.scalar = part;
      items.push_back(std::move(item));
      if (comma == std::string_view::npos) break;
      remaining.remove_prefix(comma + 1);
    }
  } else if (node.kind != node_kind::kSequence) {
    faults.Add(node.line, key, "a list of addresses is expected",
               "write [ip:port, ip:port], [] if it is empty");
    return false;
  }
  std::vector<std::string> addresses;
  bool is_valid = true;
  for (const auto& item : items) {
    std::string address;
    if (!ReadAddress(item, key, address, faults)) {
      is_valid = false;
    } else if (std::find(addresses.begin(), addresses.end(), address) !=
               addresses.end()) {
      faults.Add(item.line, key, Quoted(address) + " is listed twice",
                 "write each address once");
      is_valid = false;
    } else {
      addresses.push_back(std::move(address));
    }
  }
  if (items.size() > kMaxAddresses) {
    faults.Add(node.line, key,
               std::to_string(items.size()) + " addresses are listed",
               "write at most " + std::to_string(kMaxAddresses));
    is_valid = false;
  }
  if (is_valid) target = std::move(addresses);
  return is_valid;
}

bool ReadChoice(const yaml_node& node, std::string_view key,
                std::span<const std::string_view> choices, std::size_t& target,
                fault_list& faults) {
  std::string list;
  for (const auto choice : choices) {
    if (!list.empty()) list += ", ";
    list += choice;
  }
  if (node.kind != node_kind::kScalar) {
    faults.Add(node.line, key, "one word is expected", "use one of: " + list);
    return false;
  }
  const auto found = std::find(choices.begin(), choices.end(), node.scalar);
  if (found == choices.end()) {
    faults.Add(node.line, key, Quoted(node.scalar) + " is not a known value",
               "use one of: " + list);
    return false;
  }
  target = static_cast<std::size_t>(found - choices.begin());
  return true;
}

std::string JoinPath(std::string_view path, std::string_view key) {
  std::string joined(path);
  if (!joined.empty()) joined += '.';
  joined += key;
  return joined;
}

std::vector<const yaml_node*> FindFields(
    const yaml_node& node, std::string_view path,
    std::span<const std::string_view> keys,
    std::span<const std::string_view> required, fault_list& faults) {
  std::vector<const yaml_node*> values(keys.size(), nullptr);
  if (node.kind != node_kind::kMap) {
    faults.Add(node.line, path, "a map of keys is expected",
               "write `key: value` lines");
    return values;
  }
  std::unordered_map<std::string_view, int> first_lines;
  for (std::size_t i = 0; i < node.keys.size(); ++i) {
    const yaml_node& key = node.keys[i];
    if (key.kind != node_kind::kScalar) {
      faults.Add(key.line, path, "a key is not a word",
                 "write `key: value` lines");
      continue;
    }
    const std::string shown = JoinPath(path, key.scalar.substr(0, 60));
    const auto [first, is_new] = first_lines.emplace(key.scalar, key.line);
    if (!is_new) {
      faults.Add(
          key.line, shown,
          "the key is already set in line " + std::to_string(first->second),
          "keep one of the two lines");
      continue;
    }
    const auto found = std::find(keys.begin(), keys.end(), key.scalar);
    if (found == keys.end()) {
      std::string list;
      for (const auto known : keys) {
        if (!list.empty()) list += ", ";
        list += known;
      }
      faults.Add(key.line, shown, "the key is unknown",
                 "remove it or use one of: " + list);
      continue;
    }
    values[static_cast<std::size_t>(found - keys.begin())] = &node.items[i];
  }
  for (const auto key : required) {
    if (!first_lines.contains(key)) {
      faults.Add(node.line, JoinPath(path, key), "the required key is missing",
                 "add it");
    }
  }
  return values;
}

}  // namespace apricotwheel

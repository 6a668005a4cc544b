#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/yaml_tree.h"

namespace apricotwheel {

// Collects the faults that the readers below find in one file.
struct fault_list {
  std::string file;
  std::vector<config_fault> faults;

  void Add(int line, std::string_view key, std::string message,
           std::string remedy) {
    faults.push_back(
        {file, line, std::string(key), std::move(message), std::move(remedy)});
  }
};

// Returns true for a valid name of a cell, team, workload, daemon or failure
// domain: 1 to 63 lower-case letters, digits and hyphens, starting and ending
// with a letter or digit. Names become parts of keys, ids and URLs.
bool IsName(std::string_view text);
// Returns true for a valid VM id: 1 to 128 letters, digits, '.', '_' and '-',
// starting with a letter or digit.
bool IsVmId(std::string_view text);
// Returns true for `ip:port` with an IPv4 address or an IPv6 address in
// brackets; the port must be above 0.
bool IsAddress(std::string_view text);

// Each reader returns true and stores the value in `target` if its type and
// range are right. Otherwise it adds a fault and leaves `target` unchanged.
bool ReadInteger(const yaml_node& node, std::string_view key, std::int64_t low,
                 std::int64_t high, std::int64_t& target, fault_list& faults);
bool ReadInteger(const yaml_node& node, std::string_view key, std::uint32_t low,
                 std::uint32_t high, std::uint32_t& target, fault_list& faults);
bool ReadDecimal(const yaml_node& node, std::string_view key, double low,
                 double high, double& target, fault_list& faults);
bool ReadBool(const yaml_node& node, std::string_view key, bool& target,
              fault_list& faults);
bool ReadText(const yaml_node& node, std::string_view key, std::string& target,
              fault_list& faults);
bool ReadName(const yaml_node& node, std::string_view key, std::string& target,
              fault_list& faults);
bool ReadVmId(const yaml_node& node, std::string_view key, std::string& target,
              fault_list& faults);
bool ReadAddress(const yaml_node& node, std::string_view key,
                 std::string& target, fault_list& faults);
// Reads a YAML list of addresses or one text of comma-separated addresses. Each
// address may occur once, and at most `kMaxAddresses` are allowed.
inline constexpr std::size_t kMaxAddresses = 32;
bool ReadAddressList(const yaml_node& node, std::string_view key,
                     std::vector<std::string>& target, fault_list& faults);
// Stores the index of the value in `choices`.
bool ReadChoice(const yaml_node& node, std::string_view key,
                std::span<const std::string_view> choices, std::size_t& target,
                fault_list& faults);

// Describes one key of a map that is read into a `Target`.
template <class Target>
struct field_row {
  std::string_view key;
  bool is_required;
  // Reads the value at `path` into the target.
  void (*read)(const yaml_node& node, std::string_view path, Target& target,
               fault_list& faults);
};

// Returns the value of each of `keys` in the map `node`, or null if it is
// absent. Adds faults if `node` is not a map and for duplicate, unknown and
// missing required keys.
std::vector<const yaml_node*> FindFields(
    const yaml_node& node, std::string_view path,
    std::span<const std::string_view> keys,
    std::span<const std::string_view> required, fault_list& faults);

// Joins a path and a key with a dot.
std::string JoinPath(std::string_view path, std::string_view key);

// Reads a map into `target` as `rows` describe it.
template <class Target>
void ReadMap(const yaml_node& node, std::string_view path,
             std::span<const field_row<Target>> rows, Target& target,
             fault_list& faults) {
  std::vector<std::string_view> keys;
  std::vector<std::string_view> required;
  for (const auto& row : rows) {
    keys.push_back(row.key);
    if (row.is_required) required.push_back(row.key);
  }
  const auto values = FindFields(node, path, keys, required, faults);
  for (std::size_t i = 0; i < rows.size(); ++i) {
    if (values[i] == nullptr) continue;
    rows[i].read(*values[i], JoinPath(path, rows[i].key), target, faults);
  }
}

// Calls `read(item, path)` for each item of a sequence. Adds a fault if `node`
// is not a sequence.
template <class Read>
void ReadSequence(const yaml_node& node, std::string_view path,
                  fault_list& faults, Read read) {
  if (node.kind != yaml_node::node_kind::kSequence) {
    faults.Add(node.line, path, "a list is expected",
               "write a list, [] if it is empty");
    return;
  }
  for (std::size_t i = 0; i < node.items.size(); ++i) {
    read(node.items[i], std::string(path) + "[" + std::to_string(i) + "]");
  }
}

}  // namespace apricotwheel

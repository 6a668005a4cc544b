#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/document.h"

namespace apricotwheel {

// A plain tree of a YAML text. Unlike YAML::Node it has no aliases and keeps
// duplicate keys, so that both can be reported.
struct yaml_node {
  enum class node_kind { kNull, kScalar, kSequence, kMap };

  node_kind kind = node_kind::kNull;
  int line = 0;                  // 1-based.
  std::string scalar;            // Of a scalar.
  std::vector<yaml_node> keys;   // Of a map, in the order of the text.
  std::vector<yaml_node> items;  // Of a sequence, or the values of a map.
};

// A value of the key-value service holds 1 MB; the envelope around the text
// and the escapes of JSON need the rest.
inline constexpr std::size_t kMaxTextBytes = 900 * 1024;
// A valid document is 5 levels deep.
inline constexpr std::size_t kMaxYamlDepth = 12;
inline constexpr std::size_t kMaxYamlNodes = 400'000;

// Parses one YAML text. Anchors, aliases, tags, control characters, wrong
// UTF-8 and exceeded limits are faults. Appends to `faults` and returns nothing
// if the text has no usable tree.
std::optional<yaml_node> ParseYaml(std::string_view file, std::string_view text,
                                   std::vector<config_fault>& faults);

}  // namespace apricotwheel

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/document.h"

namespace apricotwheel {

// A YAML text as a plain tree. Unlike YAML::Node it has no aliases and keeps
// duplicate keys, so that both can be reported.
struct yaml_node {
  enum class node_kind { kNull, kScalar, kSequence, kMap };

  node_kind kind = node_kind::kNull;
  int line = 0;                  // 1-based.
  std::string scalar;            // Of a scalar.
  std::vector<yaml_node> keys;   // Of a map, in the order of the text.
  std::vector<yaml_node> items;  // Of a sequence, or the values of a map.
};

// A value in the key-value service holds 1 MB. The rest is left for the
// envelope and for JSON escapes.
inline constexpr std::size_t kMaxTextBytes = 900 * 1024;
// A valid document has 5 levels.
inline constexpr std::size_t kMaxYamlDepth = 12;
inline constexpr std::size_t kMaxYamlNodes = 400'000;

// Parses one YAML text. Anchors, aliases, tags, control characters, invalid
// UTF-8 and exceeded limits are faults. Returns nothing and appends to `faults`
// if the text has no usable tree.
std::optional<yaml_node> ParseYaml(std::string_view file, std::string_view text,
                                   std::vector<config_fault>& faults);

}  // namespace apricotwheel

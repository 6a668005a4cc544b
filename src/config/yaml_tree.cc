#include "config/yaml_tree.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <cstdint>
#include <istream>
#include <sstream>

namespace apricotwheel {
namespace {

using node_kind = yaml_node::node_kind;

// Returns the length of the UTF-8 sequence at the start of `text`, or 0 if it
// is not well formed. Overlong forms, surrogates and values over U+10FFFF are
// not well formed.
std::size_t Utf8Length(std::string_view text) {
  const auto byte = [&](std::size_t i) {
    return static_cast<std::uint8_t>(text[i]);
  };
  const std::uint8_t first = byte(0);
  if (first < 0x80) return 1;
  std::size_t length = 0;
  std::uint32_t value = 0;
  if (first >= 0xC2 && first <= 0xDF) {
    length = 2;
    value = first & 0x1FU;
  } else if (first >= 0xE0 && first <= 0xEF) {
    length = 3;
    value = first & 0x0FU;
  } else if (first >= 0xF0 && first <= 0xF4) {
    length = 4;
    value = first & 0x07U;
  } else {
    return 0;
  }
  if (text.size() < length) return 0;
  for (std::size_t i = 1; i < length; ++i) {
    if ((byte(i) & 0xC0U) != 0x80U) return 0;
    value = (value << 6U) | (byte(i) & 0x3FU);
  }
  if (length == 3 && value < 0x800) return 0;
  if (length == 4 && (value < 0x10000 || value > 0x10FFFF)) return 0;
  if (value >= 0xD800 && value <= 0xDFFF) return 0;
  return length;
}

// Returns false and adds a fault if the text has bytes that YAML forbids.
bool CheckBytes(std::string_view file, std::string_view text,
                std::vector<config_fault>& faults) {
  int line = 1;
  for (std::size_t i = 0; i < text.size();) {
    const std::size_t length = Utf8Length(text.substr(i));
    const auto byte = static_cast<std::uint8_t>(text[i]);
    if (length == 0) {
      faults.push_back({std::string(file), line, "", "the text is not UTF-8",
                        "save the file as UTF-8"});
      return false;
    }
    if ((byte < 0x20 && byte != '\t' && byte != '\n' && byte != '\r') ||
        byte == 0x7F) {
      faults.push_back({std::string(file), line, "",
                        "the text has a control character",
                        "remove the character"});
      return false;
    }
    if (byte == '\n') ++line;
    i += length;
  }
  return true;
}

// Builds a yaml_node from the parser's events. Throws at a limit or an
// unsupported feature.
class tree_builder : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    Begin(mark, "", anchor, node_kind::kNull);
    End();
  }
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override {
    throw YAML::ParserException(mark, "aliases are not supported");
  }
  void OnScalar(const YAML::Mark& mark, const std::string& tag,
                YAML::anchor_t anchor, const std::string& value) override {
    Begin(mark, tag, anchor, node_kind::kScalar).scalar = value;
    End();
  }
  void OnSequenceStart(const YAML::Mark& mark, const std::string& tag,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value) override {
    Begin(mark, tag, anchor, node_kind::kSequence);
  }
  void OnSequenceEnd() override { End(); }
  void OnMapStart(const YAML::Mark& mark, const std::string& tag,
                  YAML::anchor_t anchor, YAML::EmitterStyle::value) override {
    Begin(mark, tag, anchor, node_kind::kMap);
  }
  void OnMapEnd() override { End(); }

  yaml_node TakeRoot() { return std::move(root_); }

 private:
  struct open_node {
    yaml_node node;
    std::optional<yaml_node>
        key;  // Of a map: the key whose value is not read yet.
  };

  yaml_node& Begin(const YAML::Mark& mark, const std::string& tag,
                   YAML::anchor_t anchor, node_kind kind) {
    if (anchor != YAML::NullAnchor) {
      throw YAML::ParserException(mark, "anchors are not supported");
    }
    if (!tag.empty() && tag != "?" && tag != "!") {
      throw YAML::ParserException(mark, "tags are not supported");
    }
    if (open_.size() >= kMaxYamlDepth) {
      throw YAML::ParserException(mark, "the nesting is too deep");
    }
    if (++nodes_ > kMaxYamlNodes) {
      throw YAML::ParserException(mark, "the text has too many values");
    }
    open_.push_back({});
    open_.back().node.kind = kind;
    open_.back().node.line = mark.line + 1;
    return open_.back().node;
  }

  void End() {
    yaml_node node = std::move(open_.back().node);
    open_.pop_back();
    if (open_.empty()) {
      root_ = std::move(node);
      return;
    }
    open_node& parent = open_.back();
    if (parent.node.kind == node_kind::kSequence) {
      parent.node.items.push_back(std::move(node));
    } else if (!parent.key) {
      parent.key = std::move(node);
    } else {
      parent.node.keys.push_back(std::move(*parent.key));
      parent.node.items.push_back(std::move(node));
      parent.key.reset();
    }
  }

  std::vector<open_node> open_;
  yaml_node root_;
  std::size_t nodes_ = 0;
};

// Returns the remedy for a message of the parser or of tree_builder.
std::string RemedyOf(const std::string& message) {
  if (message.find("not supported") != std::string::npos) {
    return "write the value out in place";
  }
  if (message.find("too") != std::string::npos) {
    return "use the layout of examples/ in the source tree";
  }
  return "correct the YAML syntax at this line";
}

}  // namespace

std::optional<yaml_node> ParseYaml(std::string_view file, std::string_view text,
                                   std::vector<config_fault>& faults) {
  if (text.size() > kMaxTextBytes) {
    faults.push_back({std::string(file), 0, "",
                      "the text has " + std::to_string(text.size()) +
                          " bytes, the limit is " +
                          std::to_string(kMaxTextBytes),
                      "shorten the text; a stored value holds at most 1 MB"});
    return std::nullopt;
  }
  if (!CheckBytes(file, text, faults)) return std::nullopt;
  std::istringstream stream{std::string(text)};
  tree_builder builder;
  try {
    YAML::Parser parser(stream);
    if (!parser.HandleNextDocument(builder)) {
      faults.push_back({std::string(file), 0, "", "the text is empty",
                        "write at least the required keys"});
      return std::nullopt;
    }
    yaml_node root = builder.TakeRoot();
    if (parser.HandleNextDocument(builder)) {
      faults.push_back({std::string(file), builder.TakeRoot().line, "",
                        "the text has more than one YAML document",
                        "keep one document in the file"});
      return std::nullopt;
    }
    return root;
  } catch (const YAML::Exception& failure) {
    // `what()` would repeat the position, which the fault holds already.
    faults.push_back({std::string(file), std::max(0, failure.mark.line + 1), "",
                      failure.msg, RemedyOf(failure.msg)});
    return std::nullopt;
  }
}

}  // namespace apricotwheel

#include "config/drain_edit.h"

#include <algorithm>
#include <optional>
#include <set>

#include "config/document.h"
#include "config/fields.h"
#include "config/yaml_tree.h"

namespace apricotwheel {
namespace {

using text_lines = std::vector<std::string>;

text_lines SplitLines(std::string_view text) {
  text_lines lines;
  while (!text.empty()) {
    const auto end = text.find('\n');
    lines.emplace_back(text.substr(0, end));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return lines;
}

std::string JoinLines(const text_lines& lines) {
  std::string text;
  for (const auto& line : lines) {
    text += line;
    text += '\n';
  }
  return text;
}

bool Contains(const std::vector<std::string>& list, std::string_view id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

// Returns a list entry. The id is quoted because YAML would read some ids as
// another type than text.
std::string BlockEntry(const std::string& id) { return "  - \"" + id + "\""; }

struct drain_lines {
  int key = 0;  // Line numbers are 1-based.
  std::vector<std::pair<int, std::string>> items;
};

std::optional<drain_lines> FindDrainLines(const yaml_node& root) {
  for (std::size_t i = 0; i < root.keys.size(); ++i) {
    if (root.keys[i].scalar != "drain") continue;
    drain_lines found;
    found.key = root.keys[i].line;
    for (const auto& item : root.items[i].items) {
      found.items.emplace_back(item.line, item.scalar);
    }
    return found;
  }
  return std::nullopt;
}

// Returns the part of the line that starts a block entry, for example "  - ".
std::string EntryPrefix(const std::string& line) {
  const auto dash = line.find_first_not_of(' ');
  if (dash == std::string::npos || line[dash] != '-') return "";
  return line.substr(0, dash) + "- ";
}

// Edits a list that has one entry on each line.
void EditBlockList(const drain_lines& drain,
                   const std::vector<std::string>& add,
                   const std::vector<std::string>& remove, text_lines& lines) {
  const auto last = static_cast<std::size_t>(drain.items.back().first);
  const std::string prefix = EntryPrefix(lines[last - 1]);
  std::size_t kept = 0;
  text_lines added;
  for (const auto& id : add) {
    added.push_back(prefix);
    added.back().append("\"").append(id).append("\"");
  }
  lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(last), added.begin(),
               added.end());
  for (auto item = drain.items.rbegin(); item != drain.items.rend(); ++item) {
    if (Contains(remove, item->second)) {
      lines.erase(lines.begin() + (item->first - 1));
    } else {
      ++kept;
    }
  }
  if (kept + add.size() > 0) return;
  std::string& key = lines[static_cast<std::size_t>(drain.key) - 1];
  const auto colon = key.find(':');
  key = key.substr(0, colon + 1) + " []" + key.substr(colon + 1);
}

// Edits `drain: [a, b]  # comment` on a single line.
void EditFlowList(const drain_lines& drain, const std::vector<std::string>& ids,
                  text_lines& lines) {
  std::string& line = lines[static_cast<std::size_t>(drain.key) - 1];
  const auto open = line.find('[');
  const auto close = line.find(']');
  if (open == std::string::npos || close == std::string::npos) return;
  std::string list;
  for (const auto& id : ids) {
    list += list.empty() ? "\"" : ", \"";
    list += id;
    list += '"';
  }
  line = line.substr(0, open + 1) + list + line.substr(close);
}

}  // namespace

result<std::string> EditDrainList(std::string_view text,
                                  const std::vector<std::string>& add,
                                  const std::vector<std::string>& remove) {
  for (const auto* list : {&add, &remove}) {
    for (const auto& id : *list) {
      if (IsVmId(id)) continue;
      return Fail(error_kind::kInvalidArgument,
                  "'" + id.substr(0, 60) + "' is not a valid VM id",
                  "use letters, digits, '.', '_' and '-'");
    }
  }
  std::vector<config_fault> faults;
  const auto root = ParseYaml("document", text, faults);
  const auto before = CheckDocument("document", text, {}).document;
  if (!root || !before) {
    return Fail(error_kind::kInvalidArgument, "the document is not valid",
                "correct and apply it first");
  }
  std::vector<std::string> intended;
  std::vector<std::string> added;
  for (const auto& id : before->drain) {
    if (!Contains(remove, id)) intended.push_back(id);
  }
  for (const auto& id : add) {
    if (Contains(before->drain, id) || Contains(added, id)) continue;
    added.push_back(id);
    intended.push_back(id);
  }
  if (intended == before->drain) return std::string(text);

  text_lines lines = SplitLines(text);
  const auto drain = FindDrainLines(*root);
  const bool is_block =
      drain && !drain->items.empty() && drain->items.front().first > drain->key;
  if (!drain) {
    lines.emplace_back("drain:");
    for (const auto& id : added) lines.push_back(BlockEntry(id));
  } else if (is_block) {
    EditBlockList(*drain, added, remove, lines);
  } else {
    EditFlowList(*drain, intended, lines);
  }
  std::string edited = JoinLines(lines);
  // The edit works on lines of text, so its result is parsed again and compared
  // with the intended document.
  const auto after = CheckDocument("document", edited, {}).document;
  cell_document expected = *before;
  expected.drain = intended;
  if (!after || after->drain != intended ||
      !DiffDocuments(expected, *after).empty()) {
    return Fail(error_kind::kInvalidArgument,
                "the layout of the drain list cannot be edited by this command",
                "write the list with one VM id on each line and apply it");
  }
  return edited;
}

}  // namespace apricotwheel

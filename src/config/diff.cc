#include <map>
#include <set>

#include "config/document.h"

namespace apricotwheel {
namespace {

std::string FormatValue(const std::string& value) { return value; }
std::string FormatValue(std::string_view value) { return std::string(value); }
std::string FormatValue(bool value) { return value ? "true" : "false"; }
template <class Number>
std::string FormatValue(Number value) requires std::is_integral_v<Number> {
  return std::to_string(value);
}

struct diff_writer {
  std::vector<std::string>& lines;
  std::string subject;

  template <class Value>
  void Compare(std::string_view key, const Value& before, const Value& after) {
    if (before == after) return;
    lines.push_back(subject + ": " + std::string(key) + " " +
                    FormatValue(before) + " -> " + FormatValue(after));
  }
  void Compare(std::string_view key, const resource_vector& before,
               const resource_vector& after) {
    const std::string prefix = std::string(key) + ".";
    Compare(prefix + "cpu_milli", before.cpu_milli, after.cpu_milli);
    Compare(prefix + "memory_mib", before.memory_mib, after.memory_mib);
    Compare(prefix + "accelerators", before.accelerators, after.accelerators);
  }
};

void CompareItem(const team_config& before, const team_config& after,
                 diff_writer out) {
  out.Compare("weight", before.weight, after.weight);
  out.Compare("quota", before.quota, after.quota);
}

void CompareItem(const workload_config& before, const workload_config& after,
                 diff_writer out) {
  out.Compare("kind", ToString(before.kind), ToString(after.kind));
  out.Compare("team", before.team, after.team);
  out.Compare("class", ToString(before.priority), ToString(after.priority));
  out.Compare("policy", before.policy, after.policy);
  out.Compare("instances", before.instances, after.instances);
  out.Compare("resources", before.resources, after.resources);
  out.Compare("run_ms", before.run_ms, after.run_ms);
  out.Compare("slots", before.slots, after.slots);
  out.Compare("connections", before.connections, after.connections);
  out.Compare("queue_limit", before.queue_limit, after.queue_limit);
  out.Compare("deadline_ms", before.deadline_ms, after.deadline_ms);
  out.Compare("spread", before.spread, after.spread);
}

template <class Item>
void CompareLists(std::string_view type, const std::vector<Item>& before,
                  const std::vector<Item>& after,
                  std::vector<std::string>& lines) {
  std::map<std::string_view, const Item*> old_items;
  for (const auto& item : before) old_items.emplace(item.name, &item);
  for (const auto& item : after) {
    const std::string subject = std::string(type) + " " + item.name;
    const auto found = old_items.find(item.name);
    if (found == old_items.end()) {
      lines.push_back(subject + ": added");
      continue;
    }
    CompareItem(*found->second, item, {lines, subject});
    old_items.erase(found);
  }
  for (const auto& [name, item] : old_items) {
    lines.push_back(std::string(type) + " " + std::string(name) + ": removed");
  }
}

}  // namespace

std::vector<std::string> DiffDocuments(const cell_document& before,
                                       const cell_document& after) {
  std::vector<std::string> lines;
  diff_writer{lines, "document"}.Compare("cell", before.cell, after.cell);
  CompareLists("team", before.teams, after.teams, lines);
  CompareLists("workload", before.workloads, after.workloads, lines);
  const std::set<std::string> old_drain(before.drain.begin(),
                                        before.drain.end());
  const std::set<std::string> new_drain(after.drain.begin(), after.drain.end());
  for (const auto& vm : new_drain) {
    if (!old_drain.contains(vm)) lines.push_back("drain " + vm + ": added");
  }
  for (const auto& vm : old_drain) {
    if (!new_drain.contains(vm)) lines.push_back("drain " + vm + ": removed");
  }
  return lines;
}

}  // namespace apricotwheel

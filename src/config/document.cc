#include "config/document.h"

#include <array>

#include "config/document_rules.h"
#include "config/fields.h"

namespace apricotwheel {
namespace {

// Bounds that keep every sum over a document below 2^63: 100000 instances of
// 10^9 in each of at most 10000 workloads are 10^18.
constexpr std::int64_t kMaxAmount = 1'000'000'000;
constexpr std::int64_t kMaxQuota = 100'000'000'000'000;
constexpr std::uint32_t kMaxInstances = 100'000;
constexpr std::int64_t kMaxRunMs = 30LL * 24 * 3600 * 1000;
constexpr std::int64_t kMaxDeadlineMs = 600'000;
// Policy of a workload that names none.
constexpr std::string_view kDefaultPolicy = "waiting-first";

constexpr std::array<std::string_view, 3> kKinds = {"service", "batch", "gang"};
constexpr std::array<std::string_view, 3> kClasses = {"urgent", "service",
                                                      "batch"};

using resource_row = field_row<resource_vector>;
using team_row = field_row<team_config>;
using workload_row = field_row<parsed_workload>;
using document_row = field_row<parsed_document>;

template <auto kField, std::int64_t kLow, std::int64_t kHigh, class Target>
void ReadNumber(const yaml_node& node, std::string_view path, Target& target,
                fault_list& faults) {
  ReadInteger(node, path, kLow, kHigh, target.*kField, faults);
}

constexpr std::array<resource_row, 3> kNeedRows = {{
    {"cpu_milli", true, ReadNumber<&resource_vector::cpu_milli, 1, kMaxAmount>},
    {"memory_mib", true,
     ReadNumber<&resource_vector::memory_mib, 1, kMaxAmount>},
    {"accelerators", false,
     ReadNumber<&resource_vector::accelerators, 0, kMaxAmount>},
}};

constexpr std::array<resource_row, 3> kQuotaRows = {{
    {"cpu_milli", true, ReadNumber<&resource_vector::cpu_milli, 0, kMaxQuota>},
    {"memory_mib", true,
     ReadNumber<&resource_vector::memory_mib, 0, kMaxQuota>},
    {"accelerators", false,
     ReadNumber<&resource_vector::accelerators, 0, kMaxQuota>},
}};

constexpr std::array<team_row, 3> kTeamRows = {{
    {"name", true,
     [](const yaml_node& node, std::string_view path, team_config& team,
        fault_list& faults) { ReadName(node, path, team.name, faults); }},
    {"quota", true,
     [](const yaml_node& node, std::string_view path, team_config& team,
        fault_list& faults) {
       ReadMap<resource_vector>(node, path, kQuotaRows, team.quota, faults);
     }},
    {"weight", false, ReadNumber<&team_config::weight, 1, 1000>},
}};

template <auto kField>
void ReadWorkloadName(const yaml_node& node, std::string_view path,
                      parsed_workload& parsed, fault_list& faults) {
  ReadName(node, path, parsed.workload.*kField, faults);
}

template <auto kField, std::uint32_t kLow, std::uint32_t kHigh>
void ReadWorkloadCount(const yaml_node& node, std::string_view path,
                       parsed_workload& parsed, fault_list& faults) {
  ReadInteger(node, path, kLow, kHigh, parsed.workload.*kField, faults);
}

template <auto kField, std::uint32_t kLow, std::uint32_t kHigh>
void ReadServiceCount(const yaml_node& node, std::string_view path,
                      parsed_workload& parsed, fault_list& faults) {
  parsed.service_keys.emplace_back(path, node.line);
  ReadInteger(node, path, kLow, kHigh, parsed.workload.*kField, faults);
}

constexpr std::array<workload_row, 13> kWorkloadRows = {{
    {"name", true, ReadWorkloadName<&workload_config::name>},
    {"kind", true,
     [](const yaml_node& node, std::string_view path, parsed_workload& parsed,
        fault_list& faults) {
       std::size_t choice = 0;
       if (!ReadChoice(node, path, kKinds, choice, faults)) return;
       parsed.workload.kind = static_cast<workload_kind>(choice);
       parsed.has_kind = true;
     }},
    {"team", true, ReadWorkloadName<&workload_config::team>},
    {"class", false,
     [](const yaml_node& node, std::string_view path, parsed_workload& parsed,
        fault_list& faults) {
       std::size_t choice = 0;
       if (!ReadChoice(node, path, kClasses, choice, faults)) return;
       parsed.workload.priority = static_cast<priority_class>(choice);
       parsed.has_class = true;
     }},
    {"policy", false, ReadWorkloadName<&workload_config::policy>},
    {"instances", false,
     ReadWorkloadCount<&workload_config::instances, 1, kMaxInstances>},
    {"resources", true,
     [](const yaml_node& node, std::string_view path, parsed_workload& parsed,
        fault_list& faults) {
       ReadMap<resource_vector>(node, path, kNeedRows,
                                parsed.workload.resources, faults);
     }},
    {"run_ms", false,
     [](const yaml_node& node, std::string_view path, parsed_workload& parsed,
        fault_list& faults) {
       parsed.job_keys.emplace_back(path, node.line);
       ReadInteger(node, path, std::int64_t{0}, kMaxRunMs,
                   parsed.workload.run_ms, faults);
     }},
    {"slots", false, ReadServiceCount<&workload_config::slots, 1, 64>},
    {"connections", false,
     ReadServiceCount<&workload_config::connections, 1, 4096>},
    {"queue_limit", false,
     ReadServiceCount<&workload_config::queue_limit, 0, 100'000>},
    {"deadline_ms", false,
     [](const yaml_node& node, std::string_view path, parsed_workload& parsed,
        fault_list& faults) {
       parsed.service_keys.emplace_back(path, node.line);
       ReadInteger(node, path, std::int64_t{1}, kMaxDeadlineMs,
                   parsed.workload.deadline_ms, faults);
     }},
    {"spread", false,
     [](const yaml_node& node, std::string_view path, parsed_workload& parsed,
        fault_list& faults) {
       ReadBool(node, path, parsed.workload.spread, faults);
     }},
}};

void ReadWorkload(const yaml_node& node, std::string_view path,
                  parsed_document& parsed, fault_list& faults) {
  parsed_workload read;
  read.line = node.line;
  read.path = path;
  ReadMap<parsed_workload>(node, path, kWorkloadRows, read, faults);
  workload_config& workload = read.workload;
  if (!read.has_class) {
    workload.priority = workload.kind == workload_kind::kService
                            ? priority_class::kService
                            : priority_class::kBatch;
  }
  if (workload.policy.empty()) workload.policy = kDefaultPolicy;
  parsed.workloads.push_back(std::move(read));
}

constexpr std::array<document_row, 5> kDocumentRows = {{
    {"version", true,
     [](const yaml_node& node, std::string_view path, parsed_document&,
        fault_list& faults) {
       std::int64_t version = 0;
       ReadInteger(node, path, std::int64_t{1}, std::int64_t{1}, version,
                   faults);
     }},
    {"cell", true,
     [](const yaml_node& node, std::string_view path, parsed_document& parsed,
        fault_list& faults) { ReadName(node, path, parsed.cell, faults); }},
    {"teams", true,
     [](const yaml_node& node, std::string_view path, parsed_document& parsed,
        fault_list& faults) {
       ReadSequence(node, path, faults,
                    [&](const yaml_node& item, const std::string& item_path) {
                      parsed_team read;
                      read.line = item.line;
                      read.path = item_path;
                      ReadMap<team_config>(item, item_path, kTeamRows,
                                           read.team, faults);
                      parsed.teams.push_back(std::move(read));
                    });
     }},
    {"workloads", true,
     [](const yaml_node& node, std::string_view path, parsed_document& parsed,
        fault_list& faults) {
       ReadSequence(node, path, faults,
                    [&](const yaml_node& item, const std::string& item_path) {
                      ReadWorkload(item, item_path, parsed, faults);
                    });
     }},
    {"drain", false,
     [](const yaml_node& node, std::string_view path, parsed_document& parsed,
        fault_list& faults) {
       ReadSequence(node, path, faults,
                    [&](const yaml_node& item, const std::string& item_path) {
                      std::string vm;
                      if (!ReadVmId(item, item_path, vm, faults)) return;
                      parsed.drain.push_back({item.line, item_path, vm});
                    });
     }},
}};

}  // namespace

std::string_view ToString(workload_kind kind) {
  return kKinds[static_cast<std::size_t>(kind)];
}

std::string_view ToString(priority_class priority) {
  return kClasses[static_cast<std::size_t>(priority)];
}

const workload_config* cell_document::FindWorkload(
    std::string_view name) const {
  for (const auto& workload : workloads) {
    if (workload.name == name) return &workload;
  }
  return nullptr;
}

const team_config* cell_document::FindTeam(std::string_view name) const {
  for (const auto& team : teams) {
    if (team.name == name) return &team;
  }
  return nullptr;
}

std::string Describe(const config_fault& fault) {
  std::string text = fault.file;
  if (fault.line > 0) text += ":" + std::to_string(fault.line);
  if (!fault.key.empty()) text += ": " + fault.key;
  text += ": " + fault.message;
  if (!fault.remedy.empty()) text += "; " + fault.remedy;
  return text;
}

document_check CheckDocument(std::string_view file, std::string_view text,
                             const std::vector<std::string>& policy_names) {
  document_check check;
  const auto root = ParseYaml(file, text, check.faults);
  if (!root) return check;
  fault_list faults{std::string(file), {}};
  parsed_document parsed;
  ReadMap<parsed_document>(*root, "", kDocumentRows, parsed, faults);
  CheckDocumentRules(parsed, policy_names, faults);
  check.faults = std::move(faults.faults);
  std::stable_sort(check.faults.begin(), check.faults.end(),
                   [](const config_fault& left, const config_fault& right) {
                     return left.line < right.line;
                   });
  if (!check.faults.empty()) return check;
  auto document = std::make_shared<cell_document>();
  document->cell = std::move(parsed.cell);
  for (auto& team : parsed.teams) {
    document->teams.push_back(std::move(team.team));
  }
  for (auto& workload : parsed.workloads) {
    document->workloads.push_back(std::move(workload.workload));
  }
  for (auto& vm : parsed.drain) document->drain.push_back(std::move(vm.id));
  check.document = std::move(document);
  return check;
}

}  // namespace apricotwheel

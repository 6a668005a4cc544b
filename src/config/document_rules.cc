#include "config/document_rules.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string_view>

namespace apricotwheel {
namespace {

constexpr std::size_t kMaxTeams = 1000;
constexpr std::size_t kMaxWorkloads = 10'000;

struct named_resource {
  std::string_view name;
  std::int64_t resource_vector::*amount;
};
constexpr std::array<named_resource, 3> kResources = {{
    {"cpu_milli", &resource_vector::cpu_milli},
    {"memory_mib", &resource_vector::memory_mib},
    {"accelerators", &resource_vector::accelerators},
}};

using team_index = std::map<std::string_view, const parsed_team*>;

team_index CheckTeams(const parsed_document& parsed, fault_list& faults) {
  team_index teams;
  if (parsed.teams.size() > kMaxTeams) {
    faults.Add(parsed.teams[kMaxTeams].line, "teams",
               "there are more than " + std::to_string(kMaxTeams) + " teams",
               "merge teams");
  }
  for (const auto& team : parsed.teams) {
    if (team.team.name.empty()) continue;
    const auto [first, is_new] = teams.emplace(team.team.name, &team);
    if (!is_new) {
      faults.Add(team.line, team.path + ".name",
                 "team '" + team.team.name + "' is already declared in line " +
                     std::to_string(first->second->line),
                 "rename or remove one of them");
    }
  }
  return teams;
}

void CheckKeysForKind(const parsed_workload& parsed, fault_list& faults) {
  if (!parsed.has_kind) return;
  const bool is_service = parsed.workload.kind == workload_kind::kService;
  const auto& unsupported_keys =
      is_service ? parsed.job_keys : parsed.service_keys;
  for (const auto& [path, line] : unsupported_keys) {
    faults.Add(line, path,
               "the key has no effect on a " +
                   std::string(ToString(parsed.workload.kind)) + " workload",
               is_service ? "remove it; a service has no end"
                          : "remove it; only services take requests");
  }
  const auto& workload = parsed.workload;
  if (is_service && workload.connections < workload.slots) {
    faults.Add(parsed.line, parsed.path + ".connections",
               std::to_string(workload.connections) +
                   " connections cannot carry " +
                   std::to_string(workload.slots) + " slots",
               "write at least as many connections as slots");
  }
}

// Adds one fault for each resource of which `need` exceeds the team's quota.
void CheckQuota(const parsed_workload& parsed, const team_config& team,
                const resource_vector& need, std::string_view consumers,
                fault_list& faults) {
  for (const auto& resource : kResources) {
    const std::int64_t used = need.*resource.amount;
    const std::int64_t quota = team.quota.*resource.amount;
    if (used <= quota) continue;
    faults.Add(parsed.line, parsed.path + ".resources",
               std::string(consumers) + " of team '" + team.name + "' need " +
                   std::to_string(used) + " " + std::string(resource.name) +
                   ", its quota is " + std::to_string(quota),
               "raise the quota for " + std::string(resource.name) +
                   " or lower the need");
  }
}

resource_vector Multiply(const resource_vector& each, std::int64_t count) {
  return {each.cpu_milli * count, each.memory_mib * count,
          each.accelerators * count};
}

void CheckWorkloads(const parsed_document& parsed, const team_index& teams,
                    const std::vector<std::string>& policy_names,
                    fault_list& faults) {
  if (parsed.workloads.size() > kMaxWorkloads) {
    faults.Add(
        parsed.workloads[kMaxWorkloads].line, "workloads",
        "there are more than " + std::to_string(kMaxWorkloads) + " workloads",
        "remove workloads");
    return;
  }
  std::string policies;
  for (const auto& name : policy_names) {
    policies += (policies.empty() ? "" : ", ") + name;
  }
  std::map<std::string_view, int> lines_by_name;
  std::map<std::string_view, resource_vector> service_totals;
  for (const auto& entry : parsed.workloads) {
    const auto& workload = entry.workload;
    if (!workload.name.empty()) {
      const auto [first, is_new] =
          lines_by_name.emplace(workload.name, entry.line);
      if (!is_new) {
        faults.Add(entry.line, entry.path + ".name",
                   "workload '" + workload.name +
                       "' is already declared in line " +
                       std::to_string(first->second),
                   "rename or remove one of them");
      }
    }
    CheckKeysForKind(entry, faults);
    if (!policy_names.empty() &&
        std::find(policy_names.begin(), policy_names.end(), workload.policy) ==
            policy_names.end()) {
      faults.Add(entry.line, entry.path + ".policy",
                 "no policy is named '" + workload.policy + "'",
                 "use one of: " + policies);
    }
    if (workload.team.empty()) continue;
    const auto team = teams.find(workload.team);
    if (team == teams.end()) {
      faults.Add(entry.line, entry.path + ".team",
                 "no team is named '" + workload.team + "'",
                 "declare the team or correct the name");
      continue;
    }
    if (!entry.has_kind) continue;
    const auto total = Multiply(workload.resources, workload.instances);
    switch (workload.kind) {
      case workload_kind::kService: {
        auto& sum = service_totals[workload.team];
        sum = sum + total;
        CheckQuota(entry, team->second->team, sum, "the services", faults);
        break;
      }
      case workload_kind::kGang:
        CheckQuota(entry, team->second->team, total, "the tasks of this gang",
                   faults);
        break;
      case workload_kind::kBatch:
        CheckQuota(entry, team->second->team, workload.resources,
                   "single tasks", faults);
        break;
    }
  }
}

void CheckDrain(const parsed_document& parsed, fault_list& faults) {
  std::set<std::string_view> seen;
  for (const auto& vm : parsed.drain) {
    if (!seen.insert(vm.id).second) {
      faults.Add(vm.line, vm.path, "VM '" + vm.id + "' is listed twice",
                 "remove one of the entries");
    }
  }
}

}  // namespace

void CheckDocumentRules(const parsed_document& parsed,
                        const std::vector<std::string>& policy_names,
                        fault_list& faults) {
  const team_index teams = CheckTeams(parsed, faults);
  CheckWorkloads(parsed, teams, policy_names, faults);
  CheckDrain(parsed, faults);
}

}  // namespace apricotwheel

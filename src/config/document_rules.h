#pragma once

#include <string>
#include <utility>
#include <vector>

#include "config/document.h"
#include "config/fields.h"

namespace apricotwheel {

struct parsed_team {
  int line = 0;
  std::string path;
  team_config team;
};

struct parsed_workload {
  int line = 0;
  std::string path;
  workload_config workload;
  bool has_kind = false;
  bool has_class = false;
  // Paths and lines of the keys that are present and that only services, or
  // only batch and gang workloads, may have.
  std::vector<std::pair<std::string, int>> service_keys;
  std::vector<std::pair<std::string, int>> job_keys;
};

struct parsed_drain {
  int line = 0;
  std::string path;
  std::string id;
};

// A document whose values have been validated one by one, with the lines that
// they come from.
struct parsed_document {
  std::string cell;
  std::vector<parsed_team> teams;
  std::vector<parsed_workload> workloads;
  std::vector<parsed_drain> drain;
};

// Checks the rules that involve several values, such as quotas and unique
// names.
void CheckDocumentRules(const parsed_document& parsed,
                        const std::vector<std::string>& policy_names,
                        fault_list& faults);

}  // namespace apricotwheel

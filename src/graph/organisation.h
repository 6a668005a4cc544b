#pragma once

#include <map>
#include <string>
#include <vector>

#include "kernel/resources.h"

namespace apricotwheel {

// What operators have set for an organisation that submits jobs.
struct organisation_rules {
  std::string name;
  std::vector<std::string> keys;  // Of its callers.
  // Its share of full workers, and the jobs a second that it may submit.
  double weight = 1;
  // What it may have running on all workers together; 0 stands for no limit.
  resource_vector limit;
};

using organisation_table = std::map<std::string, organisation_rules>;

}  // namespace apricotwheel

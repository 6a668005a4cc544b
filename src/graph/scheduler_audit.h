#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace apricotwheel {

// Contradictions in the state of a scheduler. All counts are 0 unless a code
// path has lost track of a task.
struct scheduler_audit {
  // Placed tasks without a run on their worker: nothing starts them again.
  std::size_t tasks_without_run = 0;
  // Steps whose counts of waiting, placed and done tasks are wrong.
  std::size_t miscounted_steps = 0;
  // Workers whose resources in use are not the sum over their runs.
  std::size_t miscounted_workers = 0;
  // Entries of lists of jobs that refer to deleted ones.
  std::size_t deleted_jobs = 0;
  // Describes the first contradictions.
  std::vector<std::string> findings;
};

}  // namespace apricotwheel

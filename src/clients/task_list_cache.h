#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

#include "clients/worker_client.h"

namespace apricotwheel {

// The last complete task list of one worker. With it, a renewal needs to
// transfer only the tasks that changed since.
struct task_list_cache {
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  bool valid = false;
  std::map<std::string, task_status> tasks;
};

// Returns the version after which changes are to be requested, or nothing if no
// valid list of this epoch is cached.
std::optional<std::uint64_t> CachedVersion(const task_list_cache& cache,
                                           std::uint64_t epoch);

// Replaces the cached list with a complete one.
void ReplaceTaskList(task_list_cache& cache, std::uint64_t epoch,
                     const worker_snapshot& complete_list);

// Merges the changes in `partial` and the removal of the acknowledged tasks
// into the cache, and completes `partial` from it. Returns false and
// invalidates the cache if the merged list does not have `partial.task_count`
// tasks.
bool MergeTaskChanges(task_list_cache& cache, worker_snapshot& partial,
                      std::span<const std::string> acknowledged);

}  // namespace apricotwheel

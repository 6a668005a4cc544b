#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

#include "clients/worker_client.h"

namespace apricotwheel {

// The last whole task list of one worker, so that a renewal needs to carry only
// what changed since.
struct task_list_cache {
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  bool valid = false;
  std::map<std::string, task_status> tasks;
};

// The version to ask changes after; absent if there is no list of this epoch.
std::optional<std::uint64_t> CachedVersion(const task_list_cache& cache,
                                           std::uint64_t epoch);

// Keeps a whole list.
void ReplaceTaskList(task_list_cache& cache, std::uint64_t epoch,
                     const worker_snapshot& complete_list);

// Merges a partial list into the cache and completes `partial` from it. Returns
// false, and forgets the list, if the result has not the announced length.
bool MergeTaskChanges(task_list_cache& cache, worker_snapshot& partial,
                      std::span<const std::string> acknowledged);

}  // namespace apricotwheel

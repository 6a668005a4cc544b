#include "clients/task_list_cache.h"

#include <utility>

namespace apricotwheel {

std::optional<std::uint64_t> CachedVersion(const task_list_cache& cache,
                                           std::uint64_t epoch) {
  if (!cache.valid || cache.epoch != epoch) return std::nullopt;
  return cache.version;
}

void ReplaceTaskList(task_list_cache& cache, std::uint64_t epoch,
                     const worker_snapshot& complete_list) {
  cache.epoch = epoch;
  cache.version = complete_list.version;
  cache.valid = true;
  cache.tasks.clear();
  for (const task_status& task : complete_list.tasks) {
    cache.tasks.insert_or_assign(task.spec.task_id, task);
  }
}

bool MergeTaskChanges(task_list_cache& cache, worker_snapshot& partial,
                      std::span<const std::string> acknowledged) {
  for (const std::string& id : acknowledged) {
    const auto found = cache.tasks.find(id);
    if (found == cache.tasks.end()) continue;
    if (found->second.state != task_state::kRunning) cache.tasks.erase(found);
  }
  for (task_status& task : partial.tasks) {
    std::string id = task.spec.task_id;
    cache.tasks.insert_or_assign(std::move(id), std::move(task));
  }
  cache.version = partial.version;
  cache.valid = cache.tasks.size() == partial.task_count;
  partial.tasks.clear();
  if (!cache.valid) return false;
  partial.tasks.reserve(cache.tasks.size());
  for (const auto& [id, task] : cache.tasks) partial.tasks.push_back(task);
  partial.partial = false;
  return true;
}

}  // namespace apricotwheel

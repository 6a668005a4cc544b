#include "placement/cell_data.h"

#include <algorithm>

namespace apricotwheel {
namespace {

// Returns the position of a rack in the sorted list of racks in use.
std::vector<rack_count>::iterator RackPosition(workload_entry& workload,
                                               std::uint32_t rack) {
  return std::lower_bound(
      workload.racks.begin(), workload.racks.end(), rack,
      [](const rack_count& a, std::uint32_t b) { return a.rack < b; });
}

// Returns the number of a workload; a new one gets an unused number.
std::uint32_t InternWorkload(cell_data& cell, std::string_view name) {
  const auto found = cell.workload_ids.find(name);
  if (found != cell.workload_ids.end()) return found->second;
  std::uint32_t number = 0;
  if (cell.removed_workloads.empty()) {
    number = static_cast<std::uint32_t>(cell.workloads.size());
    cell.workloads.emplace_back();
  } else {
    number = cell.removed_workloads.back();
    cell.removed_workloads.pop_back();
  }
  cell.workloads[number] = {std::string(name), 0, {}, {}};
  cell.workload_ids.emplace(name, number);
  return number;
}

bool IsNegative(const resource_vector& amount) {
  return !Fits(resource_vector{}, amount);
}

}  // namespace

void AddInstance(workload_entry& workload, const worker_entry& worker) {
  ++workload.tasks;
  if (workload.domain_counts.size() <= worker.domain) {
    workload.domain_counts.resize(worker.domain + 1);
  }
  ++workload.domain_counts[worker.domain];
  const auto position = RackPosition(workload, worker.rack);
  if (position != workload.racks.end() && position->rack == worker.rack) {
    ++position->count;
  } else {
    workload.racks.insert(position, {worker.rack, worker.domain, 1});
  }
}

void RemoveInstance(workload_entry& workload, const worker_entry& worker) {
  --workload.tasks;
  --workload.domain_counts[worker.domain];
  const auto position = RackPosition(workload, worker.rack);
  if (--position->count == 0) workload.racks.erase(position);
}

std::uint32_t Intern(name_table& table, std::string_view name) {
  const auto found = table.find(name);
  if (found != table.end()) return found->second;
  const auto number = static_cast<std::uint32_t>(table.size());
  table.emplace(name, number);
  return number;
}

std::size_t TreeLevel(const worker_group& group, std::int64_t accelerators) {
  const auto last = static_cast<std::int64_t>(group.free_roots.size()) - 1;
  return static_cast<std::size_t>(
      std::clamp<std::int64_t>(accelerators, 0, last));
}

void UnindexWorker(cell_data& cell, worker_index worker) {
  worker_entry& entry = cell.workers[worker];
  if (!entry.indexed) return;
  worker_group& group = cell.groups[entry.group];
  if (!IsNegative(entry.free)) {
    cell.free_tree.Erase(
        group.free_roots[TreeLevel(group, entry.free.accelerators)], worker);
  }
  const resource_vector preemptable = entry.free + entry.batch_use;
  if (!IsNegative(preemptable)) {
    cell.preemptable_tree.Erase(
        group.preemptable_roots[TreeLevel(group, preemptable.accelerators)],
        worker);
  }
  entry.indexed = false;
}

void IndexWorker(cell_data& cell, worker_index worker) {
  worker_entry& entry = cell.workers[worker];
  if (entry.indexed || !entry.present || !entry.usable) return;
  worker_group& group = cell.groups[entry.group];
  if (!IsNegative(entry.free)) {
    cell.free_tree.Insert(
        group.free_roots[TreeLevel(group, entry.free.accelerators)], worker,
        entry.free);
  }
  const resource_vector preemptable = entry.free + entry.batch_use;
  if (!IsNegative(preemptable)) {
    cell.preemptable_tree.Insert(
        group.preemptable_roots[TreeLevel(group, preemptable.accelerators)],
        worker, preemptable);
  }
  entry.indexed = true;
}

void AddTask(cell_data& cell, worker_index worker,
             const placement_request& request) {
  std::uint32_t number = 0;
  if (cell.removed_tasks.empty()) {
    number = static_cast<std::uint32_t>(cell.tasks.size());
    cell.tasks.emplace_back();
  } else {
    number = cell.removed_tasks.back();
    cell.removed_tasks.pop_back();
  }
  UnindexWorker(cell, worker);
  worker_entry& host = cell.workers[worker];
  task_entry& task = cell.tasks[number];
  task = {std::string(request.task_id),
          InternWorkload(cell, request.workload),
          request.priority,
          request.need,
          request.need,
          worker,
          static_cast<std::uint32_t>(host.tasks.size())};
  host.tasks.push_back(number);
  host.free = host.free - task.allocated;
  if (task.priority == priority_class::kBatch) {
    host.batch_use = host.batch_use + task.allocated;
  }
  AddInstance(cell.workloads[task.workload], host);
  cell.task_ids.emplace(task.id, number);
  IndexWorker(cell, worker);
}

void RemoveTask(cell_data& cell, std::uint32_t number) {
  task_entry& task = cell.tasks[number];
  const worker_index worker = task.worker;
  UnindexWorker(cell, worker);
  worker_entry& host = cell.workers[worker];
  host.free = host.free + task.allocated;
  if (task.priority == priority_class::kBatch) {
    host.batch_use = host.batch_use - task.allocated;
  }
  const std::uint32_t moved = host.tasks.back();
  host.tasks[task.position] = moved;
  cell.tasks[moved].position = task.position;
  host.tasks.pop_back();
  workload_entry& workload = cell.workloads[task.workload];
  RemoveInstance(workload, host);
  if (workload.tasks == 0) {
    cell.workload_ids.erase(workload.name);
    cell.removed_workloads.push_back(task.workload);
  }
  cell.task_ids.erase(task.id);
  cell.removed_tasks.push_back(number);
  task.worker = kNoWorker;
  IndexWorker(cell, worker);
}

}  // namespace apricotwheel

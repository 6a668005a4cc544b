// Keeps services at their number of instances, and sends stop requests.
#include <algorithm>

#include "jobs/shard_owner.h"

namespace apricotwheel {

namespace {

constexpr auto kStopRetryInterval = milliseconds(500);

}  // namespace

void shard_owner::ReconcileServices(const cell_snapshot& cell) {
  if (!cell.document) return;
  std::set<std::string_view> leaving;
  if (cell.vms) {
    for (const auto& vm : cell.vms->vms) {
      if (vm.state == vm_state::kLeaving) leaving.insert(vm.id);
    }
  }
  std::lock_guard guard(mutex_);
  // Until the inventories are complete, a missing instance may be running.
  if (!inventory_was_complete_) return;
  for (auto& [name, service] : services_) {
    const auto* config = cell.document->FindWorkload(name);
    const bool is_declared = config != nullptr &&
                             config->kind == workload_kind::kService &&
                             ShardOf(config->team) == options_.shard;
    if (!is_declared) ReconcileService(service, 0, leaving);
  }
  for (const auto& config : cell.document->workloads) {
    if (config.kind != workload_kind::kService ||
        ShardOf(config.team) != options_.shard) {
      continue;
    }
    auto& service = services_[config.name];
    service.config = config;
    ReconcileService(service, config.instances, leaving);
  }
  std::erase_if(services_, [&](const auto& entry) {
    return entry.second.instances.empty() &&
           cell.document->FindWorkload(entry.first) == nullptr;
  });
}

void shard_owner::ReconcileService(service_entry& service, std::uint32_t wanted,
                                   const std::set<std::string_view>& leaving) {
  const auto now = options_.clock->Now();
  std::size_t staying = 0;
  std::size_t running = 0;
  for (const auto& [index, task] : service.instances) {
    if (task.stop_requested || leaving.contains(task.worker)) continue;
    ++staying;
    if (task.state == attempt_state::kRunning) ++running;
  }
  const auto stop_instance = [&](managed_task& task) {
    task.stop_requested = true;
    task.stop_sent_at = time_point::min();
    stopping_tasks_.insert(task.task_id);
  };
  for (std::uint32_t index = 0; staying < wanted && now >= service.retry_at;
       ++index) {
    if (service.instances.contains(index)) continue;
    auto& task = service.instances[index];
    task.task_id = std::string(kServiceTaskIdPrefix) + service.config.name +
                   "/" + std::to_string(index);
    task.queued_at = now;
    SetTaskState({&task, nullptr, &service}, attempt_state::kPending);
    ++staying;
  }
  // Removes instances that are not active first, and the highest index first.
  std::vector<std::string> removed;
  for (const bool active : {false, true}) {
    for (auto entry = service.instances.rbegin();
         entry != service.instances.rend() && staying > wanted; ++entry) {
      auto& task = entry->second;
      if (task.stop_requested || IsActive(task.state) != active ||
          leaving.contains(task.worker)) {
        continue;
      }
      --staying;
      if (active) {
        if (task.state == attempt_state::kRunning) --running;
        stop_instance(task);
      } else {
        removed.push_back(task.task_id);
      }
    }
  }
  for (const auto& id : removed) EndTask(FindTask(id), attempt_state::kStopped);
  // Instances on leaving VMs are stopped after their replacements run.
  if (running < wanted) return;
  for (auto& [index, task] : service.instances) {
    if (!task.stop_requested && IsActive(task.state) &&
        leaving.contains(task.worker)) {
      stop_instance(task);
    }
  }
}

void shard_owner::SendStopRequests(const cell_snapshot& cell) {
  std::map<std::pair<std::string, wire::stop_mode>, std::set<std::string>>
      tasks_by_target;
  {
    std::lock_guard guard(mutex_);
    const auto now = options_.clock->Now();
    const auto owner_of = [&](const std::string& partition) -> std::string {
      const auto found = cell.view->owners.partitions.find(partition);
      return found == cell.view->owners.partitions.end() ? ""
                                                         : found->second.owner;
    };
    for (const auto& id : stopping_tasks_) {
      const auto ref = FindTask(id);
      if (!ref || !IsActive(ref.task->state)) continue;
      if (ref.task->stop_sent_at != time_point::min() &&
          now - ref.task->stop_sent_at < kStopRetryInterval) {
        continue;
      }
      ref.task->stop_sent_at = now;
      const auto mode = ref.job && !ref.job->cancelled
                            ? wire::stop_mode::checkpoint
                            : wire::stop_mode::kill;
      const auto owner = owner_of(ref.task->partition);
      if (!owner.empty()) {
        tasks_by_target[{owner, mode}].insert(id);
        continue;
      }
      for (const auto& member : cell.view->members) {
        tasks_by_target[{member.id, mode}].insert(id);
      }
    }
    for (const auto& [member, ids] : orphaned_tasks_) {
      tasks_by_target[{member, wire::stop_mode::kill}].insert(ids.begin(),
                                                              ids.end());
    }
    orphaned_tasks_.clear();
  }
  for (const auto& [target, ids] : tasks_by_target) {
    wire::stop_requestT request;
    request.shard = options_.shard;
    request.shard_epoch = options_.epoch;
    request.mode = target.second;
    request.task_ids.assign(ids.begin(), ids.end());
    options_.cell.stop(target.first, request);
  }
}

}  // namespace apricotwheel

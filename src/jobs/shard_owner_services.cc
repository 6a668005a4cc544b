// Services of the own teams, and stops of all kinds.
#include <algorithm>

#include "jobs/shard_owner.h"

namespace apricotwheel {

namespace {

constexpr auto kStopRepeat = milliseconds(500);

}  // namespace

void shard_owner::KeepServices(const cell_picture& cell) {
  if (!cell.document) return;
  std::set<std::string_view> leaving;
  if (cell.vms) {
    for (const auto& vm : cell.vms->vms) {
      if (vm.state == vm_state::kLeaving) leaving.insert(vm.id);
    }
  }
  std::lock_guard guard(mutex_);
  // An index that no inventory has shown yet may run somewhere.
  if (!inventory_known_) return;
  for (auto& [name, service] : services_) {
    const auto* config = cell.document->FindWorkload(name);
    const bool kept = config != nullptr &&
                      config->kind == workload_kind::kService &&
                      ShardOf(config->team) == options_.shard;
    if (!kept) KeepService(service, 0, leaving);
  }
  for (const auto& config : cell.document->workloads) {
    if (config.kind != workload_kind::kService ||
        ShardOf(config.team) != options_.shard) {
      continue;
    }
    auto& service = services_[config.name];
    service.config = config;
    KeepService(service, config.instances, leaving);
  }
  std::erase_if(services_, [&](const auto& entry) {
    return entry.second.instances.empty() &&
           cell.document->FindWorkload(entry.first) == nullptr;
  });
}

void shard_owner::KeepService(service_entry& service, std::uint32_t wanted,
                              const std::set<std::string_view>& leaving) {
  const auto now = options_.clock->Now();
  std::size_t staying = 0;
  std::size_t running = 0;
  for (const auto& [index, task] : service.instances) {
    if (task.stopping || leaving.contains(task.worker)) continue;
    ++staying;
    if (task.state == attempt_state::kRunning) ++running;
  }
  const auto stop = [&](managed_task& task) {
    task.stopping = true;
    task.stop_sent_at = time_point::min();
    stopping_.insert(task.task_id);
  };
  for (std::uint32_t index = 0; staying < wanted && now >= service.retry_at;
       ++index) {
    if (service.instances.contains(index)) continue;
    auto& task = service.instances[index];
    task.task_id = std::string(kServicePrefix) + service.config.name + "/" +
                   std::to_string(index);
    task.queued_at = now;
    SetState({&task, nullptr, &service}, attempt_state::kPending);
    ++staying;
  }
  // The highest index goes first; one that does not run yet goes before.
  std::vector<std::string> dropped;
  for (const bool active : {false, true}) {
    for (auto entry = service.instances.rbegin();
         entry != service.instances.rend() && staying > wanted; ++entry) {
      auto& task = entry->second;
      if (task.stopping || IsActive(task.state) != active ||
          leaving.contains(task.worker)) {
        continue;
      }
      --staying;
      if (active) {
        if (task.state == attempt_state::kRunning) --running;
        stop(task);
      } else {
        dropped.push_back(task.task_id);
      }
    }
  }
  for (const auto& id : dropped) Finish(Find(id), attempt_state::kStopped);
  // Instances on leaving VMs serve until their replacements run.
  if (running < wanted) return;
  for (auto& [index, task] : service.instances) {
    if (!task.stopping && IsActive(task.state) &&
        leaving.contains(task.worker)) {
      stop(task);
    }
  }
}

void shard_owner::SendStops(const cell_picture& cell) {
  std::map<std::pair<std::string, wire::stop_mode>, std::set<std::string>>
      batches;
  {
    std::lock_guard guard(mutex_);
    const auto now = options_.clock->Now();
    const auto owner_of = [&](const std::string& partition) -> std::string {
      const auto found = cell.view->owners.partitions.find(partition);
      return found == cell.view->owners.partitions.end() ? ""
                                                         : found->second.owner;
    };
    for (const auto& id : stopping_) {
      const auto ref = Find(id);
      if (!ref || !IsActive(ref.task->state)) continue;
      if (ref.task->stop_sent_at != time_point::min() &&
          now - ref.task->stop_sent_at < kStopRepeat) {
        continue;
      }
      ref.task->stop_sent_at = now;
      const auto mode = ref.job && !ref.job->cancelled
                            ? wire::stop_mode::checkpoint
                            : wire::stop_mode::kill;
      const auto owner = owner_of(ref.task->partition);
      if (!owner.empty()) {
        batches[{owner, mode}].insert(id);
        continue;
      }
      for (const auto& member : cell.view->members) {
        batches[{member.id, mode}].insert(id);
      }
    }
    for (const auto& [member, ids] : orphans_) {
      batches[{member, wire::stop_mode::kill}].insert(ids.begin(), ids.end());
    }
    orphans_.clear();
  }
  for (const auto& [target, ids] : batches) {
    wire::stop_requestT request;
    request.shard = options_.shard;
    request.shard_epoch = options_.epoch;
    request.mode = target.second;
    request.task_ids.assign(ids.begin(), ids.end());
    options_.cell.stop(target.first, request);
  }
}

}  // namespace apricotwheel

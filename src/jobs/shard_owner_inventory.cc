// Collects inventories of running tasks: when the shard was taken over, when
// partitions changed owners, and when the effect of a place request is unknown.
#include <algorithm>
#include <charconv>

#include "jobs/jobs_events.h"
#include "jobs/shard_owner.h"

namespace apricotwheel {

namespace {

constexpr auto kInventoryPollInterval = milliseconds(200);
// A placed task without events for this long triggers an inventory.
constexpr auto kPlacementEventTimeout = milliseconds(5000);
// An inventory does not contain tasks of place requests that are still in
// flight. Requests time out after 1 s, and their handlers end well within this
// time.
constexpr auto kMaxPlaceTime = milliseconds(3000);
// Clock drift over one task lease, see worker_lease.h.
constexpr auto kDriftMargin = milliseconds(500);

}  // namespace

void shard_owner::CollectInventories(const cell_snapshot& cell) {
  wire::inventory_requestT request;
  request.shard = options_.shard;
  request.shard_epoch = options_.epoch;
  std::vector<std::string> members;
  {
    std::lock_guard guard(mutex_);
    const auto now = options_.clock->Now();
    if (cell.view->owners.partitions != seen_partitions_) {
      seen_partitions_ = cell.view->owners.partitions;
      inventory_scan_.requested = true;
    }
    if (!inventory_scan_.active && !inventory_scan_.requested) {
      const auto has_no_events = [&](const managed_task& task) {
        return task.state == attempt_state::kPlaced &&
               now - task.state_changed_at > kPlacementEventTimeout;
      };
      for (const auto& [id, job] : jobs_) {
        inventory_scan_.requested =
            inventory_scan_.requested ||
            std::any_of(job.tasks.begin(), job.tasks.end(), has_no_events);
      }
      for (const auto& [name, service] : services_) {
        for (const auto& [index, task] : service.instances) {
          inventory_scan_.requested =
              inventory_scan_.requested || has_no_events(task);
        }
      }
    }
    if (inventory_scan_.requested && !inventory_scan_.active) {
      inventory_scan_ = {};
      inventory_scan_.requested = false;
      inventory_scan_.active = true;
      inventory_scan_.started_at = now;
    }
    if (!inventory_scan_.active ||
        (inventory_scan_.last_poll_at != time_point::min() &&
         now - inventory_scan_.last_poll_at < kInventoryPollInterval)) {
      return;
    }
    inventory_scan_.last_poll_at = now;
    // Includes members without partitions: they may know tasks on VMs that were
    // removed from the VM list.
    for (const auto& member : cell.view->members) members.push_back(member.id);
  }
  thread_group threads;
  for (const auto& member : members) {
    const auto request_inventory = [this, &member, &cell, &request] {
      const auto response = options_.cell.inventory(member, request);
      if (response) OnInventoryResponse(member, cell, *response);
    };
    if (members.size() == 1 || !Attempt([&] {
          return threads.Spawn("inventory", request_inventory);
        })) {
      request_inventory();
    }
  }
  threads.JoinAll();
  std::lock_guard guard(mutex_);
  if (IsInventoryScanComplete(cell)) FinishInventoryScan(cell);
}

void shard_owner::OnInventoryResponse(
    const std::string& member, const cell_snapshot& cell,
    const wire::inventory_responseT& response) {
  std::lock_guard guard(mutex_);
  for (const auto& line : response.partitions) {
    const auto found = cell.view->owners.partitions.find(line->partition);
    // A member that lost the partition and got it back may still report for its
    // earlier ownership.
    if (line->complete && found != cell.view->owners.partitions.end() &&
        found->second.owner == member &&
        (line->epoch == 0 || line->epoch >= found->second.epoch)) {
      inventory_scan_.complete_partitions.insert(line->partition);
    }
  }
  for (const auto& reported : response.tasks) {
    if (!reported->spec) continue;
    const auto& id = reported->spec->task_id;
    auto ref = FindTask(id);
    const bool is_running =
        static_cast<task_state>(reported->state) == task_state::kRunning;
    // The end of an attempt, after which another member got the task.
    if (!is_running && ref && ref.task->worker.empty() &&
        !ref.task->member.empty() && ref.task->member != member) {
      continue;
    }
    inventory_scan_.reported_tasks.insert(id);
    if (!ref && is_running && id.starts_with(kServiceTaskIdPrefix)) {
      const auto slash = id.rfind('/');
      std::uint32_t index = 0;
      std::from_chars(id.data() + slash + 1, id.data() + id.size(), index);
      auto& service = services_[reported->spec->workload];
      if (service.config.name.empty()) {
        service.config.name = reported->spec->workload;
        service.config.team = reported->spec->team;
        service.config.kind = workload_kind::kService;
        service.config.resources = ToResources(*reported->spec->need);
      }
      auto& task = service.instances[index];
      task.task_id = id;
      task.queued_at = options_.clock->Now();
      ref = {&task, nullptr, &service};
    }
    if (!ref || HasEnded(ref.task->state)) {
      if (is_running) orphaned_tasks_[member].insert(id);
      continue;
    }
    if (!is_running) {
      // The end arrives as an event, which is sent until it is accepted. During
      // the first scan another member may still report the task as running.
      if (ref.task->worker.empty() && inventory_was_complete_) {
        ref.task->worker = reported->worker;
        ref.task->partition = reported->partition;
      }
      continue;
    }
    if (ref.task->state != attempt_state::kRunning) {
      SetTaskState(ref, attempt_state::kPlaced);
      // An instance that is being started has no address yet; its event
      // follows.
      ref.task->worker = reported->worker;
      ref.task->partition = reported->partition;
      ref.task->member = member;
      if (!reported->address.empty() || ref.service == nullptr) {
        SetTaskRunning(ref, member, *reported);
      }
    } else if (ref.task->worker == reported->worker) {
      ref.task->member = member;
      ref.task->partition = reported->partition;
    }
  }
}

bool shard_owner::IsInventoryScanComplete(const cell_snapshot& cell) const {
  if (!inventory_scan_.active) return false;
  const auto now = options_.clock->Now();
  for (const auto& [name, owner] : cell.view->owners.partitions) {
    if (inventory_scan_.complete_partitions.contains(name)) continue;
    // Nobody reports for a rack without VMs and without an owner. After one
    // task lease no task can run there.
    const bool is_vacant =
        owner.owner.empty() && cell.vms != nullptr &&
        std::none_of(cell.vms->vms.begin(), cell.vms->vms.end(),
                     [&rack = name](const auto& vm) {
                       return vm.failure_domain + "/" + vm.rack == rack;
                     });
    if (!is_vacant ||
        now < inventory_scan_.started_at + options_.task_lease + kDriftMargin) {
      return false;
    }
  }
  return !cell.view->owners.partitions.empty();
}

void shard_owner::FinishInventoryScan(const cell_snapshot& cell) {
  const auto placed_before = inventory_scan_.started_at - kMaxPlaceTime;
  std::vector<std::string> lost;
  const auto check_task = [&](const managed_task& task) {
    if (!IsActive(task.state) ||
        inventory_scan_.reported_tasks.contains(task.task_id))
      return;
    if (task.state_changed_at < placed_before) {
      lost.push_back(task.task_id);
    } else if (task.state == attempt_state::kPlaced) {
      inventory_scan_.requested = true;
    }
  };
  for (const auto& [id, job] : jobs_) {
    for (const auto& task : job.tasks) check_task(task);
  }
  for (const auto& [name, service] : services_) {
    for (const auto& [index, task] : service.instances) check_task(task);
  }
  for (const auto& id : lost) {
    const auto ref = FindTask(id);
    if (!ref) continue;
    Emit(options_.log, kTaskLost,
         {Field("task", id), Field("worker", ref.task->worker)});
    auto* job = ref.job;
    if (ref.IsGang() && !job->restarting) {
      RestartGang(*job, "a task of the gang was lost");
    }
    RequeueTask(ref, "lost with its worker", duration(0));
    if (job != nullptr && HasEnded(*job)) StageJob(*job);
  }
  Emit(options_.log, kInventoryComplete,
       {Field("shard", options_.shard),
        Field("partitions", cell.view->owners.partitions.size()),
        Field("shown", inventory_scan_.reported_tasks.size()),
        Field("lost", lost.size())});
  inventory_scan_.active = false;
  inventory_was_complete_ = true;
}

}  // namespace apricotwheel

// What runs already: after a take-over, after partitions moved, and when the
// effect of a place call is unknown.
#include <algorithm>
#include <charconv>

#include "jobs/jobs_events.h"
#include "jobs/shard_owner.h"

namespace apricotwheel {

namespace {

constexpr auto kAskInterval = milliseconds(200);
// A placed task whose events do not come is looked for after this time.
constexpr auto kSilentPlacement = milliseconds(5000);
// A place call that is still on its way when the inventory is taken would not
// be shown; calls time out and handlers end well within this time.
constexpr auto kCallInFlight = milliseconds(3000);
constexpr auto kDriftMargin = milliseconds(500);

}  // namespace

void shard_owner::TakeInventory(const cell_picture& cell) {
  wire::inventory_requestT request;
  request.shard = options_.shard;
  request.shard_epoch = options_.epoch;
  std::vector<std::string> members;
  {
    std::lock_guard guard(mutex_);
    const auto now = options_.clock->Now();
    if (cell.view->owners.partitions != seen_partitions_) {
      seen_partitions_ = cell.view->owners.partitions;
      sweep_.wanted = true;
    }
    if (!sweep_.active && !sweep_.wanted) {
      const auto silent = [&](const managed_task& task) {
        return task.state == attempt_state::kPlaced &&
               now - task.changed_at > kSilentPlacement;
      };
      for (const auto& [id, job] : jobs_) {
        sweep_.wanted = sweep_.wanted ||
                        std::any_of(job.tasks.begin(), job.tasks.end(), silent);
      }
      for (const auto& [name, service] : services_) {
        for (const auto& [index, task] : service.instances) {
          sweep_.wanted = sweep_.wanted || silent(task);
        }
      }
    }
    if (sweep_.wanted && !sweep_.active) {
      sweep_ = {};
      sweep_.wanted = false;
      sweep_.active = true;
      sweep_.started = now;
    }
    if (!sweep_.active || (sweep_.asked_at != time_point::min() &&
                           now - sweep_.asked_at < kAskInterval)) {
      return;
    }
    sweep_.asked_at = now;
    // All members: one that lost its partitions may know of tasks on VMs that
    // the list no longer names.
    for (const auto& member : cell.view->members) members.push_back(member.id);
  }
  thread_group threads;
  for (const auto& member : members) {
    const auto ask = [this, &member, &cell, &request] {
      const auto answer = options_.cell.inventory(member, request);
      if (answer) OnInventory(member, cell, *answer);
    };
    if (members.size() == 1 ||
        !Attempt([&] { return threads.Spawn("inventory", ask); })) {
      ask();
    }
  }
  threads.JoinAll();
  std::lock_guard guard(mutex_);
  if (SweepComplete(cell)) EndSweep(cell);
}

void shard_owner::OnInventory(const std::string& member,
                              const cell_picture& cell,
                              const wire::inventory_responseT& answer) {
  std::lock_guard guard(mutex_);
  for (const auto& line : answer.partitions) {
    const auto found = cell.view->owners.partitions.find(line->partition);
    if (line->complete && found != cell.view->owners.partitions.end() &&
        found->second.owner == member) {
      sweep_.complete.insert(line->partition);
    }
  }
  for (const auto& shown : answer.tasks) {
    if (!shown->spec) continue;
    const auto& id = shown->spec->task_id;
    auto ref = Find(id);
    const bool runs =
        static_cast<task_state>(shown->state) == task_state::kRunning;
    // The end of an attempt that another member has placed again since.
    if (!runs && ref && ref.task->worker.empty() && !ref.task->member.empty() &&
        ref.task->member != member) {
      continue;
    }
    sweep_.shown.insert(id);
    if (!ref && runs && id.starts_with(kServicePrefix)) {
      const auto slash = id.rfind('/');
      std::uint32_t index = 0;
      std::from_chars(id.data() + slash + 1, id.data() + id.size(), index);
      auto& service = services_[shown->spec->workload];
      if (service.config.name.empty()) {
        service.config.name = shown->spec->workload;
        service.config.team = shown->spec->team;
        service.config.kind = workload_kind::kService;
        service.config.resources = ToResources(*shown->spec->need);
      }
      auto& task = service.instances[index];
      task.task_id = id;
      task.queued_at = options_.clock->Now();
      ref = {&task, nullptr, &service};
    }
    if (!ref || HasEnded(ref.task->state)) {
      if (runs) orphans_[member].insert(id);
      continue;
    }
    if (!runs) {
      // Its end arrives as an event, which is repeated until it is accepted.
      // After a take-over another member may still show that it runs.
      if (ref.task->worker.empty() && inventory_known_) {
        ref.task->worker = shown->worker;
        ref.task->partition = shown->partition;
      }
      continue;
    }
    if (ref.task->state != attempt_state::kRunning) {
      SetState(ref, attempt_state::kPlaced);
      // A task whose start is under way has no address yet and reports itself.
      ref.task->worker = shown->worker;
      ref.task->partition = shown->partition;
      ref.task->member = member;
      if (!shown->address.empty() || ref.service == nullptr) {
        SetRunning(ref, member, *shown);
      }
    } else if (ref.task->worker == shown->worker) {
      ref.task->member = member;
      ref.task->partition = shown->partition;
    }
  }
}

bool shard_owner::SweepComplete(const cell_picture& cell) const {
  if (!sweep_.active) return false;
  const auto now = options_.clock->Now();
  for (const auto& [name, owner] : cell.view->owners.partitions) {
    if (sweep_.complete.contains(name)) continue;
    // A rack without VMs and without an owner: whatever ran there has ended
    // with its lease.
    const bool vacant =
        owner.owner.empty() && cell.vms != nullptr &&
        std::none_of(cell.vms->vms.begin(), cell.vms->vms.end(),
                     [&rack = name](const auto& vm) {
                       return vm.failure_domain + "/" + vm.rack == rack;
                     });
    if (!vacant || now < sweep_.started + options_.task_lease + kDriftMargin) {
      return false;
    }
  }
  return !cell.view->owners.partitions.empty();
}

void shard_owner::EndSweep(const cell_picture& cell) {
  const auto certain = sweep_.started - kCallInFlight;
  std::vector<std::string> lost;
  const auto look_for = [&](const managed_task& task) {
    if (!IsActive(task.state) || sweep_.shown.contains(task.task_id)) return;
    if (task.changed_at < certain) {
      lost.push_back(task.task_id);
    } else if (task.state == attempt_state::kPlaced) {
      sweep_.wanted = true;
    }
  };
  for (const auto& [id, job] : jobs_) {
    for (const auto& task : job.tasks) look_for(task);
  }
  for (const auto& [name, service] : services_) {
    for (const auto& [index, task] : service.instances) look_for(task);
  }
  for (const auto& id : lost) {
    const auto ref = Find(id);
    if (!ref) continue;
    Emit(options_.log, kTaskLost,
         {Field("task", id), Field("worker", ref.task->worker)});
    auto* job = ref.job;
    if (ref.IsGang() && !job->restarting) {
      RestartGang(*job, "a task of the gang was lost");
    }
    Requeue(ref, "lost with its worker", duration(0));
    if (job != nullptr && HasEnded(*job)) StageJob(*job);
  }
  Emit(options_.log, kInventoryComplete,
       {Field("shard", options_.shard),
        Field("partitions", cell.view->owners.partitions.size()),
        Field("shown", sweep_.shown.size()), Field("lost", lost.size())});
  sweep_.active = false;
  inventory_known_ = true;
}

}  // namespace apricotwheel

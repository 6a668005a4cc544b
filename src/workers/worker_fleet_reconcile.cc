// Processes claims, renewals and the task lists of workers.
#include <algorithm>
#include <utility>

#include "workers/worker_fleet.h"
#include "workers/workers_events.h"

namespace apricotwheel {

namespace {

// A pre-empted task that has not checkpointed after this time is killed. That
// leaves half of the 2.4 s in which an urgent task must start.
constexpr auto kCheckpointTimeout = milliseconds(1200);
constexpr auto kPreemptionTimeout = milliseconds(2400);
constexpr auto kHealthCleanupInterval = milliseconds(10'000);

}  // namespace

void worker_fleet::OnWorkerClaimed(std::string_view worker_id,
                                   const worker_snapshot& snapshot,
                                   time_point received) {
  std::lock_guard guard(mutex_);
  const auto found = workers_.find(worker_id);
  if (found == workers_.end()) return;
  auto& worker = found->second;
  worker.lease.OnClaimed(snapshot.worker_clock_ms,
                         snapshot.previous_renewal_age_ms, received);
  worker.phase = worker_phase::kReady;
  worker.unreachable_since.reset();
  if (snapshot.capacity != resource_vector{}) {
    worker.cell_index =
        cell_state_->UpsertWorker({worker.vm.id, worker.vm.failure_domain,
                                   worker.vm.rack, snapshot.capacity});
  }
  ReconcileTasks(worker, snapshot, received, true);
  UpdateUsable(worker);
  if (worker.vm.state == vm_state::kLeaving) DrainLeavingWorker(worker);
  Emit(options_.log, kWorkerClaimed,
       {Field("worker", worker_id), Field("epoch", worker.epoch),
        Field("tasks", snapshot.tasks.size())});
}

renewal_request worker_fleet::PrepareRenewal(std::string_view worker_id) {
  std::lock_guard guard(mutex_);
  const auto found = workers_.find(worker_id);
  if (found == workers_.end()) return {};
  auto& worker = found->second;
  renewal_request request;
  request.expires_at_ms = worker.lease.NextExpiryMs(options_.clock->Now());
  worker.lease.OnExpirySent(request.expires_at_ms);
  for (const auto& id : worker.ended_to_acknowledge) {
    const auto task = tasks_.find(id);
    // If the worker forgot the task, a delayed start call would run it again.
    if (task != tasks_.end() && task->second.unconfirmed_start_expires_at_ms &&
        worker.lease.LastClockSampleMs() <=
            *task->second.unconfirmed_start_expires_at_ms) {
      continue;
    }
    request.acknowledged.push_back(id);
  }
  return request;
}

void worker_fleet::OnLeaseRenewed(std::string_view worker_id,
                                  const renewal_request& sent_request,
                                  const worker_snapshot& snapshot,
                                  time_point sent, time_point received) {
  std::lock_guard guard(mutex_);
  const auto found = workers_.find(worker_id);
  if (found == workers_.end()) return;
  auto& worker = found->second;
  worker.lease.OnRenewalAcknowledged(sent);
  worker.lease.OnClockSample(snapshot.worker_clock_ms, received);
  worker.phase = worker_phase::kReady;
  worker.unreachable_since.reset();
  for (const auto& id : sent_request.acknowledged) {
    worker.ended_to_acknowledge.erase(id);
    const auto task = tasks_.find(id);
    if (task != tasks_.end() && task->second.worker == worker_id &&
        task->second.end_accepted) {
      RemoveEndedTask(task);
    }
  }
  ReconcileTasks(worker, snapshot, sent, false);
  StartTasksAfterPreemption(worker);
  LimitOveruse(worker);
  UpdateUsable(worker);
}

void worker_fleet::OnWorkerUnreachable(std::string_view worker_id) {
  std::lock_guard guard(mutex_);
  const auto found = workers_.find(worker_id);
  if (found == workers_.end()) return;
  auto& worker = found->second;
  if (!worker.unreachable_since)
    worker.unreachable_since = options_.clock->Now();
  if (worker.phase != worker_phase::kReady) return;
  worker.phase = worker_phase::kUnresponsive;
  UpdateUsable(worker);
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    if (task.phase == task_phase::kStarting && !task.start_sent) {
      EndTask(task, task_state::kFailed,
              "not started: the worker does not answer", false);
    }
  }
  Emit(options_.log, kWorkerUnresponsive, {Field("worker", worker_id)});
}

void worker_fleet::ReconcileTasks(worker_entry& worker,
                                  const worker_snapshot& snapshot,
                                  time_point sent, bool is_claim) {
  std::set<std::string_view> listed;
  for (const auto& status : snapshot.tasks) {
    listed.insert(status.spec.task_id);
    ReconcileListedTask(worker, status, is_claim);
  }
  std::vector<std::string> erased;
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    if (listed.contains(id)) continue;
    ReconcileMissingTask(task, snapshot, sent);
    if (task.phase == task_phase::kEnded && task.end_accepted)
      erased.push_back(id);
  }
  for (const auto& id : erased) DiscardTask(id);
  std::erase_if(worker.tasks_to_kill,
                [&](const auto& id) { return !listed.contains(id); });
}

void worker_fleet::ReconcileListedTask(worker_entry& worker,
                                       const task_status& status,
                                       bool is_claim) {
  const auto& id = status.spec.task_id;
  const bool runs = status.state == task_state::kRunning;
  auto found = tasks_.find(id);
  if (found != tasks_.end() && found->second.worker != worker.vm.id) {
    // The task was reported as lost here and placed on another worker.
    if (runs) {
      worker.tasks_to_kill.insert(id);
      Emit(options_.log, kTaskOnTwoWorkers,
           {Field("task", id), Field("worker", worker.vm.id),
            Field("other", found->second.worker)});
    } else {
      worker.ended_to_acknowledge.insert(id);
    }
    return;
  }
  const bool known_before = found != tasks_.end();
  if (!known_before) {
    if (worker.ended_to_acknowledge.contains(id) && !runs) return;
    task_entry new_task;
    new_task.spec = status.spec;
    new_task.worker = worker.vm.id;
    new_task.found_at_claim = is_claim;
    new_task.phase = task_phase::kStarting;
    AddTask(id, std::move(new_task));
    found = tasks_.find(id);
    if (runs)
      cell_state_->AdoptTask(worker.cell_index,
                             MakePlacementRequest(found->second));
  }
  auto& task = found->second;
  if (task.phase == task_phase::kEnded) {
    // Its end was already reported, for example because its lease expired.
    if (runs) worker.tasks_to_kill.insert(id);
    task.on_worker_task_list = true;
    if (task.end_accepted) worker.ended_to_acknowledge.insert(id);
    return;
  }
  if (task.phase == task_phase::kStarting && !task.start_sent && known_before &&
      !runs && status.state != task_state::kFinished) {
    // The list shows an earlier attempt, whose end the shard owner processed
    // before it placed this one.
    worker.ended_to_acknowledge.insert(id);
    return;
  }
  const bool started_running = task.phase != task_phase::kRunning;
  task.status = status;
  task.on_worker_task_list = true;
  if (runs) {
    task.phase = task_phase::kRunning;
    cell_state_->ReportUse(id, status.used);
    if (started_running) AddEvent(task);
    // Sends a requested stop again, in case the call was lost.
    task.stop_sent = false;
    return;
  }
  const auto job = task.spec.job_id.empty() ? task.spec.workload
                                            : std::string(task.spec.job_id);
  if (status.state == task_state::kFailed) {
    RecordFailure(health_, worker.vm.id, job, options_.clock->Now());
  } else if (status.state == task_state::kFinished) {
    RecordSuccess(health_, worker.vm.id, job, options_.clock->Now());
  }
  EndTask(task, status.state, status.message, true);
}

void worker_fleet::ReconcileMissingTask(task_entry& task,
                                        const worker_snapshot& snapshot,
                                        time_point sent) {
  if (task.phase == task_phase::kEnded) {
    task.on_worker_task_list = false;
    return;
  }
  // The worker may have made the list before it started the task.
  if (task.phase == task_phase::kRunning && task.start_confirmed_at <= sent) {
    EndTask(task, task_state::kFailed, "the worker no longer has the task",
            false);
    return;
  }
  // The worker refuses a delayed start after its expiry.
  if (task.phase == task_phase::kStarting &&
      task.unconfirmed_start_expires_at_ms &&
      snapshot.worker_clock_ms > *task.unconfirmed_start_expires_at_ms) {
    EndTask(task, task_state::kFailed, "not started: the start was lost",
            false);
  }
}

void worker_fleet::StartTasksAfterPreemption(worker_entry& worker) {
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    if (task.phase != task_phase::kAwaitingPreemption) continue;
    const bool victims_ended = std::all_of(
        task.victims.begin(), task.victims.end(), [&](const auto& victim) {
          const auto found = tasks_.find(victim);
          return found == tasks_.end() ||
                 found->second.worker != worker.vm.id ||
                 found->second.phase == task_phase::kEnded;
        });
    if (!victims_ended) continue;
    if (!Attempt([&] {
          return cell_state_->Allocate(worker.cell_index,
                                       MakePlacementRequest(task));
        })) {
      continue;
    }
    task.phase = task_phase::kStarting;
    task.deadline = time_point::max();
    if (worker.wake) worker.wake->Wake();
  }
}

void worker_fleet::LimitOveruse(worker_entry& worker) {
  const auto& capacity = cell_state_->Shape(worker.cell_index).capacity;
  resource_vector used;
  for (const auto& [id, task] : worker.tasks) {
    if (task->phase == task_phase::kRunning) used = used + task->status.used;
  }
  const bool cpu_short = used.cpu_milli > capacity.cpu_milli;
  const bool memory_short = used.memory_mib > capacity.memory_mib;
  if (!cpu_short && !memory_short) return;
  // Limits one task per renewal: the reported use lags by seconds, so the
  // effect must show before another task is limited. Lower classes go first.
  task_entry* chosen = nullptr;
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    if (task.phase != task_phase::kRunning) continue;
    if (task.requested_stop) {
      if (memory_short) return;
      continue;
    }
    const auto& declared = task.spec.resources;
    const bool over = memory_short
                          ? task.status.used.memory_mib > declared.memory_mib
                          : task.status.used.cpu_milli > declared.cpu_milli &&
                                !task.throttled;
    if (!over) continue;
    if (chosen == nullptr || task.spec.priority > chosen->spec.priority) {
      chosen = &task;
    }
  }
  if (chosen == nullptr) return;
  Emit(options_.log, kTaskOverDeclaration,
       {Field("task", chosen->spec.task_id), Field("worker", worker.vm.id),
        Field("resource", memory_short ? "memory" : "processor")});
  if (memory_short) {
    RequestStop(*chosen, stop_mode::kCheckpoint);
    return;
  }
  chosen->throttled = true;
  worker_command command;
  command.type = worker_command::command_type::kThrottle;
  command.spec = chosen->spec;
  command.cpu_milli = chosen->spec.resources.cpu_milli;
  worker.pending_throttles.push_back(std::move(command));
  if (worker.wake) worker.wake->Wake();
}

void worker_fleet::EndTasksOfExpiredLease(worker_entry& worker) {
  bool lost_any = false;
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    if (task.phase == task_phase::kEnded || task.phase == task_phase::kReserved)
      continue;
    lost_any = true;
    task.unconfirmed_start_expires_at_ms.reset();
    EndTask(
        task, task_state::kFailed,
        task.start_sent ? kLeaseExpiredMessage : "not started: lease expired",
        false);
  }
  // The worker may never respond again, so ended tasks do not wait until it has
  // removed them from its task list.
  std::vector<std::string> accepted;
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    if (task.phase != task_phase::kEnded) continue;
    task.on_worker_task_list = false;
    if (task.end_accepted) accepted.push_back(id);
  }
  for (const auto& id : accepted) DiscardTask(id);
  if (lost_any) {
    Emit(options_.log, kWorkerLeaseExpired, {Field("worker", worker.vm.id)});
  }
}

void worker_fleet::ProcessTimeouts() {
  std::lock_guard guard(mutex_);
  const auto now = options_.clock->Now();
  if (now >= next_health_cleanup_) {
    ForgetExpired(health_, now);
    next_health_cleanup_ = now + kHealthCleanupInterval;
  }
  for (auto& [id, worker] : workers_) {
    UpdateUsable(worker);
    const auto expiry = worker.lease.LatestExpiry();
    if (worker.phase == worker_phase::kUnresponsive && expiry &&
        now >= *expiry) {
      EndTasksOfExpiredLease(worker);
    }
  }
  std::vector<std::string> expired_reservations;
  for (auto next = tasks_with_deadline_.begin();
       next != tasks_with_deadline_.end();) {
    const auto& id = *next;
    auto& task = tasks_.find(id)->second;
    if (task.phase != task_phase::kReserved &&
        task.phase != task_phase::kAwaitingPreemption) {
      next = tasks_with_deadline_.erase(next);
      continue;
    }
    ++next;
    if (task.phase == task_phase::kReserved && now >= task.deadline) {
      expired_reservations.push_back(id);
    }
    if (task.phase != task_phase::kAwaitingPreemption) continue;
    if (now >= task.deadline) {
      EndTask(task, task_state::kFailed,
              "not started: pre-emption took too long", false);
    } else if (now >=
               task.deadline - (kPreemptionTimeout - kCheckpointTimeout)) {
      for (const auto& victim : task.victims) {
        const auto found = tasks_.find(victim);
        if (found != tasks_.end() &&
            found->second.phase == task_phase::kRunning) {
          RequestStop(found->second, stop_mode::kKill);
        }
      }
    }
  }
  for (const auto& id : expired_reservations) DiscardTask(id);
}

bool worker_fleet::NeedsFastRenewal(std::string_view worker_id) const {
  std::lock_guard guard(mutex_);
  const auto worker = workers_.find(worker_id);
  if (worker == workers_.end()) return false;
  const auto& tasks = worker->second.tasks;
  return std::any_of(tasks.begin(), tasks.end(), [&](const auto& entry) {
    const auto& task = *entry.second;
    return task.phase != task_phase::kEnded &&
           (task.phase == task_phase::kAwaitingPreemption ||
            task.requested_stop);
  });
}

}  // namespace apricotwheel

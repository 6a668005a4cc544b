// Claims, renewals and what the workers' task lists say.
#include <algorithm>
#include <utility>

#include "workers/worker_fleet.h"
#include "workers/workers_events.h"

namespace apricotwheel {

namespace {

// A victim that has not checkpointed by then is killed, so that the urgent
// task starts within its bound of 2.4 s.
constexpr auto kCheckpointLimit = milliseconds(1200);
constexpr auto kPreemptionLimit = milliseconds(2400);
constexpr auto kForgetInterval = milliseconds(10'000);

}  // namespace

void worker_fleet::OnClaimed(std::string_view worker_id,
                             const worker_snapshot& snapshot,
                             time_point received) {
  std::lock_guard guard(mutex_);
  const auto found = workers_.find(worker_id);
  if (found == workers_.end()) return;
  auto& worker = found->second;
  worker.lease.OnClaimed(snapshot.worker_clock_ms,
                         snapshot.previous_renewal_age_ms, received);
  worker.now = worker_phase::kReady;
  worker.first_failure.reset();
  if (snapshot.capacity != resource_vector{}) {
    worker.index = cell_->UpsertWorker({worker.vm.id, worker.vm.failure_domain,
                                        worker.vm.rack, snapshot.capacity});
  }
  Reconcile(worker, snapshot, received, true);
  UpdateUsable(worker);
  if (worker.vm.state == vm_state::kLeaving) VacateLeaving(worker);
  Emit(options_.log, kWorkerClaimed,
       {Field("worker", worker_id), Field("epoch", worker.epoch),
        Field("tasks", snapshot.tasks.size())});
}

renewal_order worker_fleet::PrepareRenewal(std::string_view worker_id) {
  std::lock_guard guard(mutex_);
  const auto found = workers_.find(worker_id);
  if (found == workers_.end()) return {};
  auto& worker = found->second;
  renewal_order order;
  order.expires_at_ms = worker.lease.ExpiryToSend(options_.clock->Now());
  worker.lease.OnSent(order.expires_at_ms);
  for (const auto& id : worker.to_acknowledge) {
    const auto task = tasks_.find(id);
    // A start that is still on its way would run a second time if the worker
    // forgot the task.
    if (task != tasks_.end() && task->second.unsettled_until_ms &&
        worker.lease.LastSampleMs() <= *task->second.unsettled_until_ms) {
      continue;
    }
    order.acknowledged.push_back(id);
  }
  return order;
}

void worker_fleet::OnRenewed(std::string_view worker_id,
                             const renewal_order& sent_order,
                             const worker_snapshot& snapshot, time_point sent,
                             time_point received) {
  std::lock_guard guard(mutex_);
  const auto found = workers_.find(worker_id);
  if (found == workers_.end()) return;
  auto& worker = found->second;
  worker.lease.OnAcknowledged(sent);
  worker.lease.OnSample(snapshot.worker_clock_ms, received);
  worker.now = worker_phase::kReady;
  worker.first_failure.reset();
  for (const auto& id : sent_order.acknowledged) {
    worker.to_acknowledge.erase(id);
    const auto task = tasks_.find(id);
    if (task != tasks_.end() && task->second.worker == worker_id &&
        task->second.end_accepted) {
      RemoveTask(task);
    }
  }
  Reconcile(worker, snapshot, sent, false);
  StartWaiting(worker);
  LimitOveruse(worker);
  UpdateUsable(worker);
}

void worker_fleet::OnUnreachable(std::string_view worker_id) {
  std::lock_guard guard(mutex_);
  const auto found = workers_.find(worker_id);
  if (found == workers_.end()) return;
  auto& worker = found->second;
  if (!worker.first_failure) worker.first_failure = options_.clock->Now();
  if (worker.now != worker_phase::kReady) return;
  worker.now = worker_phase::kUnresponsive;
  UpdateUsable(worker);
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    if (task.now == phase::kStarting && !task.start_sent) {
      End(task, task_state::kFailed, "not started: the worker does not answer",
          false);
    }
  }
  Emit(options_.log, kWorkerUnresponsive, {Field("worker", worker_id)});
}

void worker_fleet::Reconcile(worker_entry& worker,
                             const worker_snapshot& snapshot, time_point sent,
                             bool is_claim) {
  std::set<std::string_view> listed;
  for (const auto& status : snapshot.tasks) {
    listed.insert(status.spec.task_id);
    ReconcileListed(worker, status, is_claim);
  }
  std::vector<std::string> erased;
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    if (listed.contains(id)) continue;
    ReconcileMissing(task, snapshot, sent);
    if (task.now == phase::kEnded && task.end_accepted) erased.push_back(id);
  }
  for (const auto& id : erased) EraseTask(id);
  std::erase_if(worker.strays,
                [&](const auto& id) { return !listed.contains(id); });
}

void worker_fleet::ReconcileListed(worker_entry& worker,
                                   const task_status& status, bool is_claim) {
  const auto& id = status.spec.task_id;
  const bool runs = status.state == task_state::kRunning;
  auto found = tasks_.find(id);
  if (found != tasks_.end() && found->second.worker != worker.vm.id) {
    // The task was lost here and was settled elsewhere since.
    if (runs) {
      worker.strays.insert(id);
      Emit(options_.log, kTaskOnTwoWorkers,
           {Field("task", id), Field("worker", worker.vm.id),
            Field("other", found->second.worker)});
    } else {
      worker.to_acknowledge.insert(id);
    }
    return;
  }
  const bool known_before = found != tasks_.end();
  if (!known_before) {
    if (worker.to_acknowledge.contains(id) && !runs) return;
    task_entry adopted;
    adopted.spec = status.spec;
    adopted.worker = worker.vm.id;
    adopted.adopted = is_claim;
    adopted.now = phase::kStarting;
    AddTask(id, std::move(adopted));
    found = tasks_.find(id);
    if (runs) cell_->AdoptTask(worker.index, RequestOf(found->second));
  }
  auto& task = found->second;
  if (task.now == phase::kEnded) {
    // Its end was reported already, for example as lost.
    if (runs) worker.strays.insert(id);
    task.on_worker_list = true;
    if (task.end_accepted) worker.to_acknowledge.insert(id);
    return;
  }
  if (task.now == phase::kStarting && !task.start_sent && known_before &&
      !runs && status.state != task_state::kFinished) {
    // An earlier attempt, which its owner settled before it placed this one.
    worker.to_acknowledge.insert(id);
    return;
  }
  const bool appeared = task.now != phase::kRunning;
  task.status = status;
  task.on_worker_list = true;
  if (runs) {
    task.now = phase::kRunning;
    cell_->ReportUse(id, status.used);
    if (appeared) Report(task);
    // A stop whose call was lost is sent again.
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
  End(task, status.state, status.message, true);
}

void worker_fleet::ReconcileMissing(task_entry& task,
                                    const worker_snapshot& snapshot,
                                    time_point sent) {
  if (task.now == phase::kEnded) {
    task.on_worker_list = false;
    return;
  }
  // The list may be older than the start.
  if (task.now == phase::kRunning && task.listed_from <= sent) {
    End(task, task_state::kFailed, "the worker no longer has the task", false);
    return;
  }
  // Past its expiry a delayed start can no longer take effect.
  if (task.now == phase::kStarting && task.unsettled_until_ms &&
      snapshot.worker_clock_ms > *task.unsettled_until_ms) {
    End(task, task_state::kFailed, "not started: the start was lost", false);
  }
}

void worker_fleet::StartWaiting(worker_entry& worker) {
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    if (task.now != phase::kAwaitingRoom) continue;
    const bool victims_ended = std::all_of(
        task.victims.begin(), task.victims.end(), [&](const auto& victim) {
          const auto found = tasks_.find(victim);
          return found == tasks_.end() ||
                 found->second.worker != worker.vm.id ||
                 found->second.now == phase::kEnded;
        });
    if (!victims_ended) continue;
    if (!Attempt(
            [&] { return cell_->Allocate(worker.index, RequestOf(task)); })) {
      continue;
    }
    task.now = phase::kStarting;
    task.deadline = time_point::max();
    if (worker.wake) worker.wake->Wake();
  }
}

void worker_fleet::LimitOveruse(worker_entry& worker) {
  const auto& capacity = cell_->Shape(worker.index).capacity;
  resource_vector used;
  for (const auto& [id, task] : worker.tasks) {
    if (task->now == phase::kRunning) used = used + task->status.used;
  }
  const bool cpu_short = used.cpu_milli > capacity.cpu_milli;
  const bool memory_short = used.memory_mib > capacity.memory_mib;
  if (!cpu_short && !memory_short) return;
  // One task a round: the reported use lags, so the effect of each step must
  // be seen before the next. Batch work goes first.
  task_entry* chosen = nullptr;
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    if (task.now != phase::kRunning) continue;
    if (task.stop) {
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
    AskStop(*chosen, stop_mode::kCheckpoint);
    return;
  }
  chosen->throttled = true;
  worker_order order;
  order.what = worker_order::kind::kThrottle;
  order.spec = chosen->spec;
  order.cpu_milli = chosen->spec.resources.cpu_milli;
  worker.throttles.push_back(std::move(order));
  if (worker.wake) worker.wake->Wake();
}

void worker_fleet::ExpireWorker(worker_entry& worker) {
  bool lost_any = false;
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    if (task.now == phase::kEnded || task.now == phase::kReserved) continue;
    lost_any = true;
    task.unsettled_until_ms.reset();
    End(task, task_state::kFailed,
        task.start_sent ? "lease expired" : "not started: lease expired",
        false);
  }
  // The worker may never answer again to drop ended tasks from its list.
  std::vector<std::string> settled;
  for (const auto& [id, entry] : worker.tasks) {
    auto& task = *entry;
    if (task.now != phase::kEnded) continue;
    task.on_worker_list = false;
    if (task.end_accepted) settled.push_back(id);
  }
  for (const auto& id : settled) EraseTask(id);
  if (lost_any) {
    Emit(options_.log, kWorkerLeaseExpired, {Field("worker", worker.vm.id)});
  }
}

void worker_fleet::Sweep() {
  std::lock_guard guard(mutex_);
  const auto now = options_.clock->Now();
  if (now >= next_forget_) {
    ForgetExpired(health_, now);
    next_forget_ = now + kForgetInterval;
  }
  for (auto& [id, worker] : workers_) {
    UpdateUsable(worker);
    const auto expiry = worker.lease.CertainExpiry();
    if (worker.now == worker_phase::kUnresponsive && expiry && now >= *expiry) {
      ExpireWorker(worker);
    }
  }
  std::vector<std::string> dropped;
  for (auto timed = timed_.begin(); timed != timed_.end();) {
    const auto& id = *timed;
    auto& task = tasks_.find(id)->second;
    if (task.now != phase::kReserved && task.now != phase::kAwaitingRoom) {
      timed = timed_.erase(timed);
      continue;
    }
    ++timed;
    if (task.now == phase::kReserved && now >= task.deadline) {
      dropped.push_back(id);
    }
    if (task.now != phase::kAwaitingRoom) continue;
    if (now >= task.deadline) {
      End(task, task_state::kFailed, "not started: pre-emption took too long",
          false);
    } else if (now >= task.deadline - (kPreemptionLimit - kCheckpointLimit)) {
      for (const auto& victim : task.victims) {
        const auto found = tasks_.find(victim);
        if (found != tasks_.end() && found->second.now == phase::kRunning) {
          AskStop(found->second, stop_mode::kKill);
        }
      }
    }
  }
  for (const auto& id : dropped) EraseTask(id);
}

bool worker_fleet::NeedsFastRenewal(std::string_view worker_id) const {
  std::lock_guard guard(mutex_);
  const auto worker = workers_.find(worker_id);
  if (worker == workers_.end()) return false;
  const auto& tasks = worker->second.tasks;
  return std::any_of(tasks.begin(), tasks.end(), [&](const auto& entry) {
    const auto& task = *entry.second;
    return task.now != phase::kEnded &&
           (task.now == phase::kAwaitingRoom || task.stop);
  });
}

}  // namespace apricotwheel

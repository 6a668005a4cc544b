// Queues pending tasks and gangs, and tracks the teams' quotas.
#include <algorithm>

#include "jobs/shard_owner.h"

namespace apricotwheel {

void shard_owner::QueueTask(const task_ref& ref) {
  if (ref.job != nullptr && !ref.job->committed) return;
  if (ref.task->backoff_until > options_.clock->Now()) {
    delayed_tasks_.emplace(ref.task->backoff_until, ref.task->task_id);
    return;
  }
  if (ref.IsGang()) {
    QueueGang(*ref.job);
    return;
  }
  queue_entry entry;
  entry.id = ref.task->task_id;
  entry.team = ref.Team();
  entry.priority = ref.Priority();
  entry.need = ref.Need();
  entry.enqueued = ref.task->queued_at;
  const auto& excluded = ref.job ? ref.task->failed_on : ref.service->failed_on;
  for (const auto& worker : excluded) entry.constraint_tag += worker + " ";
  // Instances of one service share a backoff of their own, since spreading
  // limits the workers that they fit on.
  if (ref.service != nullptr) entry.constraint_tag += ref.service->config.name;
  Enqueue(queue_, std::move(entry));
}

void shard_owner::QueueGang(const job_record& job) {
  if (job.restarting || job.cancelled || !job.committed) return;
  const auto now = options_.clock->Now();
  queue_entry entry;
  entry.parts = 0;
  for (const auto& task : job.tasks) {
    if (HasEnded(task.state)) continue;
    if (task.state != attempt_state::kPending || task.backoff_until > now)
      return;
    if (entry.parts++ == 0) entry.enqueued = task.queued_at;
  }
  if (entry.parts == 0) return;
  entry.id = job.job_id;
  entry.team = job.team;
  entry.priority = job.priority;
  entry.need = job.need;
  Enqueue(queue_, std::move(entry));
}

void shard_owner::QueueDelayedTasks() {
  const auto now = options_.clock->Now();
  while (!delayed_tasks_.empty() && delayed_tasks_.begin()->first <= now) {
    const auto ref = FindTask(delayed_tasks_.begin()->second);
    delayed_tasks_.erase(delayed_tasks_.begin());
    if (ref && ref.task->state == attempt_state::kPending) QueueTask(ref);
  }
}

void shard_owner::ReturnToQueue(const task_ref& ref) {
  const auto& id = ref.task->task_id;
  if (!queue_.taken.contains(id)) return;
  const auto now = options_.clock->Now();
  ReturnUnplaced(queue_, id, now, random_);
  ref.task->charged_resources = {};
  // Urgent tasks are sent to the next member at once.
  if (ref.Priority() == priority_class::kUrgent) {
    EndBackoff(queue_, ref.Need(), now);
  }
}

void shard_owner::UpdateTeams(const cell_snapshot& cell) {
  if (cell.document != seen_document_) {
    seen_document_ = cell.document;
    // A team that was removed from the document gets a quota of 0.
    for (auto& [name, account] : queue_.teams) {
      SetTeam(queue_, name, {}, account.weight);
    }
    for (const auto& team : cell.document->teams) {
      if (ShardOf(team.name) != options_.shard) continue;
      SetTeam(queue_, team.name, team.quota, team.weight);
    }
  }
  if (cell.vms != seen_vms_ && cell.vms) {
    seen_vms_ = cell.vms;
    queue_.cell_capacity = {};
    for (const auto& vm : cell.vms->vms) {
      queue_.cell_capacity = queue_.cell_capacity + vm.capacity;
    }
  }
  for (const auto& [team, amount] : assumed_service_use_)
    Refund(queue_, team, amount);
  assumed_service_use_.clear();
  if (inventory_was_complete_) return;
  for (const auto& workload : cell.document->workloads) {
    if (workload.kind != workload_kind::kService ||
        ShardOf(workload.team) != options_.shard) {
      continue;
    }
    const auto service = services_.find(workload.name);
    const std::size_t known_instances =
        service == services_.end() ? 0 : service->second.instances.size();
    auto& amount = assumed_service_use_[workload.team];
    for (auto i = known_instances; i < workload.instances; ++i) {
      amount = amount + workload.resources;
    }
  }
  for (const auto& [team, amount] : assumed_service_use_)
    Charge(queue_, team, amount);
}

std::vector<std::string> shard_owner::ExplainQueueWait(
    const task_ref& ref) const {
  return ExplainWait(queue_, ref.IsGang() ? ref.job->job_id : ref.task->task_id,
                     options_.clock->Now());
}

}  // namespace apricotwheel

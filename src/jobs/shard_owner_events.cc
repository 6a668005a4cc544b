// Handles task events from the owners of workers.
#include <algorithm>
#include <utility>

#include "jobs/shard_owner.h"
#include "workers/worker_lease.h"

namespace apricotwheel {

namespace {

// Shorter than the 2 s after which the sender of the events gives up.
constexpr auto kEventCommitTimeout = milliseconds(1500);
constexpr std::string_view kNotStartedPrefix = "not started";

}  // namespace

bool shard_owner::IsFromEarlierOwner(const std::string& member,
                                     const wire::running_taskT& event) const {
  const auto current = seen_partitions_.find(event.partition);
  if (current == seen_partitions_.end()) return false;
  return current->second.owner != member ||
         (event.partition_epoch != 0 &&
          event.partition_epoch < current->second.epoch);
}

bool shard_owner::ApplyEvent(
    const std::string& member, const wire::running_taskT& event,
    std::vector<std::pair<std::string, std::string>>& to_commit) {
  const auto& id = event.spec->task_id;
  const auto state = static_cast<task_state>(event.state);
  // A newer owner of the shard started the task. This owner does not know it
  // and would lose its result by accepting the event.
  if (event.spec->shard_epoch > options_.epoch) return false;
  auto ref = FindTask(id);
  // Service instances are recovered from inventories. Until those are complete,
  // an unknown instance may be a valid one, so its event is refused for now.
  if (!ref && !inventory_was_complete_ && id.starts_with(kServiceTaskIdPrefix))
    return false;
  if (!ref || HasEnded(ref.task->state)) {
    if (state == task_state::kRunning) orphaned_tasks_[member].insert(id);
    if (ref && ref.job != nullptr) to_commit.emplace_back(id, ref.job->job_id);
    return !ref || ref.job == nullptr;
  }
  // An earlier owner knows only when its own leases expired. If the task ended,
  // its successor's inventory shows it.
  if (event.message == kLeaseExpiredMessage &&
      IsFromEarlierOwner(member, event)) {
    return false;
  }
  auto& task = *ref.task;
  // The event is of an earlier attempt, which had ended before this one was
  // placed on another worker.
  const bool other_attempt = IsActive(task.state) && !task.worker.empty() &&
                             task.worker != event.worker;
  if (state == task_state::kRunning) {
    if (other_attempt && task.state == attempt_state::kRunning) return true;
    // The task counted as not running. An inventory shows whether the event is
    // out of date.
    if (task.state == attempt_state::kPending) inventory_scan_.requested = true;
    SetTaskRunning(ref, member, event);
    return true;
  }
  if (other_attempt) return true;
  if (state != task_state::kFinished && IsActive(task.state) &&
      task.worker.empty()) {
    // The end of an earlier attempt looks like the end of this one until the
    // inventories after a change of the owner are complete, and while a place
    // request to another member is in flight. The event is refused for now.
    const bool is_ambiguous = !inventory_was_complete_ && task.member.empty();
    if (is_ambiguous || (!task.member.empty() && task.member != member)) {
      return false;
    }
    // The failure was already counted, but its acknowledgement was lost.
    if (state == task_state::kFailed &&
        std::find(task.failed_on.begin(), task.failed_on.end(), event.worker) !=
            task.failed_on.end()) {
      return true;
    }
  }
  task.worker = event.worker;
  task.ran_ms = std::max(task.ran_ms, event.ran_ms);
  task.had_run = task.had_run || !event.message.starts_with(kNotStartedPrefix);
  const bool not_started = event.message.starts_with(kNotStartedPrefix);
  const auto job = ref.job;
  if (job != nullptr && state != task_state::kFinished &&
      task.state == attempt_state::kPending) {
    return true;  // A repeated event; the task is queued again already.
  }
  switch (state) {
    case task_state::kFinished:
      EndTask(ref, attempt_state::kFinished);
      break;
    case task_state::kFailed:
      OnAttemptFailed(ref, event.message);
      break;
    case task_state::kCheckpointed:
      task.checkpoint = event.checkpoint;
      if (ref.IsGang() && !job->restarting) RestartGang(*job, "pre-empted");
      RequeueTask(ref, "checkpointed", duration(0));
      break;
    case task_state::kStopped:
      if (ref.IsGang() && !job->restarting) RestartGang(*job, "stopped");
      RequeueTask(ref, "stopped", duration(0));
      break;
    case task_state::kRunning:
      break;
  }
  if (job == nullptr || not_started) return true;
  StageJob(*job);
  to_commit.emplace_back(id, job->job_id);
  return false;
}

std::vector<std::string> shard_owner::OnTaskEvents(
    const std::string& member, std::span<const wire::running_taskT> events) {
  std::vector<std::string> accepted;
  std::vector<std::pair<std::string, std::string>> to_commit;
  std::map<std::string, std::uint64_t> versions;
  {
    std::lock_guard guard(mutex_);
    // Until the records are loaded, all tasks are unknown.
    if (!records_loaded_) return accepted;
    // Staging encodes the whole record, so each job is staged once for all of
    // its events.
    is_batching_ = true;
    for (const auto& event : events) {
      if (!event.spec) continue;
      if (ApplyEvent(member, event, to_commit)) {
        accepted.push_back(event.spec->task_id);
      }
    }
    is_batching_ = false;
    for (const auto& id : std::exchange(batched_jobs_, {})) {
      StageJob(jobs_.find(id)->second);
    }
    for (const auto& [id, job] : to_commit) {
      versions[job] = jobs_.find(job)->second.version;
    }
  }
  round_wake_.Wake();
  const auto deadline = options_.clock->Now() + kEventCommitTimeout;
  for (const auto& [id, job] : to_commit) {
    if (store_.WaitCommitted(job, versions[job], deadline) ==
        commit_state::kCommitted) {
      accepted.push_back(id);
    }
  }
  return accepted;
}

}  // namespace apricotwheel

// Lasting tasks for which the workers of this partition are used up, which
// other partitions of the pool run.
#include <algorithm>

#include "graph/graph_events.h"
#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// A lasting task has to run again within 6 s. A step counts as stranded if none
// of its tasks could be placed for this time; the rest is for the call to the
// other partition and the approval there.
constexpr auto kStrandedTime = milliseconds(2000);
// Workers that are not claimed or have no decision may take the task within
// this time. A worker that stays silent doesn't.
constexpr auto kMaxUndecidedTime = milliseconds(4000);

// Returns the partition that has the fewest of the lent tasks of a step, and
// the fewest of all.
const std::string& LeastLent(
    std::span<const std::string> partitions,
    const std::map<std::uint32_t, std::string>& of_step,
    const std::map<std::string, std::size_t>& in_all) {
  const auto rank = [&](const std::string& partition) {
    const auto found = in_all.find(partition);
    return std::pair(
        std::count_if(of_step.begin(), of_step.end(),
                      [&](const auto& row) { return row.second == partition; }),
        found == in_all.end() ? 0 : found->second);
  };
  return *std::min_element(
      partitions.begin(), partitions.end(),
      [&](const std::string& left, const std::string& right) {
        return rank(left) < rank(right);
      });
}

}  // namespace

std::map<std::string, std::vector<task_key>> pool_scheduler::LentTasks(
    const std::string& job_id, const job_progress& progress) {
  std::map<std::string, std::vector<task_key>> lent;
  task_key key{job_id, 0, 0, 0};
  for (; key.occurrence < progress.occurrences.size(); ++key.occurrence) {
    const auto& steps = progress.occurrences[key.occurrence];
    for (key.step = 0; key.step < steps.size(); ++key.step) {
      for (const auto& [index, partition] : steps[key.step].lent) {
        key.index = index;
        lent[partition].push_back(key);
      }
    }
  }
  return lent;
}

bool pool_scheduler::HasUndecidedWorkers(const candidate& waiting,
                                         time_point now) const {
  const graph_step& spec = waiting.job->submission.graph.steps[waiting.step];
  const step_approvals& approvals = StateOf(waiting).approvals;
  const task_key first{waiting.job->submission.id, waiting.occurrence,
                       waiting.step, 0};
  bool has_workers = false;
  for (const auto& [id, worker] : workers_) {
    if (!worker.is_listed || worker.info.is_draining) continue;
    has_workers = true;
    if (CountRunsOfStep(worker, first) >= spec.max_per_worker) continue;
    // What it may run is not known before its first report.
    if (!worker.is_claimed || worker.has_unknown_run) return true;
    if (waiting.job->submission.queue.advisor &&
        CanHost(waiting, worker, now) &&
        FindApproval(approvals, worker.info, now) ==
            approval_status::kUndecided) {
      return true;
    }
  }
  return !has_workers;
}

bool pool_scheduler::IsStranded(const candidate& waiting, time_point now) {
  step_state& step = StateOf(waiting);
  const graph_step& spec = waiting.job->submission.graph.steps[waiting.step];
  const bool may_be_stranded = spec.is_service && !spec.is_gang &&
                               spec.max_per_worker > 0 && step.waiting > 0 &&
                               step.queued_in_pass == pass_;
  if (!may_be_stranded) {
    step.stranded_since = {};
    return false;
  }
  if (step.stranded_since == time_point{} ||
      step.placed != step.placed_when_stranded) {
    step.stranded_since = now;
    step.placed_when_stranded = step.placed;
  }
  const auto waited = now - step.stranded_since;
  if (waited < kStrandedTime) return false;
  return waited >= kMaxUndecidedTime || !HasUndecidedWorkers(waiting, now);
}

std::size_t pool_scheduler::LendStep(const candidate& waiting,
                                     std::span<const std::string> partitions,
                                     loan_counts& in_all) {
  graph_job& job = *waiting.job;
  step_state& step = StateOf(waiting);
  auto& lent = job.progress.occurrences[waiting.occurrence][waiting.step].lent;
  std::size_t count = 0;
  task_key key{job.submission.id, waiting.occurrence, waiting.step, 0};
  for (; key.index < step.tasks.size(); ++key.index) {
    graph_task& task = step.tasks[key.index];
    // A suspect is tried here, where its crashes are known.
    if (task.phase != task_phase::kWaiting || HasEarlierRun(task, key) ||
        HasVerdictPending(job, key) || IsSuspect(job, key)) {
      continue;
    }
    const std::string& target = LeastLent(partitions, lent, in_all);
    ++in_all[target];
    SetPhase(step, task, task_phase::kLent);
    lent[key.index] = target;
    MarkDirty(job);
    ++count;
    Log(graph_events::kTaskLent,
        {Field("task", FormatTask(key)), Field("partition", target),
         Field("placed", step.placed), Field("lent", step.lent)});
  }
  return count;
}

std::size_t pool_scheduler::LendTasks(std::span<const std::string> partitions,
                                      time_point now) {
  if (partitions.empty() || !IsTakeoverComplete(now)) return 0;
  loan_counts in_all;
  for (const graph_job* job : open_jobs_) {
    for (const auto& [partition, tasks] :
         LentTasks(job->submission.id, job->progress)) {
      in_all[partition] += tasks.size();
    }
  }
  std::size_t count = 0;
  for (graph_job* job : open_jobs_) {
    if (job->is_moving || job->submission.guest) continue;
    candidate waiting{job, 0, 0, {}, {}};
    for (; waiting.occurrence < job->occurrences.size(); ++waiting.occurrence) {
      const auto& steps = job->occurrences[waiting.occurrence];
      for (waiting.step = 0; waiting.step < steps.size(); ++waiting.step) {
        if (!IsStranded(waiting, now)) continue;
        count += LendStep(waiting, partitions, in_all);
      }
    }
  }
  return count;
}

std::vector<task_loan> pool_scheduler::Loans() const {
  std::vector<task_loan> loans;
  for (const graph_job* job : open_jobs_) {
    for (const auto& [partition, tasks] : job->stored_lent) {
      job_submission guest = job->submission;
      guest.guest = guest_tasks{guest.queue.pool, {}};
      guest.queue.pool = partition;
      for (const task_key& key : tasks) {
        const step_state& step = job->occurrences[key.occurrence][key.step];
        guest.guest->tasks.push_back({key.occurrence, key.step, key.index,
                                      step.tasks[key.index].last_run});
      }
      loans.push_back({partition, std::move(guest)});
    }
  }
  return loans;
}

void pool_scheduler::OnLoanStarted(std::string_view job_id) {
  if (graph_job* job = FindJob(job_id)) MarkStarted(*job);
}

void pool_scheduler::OnLoanFailed(std::string_view job_id, time_point now) {
  graph_job* job = FindJob(job_id);
  if (job == nullptr || IsFinal(job->progress.state)) return;
  FinishJob(*job, job_state::kFailed, now);
}

bool pool_scheduler::ExtendGuest(const job_submission& job) {
  graph_job* known = FindJob(job.id);
  if (known == nullptr) return false;
  if (!known->submission.guest || IsFinal(known->progress.state)) return true;
  for (const guest_tasks::entry& entry : job.guest->tasks) {
    step_state& step = known->occurrences[entry.occurrence][entry.step];
    graph_task& task = step.tasks[entry.index];
    // Lasting tasks are never done, so this one did not run here before.
    if (task.phase != task_phase::kDone) continue;
    SetPhase(step, task, task_phase::kWaiting);
    task = {task.phase, std::max(task.last_run, entry.last_run), {}, {}};
    known->progress.occurrences[entry.occurrence][entry.step]
        .done[entry.index] = false;
    MarkDirty(*known);
  }
  return true;
}

std::string_view pool_scheduler::GuestHome(std::string_view job_id) const {
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end() || !found->second->submission.guest) return {};
  return found->second->submission.guest->home;
}

std::vector<guest_job> pool_scheduler::GuestJobs() const {
  std::vector<guest_job> jobs;
  for (const graph_job* job : open_jobs_) {
    if (!job->submission.guest) continue;
    jobs.push_back({job->submission.id, job->submission.guest->home});
  }
  return jobs;
}

}  // namespace apricotwheel

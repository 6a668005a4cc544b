// Compares the redundant parts of the scheduler's state with each other.
#include <set>
#include <utility>

#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// Further contradictions are only counted.
constexpr std::size_t kMaxFindings = 4;

void AddFinding(scheduler_audit& audit, std::string text) {
  if (audit.findings.size() < kMaxFindings) {
    audit.findings.push_back(std::move(text));
  }
}

}  // namespace

void pool_scheduler::AuditStep(const graph_job& job, const task_key& first,
                               scheduler_audit& audit) const {
  const step_state& step = job.occurrences[first.occurrence][first.step];
  std::uint32_t waiting = 0;
  std::uint32_t placed = 0;
  std::uint32_t lent = 0;
  std::uint32_t done = 0;
  task_key key = first;
  for (key.index = 0; key.index < step.tasks.size(); ++key.index) {
    const graph_task& task = step.tasks[key.index];
    if (task.phase == task_phase::kWaiting) ++waiting;
    if (task.phase == task_phase::kLent) ++lent;
    if (task.phase == task_phase::kDone) ++done;
    if (task.phase != task_phase::kPlaced) continue;
    ++placed;
    const auto worker = workers_.find(task.worker);
    if (worker != workers_.end() && worker->second.runs.contains(key)) continue;
    ++audit.tasks_without_run;
    AddFinding(audit, FormatTask(key) + " is placed on " + task.worker +
                          " without a run");
  }
  if (waiting == step.waiting && placed == step.placed && lent == step.lent &&
      done == step.done) {
    return;
  }
  ++audit.miscounted_steps;
  AddFinding(audit, "the step of " + FormatTask(first) + " is miscounted");
}

scheduler_audit pool_scheduler::Audit() const {
  scheduler_audit audit;
  for (const graph_job* job : open_jobs_) {
    for (std::uint32_t n = 0; n < job->occurrences.size(); ++n) {
      for (std::uint32_t i = 0; i < job->occurrences[n].size(); ++i) {
        AuditStep(*job, {job->submission.id, n, i, 0}, audit);
      }
    }
  }
  std::set<const graph_job*> owned;
  for (const auto& [id, job] : jobs_) owned.insert(job.get());
  for (const job_set* jobs : {&open_jobs_, &dirty_jobs_, &crashed_jobs_}) {
    for (const graph_job* job : *jobs) {
      if (owned.contains(job)) continue;
      ++audit.deleted_jobs;
      AddFinding(audit, "a deleted job is still listed");
    }
  }
  for (const auto& [id, worker] : workers_) {
    resource_vector used;
    for (const auto& [task, run] : worker.runs) {
      if (run.job != nullptr) used = used + SpecOf(*run.job, task).need;
    }
    if (used == worker.used) continue;
    ++audit.miscounted_workers;
    AddFinding(audit, "the resources in use on " + id + " are miscounted");
  }
  return audit;
}

}  // namespace apricotwheel

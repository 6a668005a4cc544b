#include "graph/pool_scheduler.h"

#include <algorithm>
#include <utility>

#include "graph/graph_codec.h"
#include "graph/graph_events.h"
#include "graph/job_footprint.h"

namespace apricotwheel {

namespace {

// Interval at which the graphs of finished jobs are released.
constexpr auto kGraphReleaseInterval = milliseconds(1000);

// Returns for each step the longest chain of estimates that begins with it.
std::vector<std::int64_t> LongestPathsMs(const job_graph& graph) {
  std::vector<std::int64_t> path_ms(graph.steps.size(), 0);
  for (std::size_t i = graph.steps.size(); i-- > 0;) {
    path_ms[i] += graph.steps[i].estimate_ms;
    for (const std::uint32_t dependency : graph.steps[i].after) {
      path_ms[dependency] = std::max(path_ms[dependency], path_ms[i]);
    }
  }
  return path_ms;
}

}  // namespace

bool HasTask(const graph_job& job, const task_key& task) {
  return task.occurrence < job.occurrences.size() &&
         task.step < job.occurrences[task.occurrence].size() &&
         task.index < job.occurrences[task.occurrence][task.step].tasks.size();
}

std::uint32_t& CountIn(step_state& step, task_phase phase) {
  switch (phase) {
    case task_phase::kWaiting:
      return step.waiting;
    case task_phase::kPlaced:
      return step.placed;
    case task_phase::kLent:
      return step.lent;
    case task_phase::kDone:
      break;
  }
  return step.done;
}

void SetPhase(step_state& step, graph_task& task, task_phase phase) {
  --CountIn(step, task.phase);
  task.phase = phase;
  ++CountIn(step, phase);
}

bool IsPlacedOn(const graph_task& task, const worker_state& worker) {
  return task.phase == task_phase::kPlaced && task.worker == worker.info.id;
}

pool_scheduler::pool_scheduler(pool_scheduler_options options)
    : options_(std::move(options)),
      unverified_workers_(options_.earlier_workers.begin(),
                          options_.earlier_workers.end()) {}

graph_job* pool_scheduler::FindJob(std::string_view id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

worker_state* pool_scheduler::FindWorker(std::string_view id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

step_state& pool_scheduler::StepOf(graph_job& job, const task_key& task) {
  return job.occurrences[task.occurrence][task.step];
}

step_state& pool_scheduler::StateOf(const candidate& waiting) {
  return waiting.job->occurrences[waiting.occurrence][waiting.step];
}

bool pool_scheduler::IsService(const candidate& waiting) {
  return waiting.job->submission.graph.steps[waiting.step].is_service;
}

const graph_step& pool_scheduler::SpecOf(const graph_job& job,
                                         const task_key& task) const {
  return job.submission.graph.steps[task.step];
}

void pool_scheduler::Log(const log_event_kind& kind,
                         std::vector<log_field> fields) const {
  Emit(options_.log, kind, std::move(fields));
}

void pool_scheduler::MarkDirty(graph_job& job) { dirty_jobs_.insert(&job); }

void pool_scheduler::SetWorker(const pool_worker& worker, time_point now) {
  auto [found, is_new] = workers_.try_emplace(worker.id);
  worker_state& state = found->second;
  if (is_new) {
    // Any worker of the pool may run tasks of an earlier owner.
    if (!IsTakeoverComplete(now)) unverified_workers_.insert(worker.id);
  } else if (state.info.incarnation != worker.incarnation) {
    // A restarted agent. The runs of the earlier agent are kept until the first
    // report of the new one.
    state.is_claimed = false;
  }
  // The listing may already describe the successor of the agent whose exit is
  // to be judged.
  if (state.agent_incarnation == 0 ||
      state.agent_incarnation == worker.incarnation) {
    state.is_leave_planned = worker.is_draining;
  }
  // An entry that is listed again may still show the time left at first.
  const bool is_known_to_drain =
      state.info.is_draining && state.info.incarnation == worker.incarnation &&
      state.info.min_time_left_ms == worker.min_time_left_ms;
  if (worker.is_draining && !is_known_to_drain) {
    state.leaves_at = now + milliseconds(worker.min_time_left_ms);
  }
  state.info = worker;
  state.is_listed = true;
  state.has_changed = true;
}

void pool_scheduler::RemoveWorker(std::string_view id) {
  worker_state* worker = FindWorker(id);
  if (worker == nullptr) return;
  worker->is_listed = false;
  // A worker that is cut off from discovery may still have runs. Expired runs
  // are kept until a new incarnation shows whether it crashed under them.
  if (worker->runs.empty() && worker->expired_runs.empty() &&
      !unverified_workers_.contains(id)) {
    workers_.erase(workers_.find(id));
  }
}

graph_job& pool_scheduler::AddJob(job_submission job, job_progress progress,
                                  time_point submitted_at) {
  auto added = std::make_unique<graph_job>();
  added->critical_path_ms = CriticalPathMs(job.graph, job.queue);
  added->submission = std::move(job);
  added->progress = std::move(progress);
  if (!added->submission.organisation.empty()) {
    added->progress.organisation = added->submission.organisation;
  }
  added->number = ++job_count_;
  added->admitted_at = submitted_at;
  const job_graph& graph = added->submission.graph;
  added->longest_path_ms = LongestPathsMs(graph);
  for (const auto& steps : added->progress.occurrences) {
    auto& states = added->occurrences.emplace_back(graph.steps.size());
    for (std::size_t i = 0; i < graph.steps.size(); ++i) {
      step_state& step = states[i];
      step.tasks.resize(graph.steps[i].task_count);
      step.waiting = graph.steps[i].task_count;
      for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        const bool is_done = steps[i].done[index];
        if (is_done) SetPhase(step, step.tasks[index], task_phase::kDone);
      }
      for (const auto& [index, partition] : steps[i].lent) {
        if (step.tasks[index].phase != task_phase::kWaiting) continue;
        SetPhase(step, step.tasks[index], task_phase::kLent);
      }
    }
  }
  if (added->submission.guest) {
    for (const guest_tasks::entry& task : added->submission.guest->tasks) {
      added->occurrences[task.occurrence][task.step]
          .tasks[task.index]
          .last_run = task.last_run;
    }
  }
  graph_job& kept = *added;
  kept.memory_bytes = IsFinal(kept.progress.state)
                          ? kFinishedJobBytes
                          : EstimateJobMemory(kept.submission);
  job_memory_bytes_ += kept.memory_bytes;
  jobs_[kept.submission.id] = std::move(added);
  if (IsFinal(kept.progress.state)) {
    kept.is_result_stored = true;  // The job comes from the store.
    finished_jobs_.emplace_back(submitted_at, kept.submission.id);
  } else {
    open_jobs_.insert(&kept);
    FindCrashedTasks(kept);
  }
  return kept;
}

void pool_scheduler::AdmitJob(job_submission job, time_point submitted_at) {
  if (FindJob(job.id) != nullptr) return;
  job_progress progress = InitialProgress(job);
  graph_job& added = AddJob(std::move(job), std::move(progress), submitted_at);
  // Tasks of another partition's job count there.
  added.is_beyond_rate =
      !added.submission.guest &&
      !shares_.CountJob(added.submission.organisation, submitted_at);
  CountAdmittedJob(added);
  Log(graph_events::kJobAdmitted,
      {Field("job", added.submission.id),
       Field("queue", added.submission.queue.name),
       Field("critical_path_ms", added.critical_path_ms)});
}

void pool_scheduler::RestoreJob(job_submission job, job_progress progress,
                                time_point submitted_at) {
  if (FindJob(job.id) != nullptr) return;
  graph_job& added = AddJob(std::move(job), std::move(progress), submitted_at);
  added.is_loaded = true;
  // Earlier versions did not store it in the progress.
  if (added.submission.guest) added.progress.is_guest = true;
  added.stored_lent = LentTasks(added.submission.id, added.progress);
}

bool pool_scheduler::CancelJob(std::string_view job_id, time_point now) {
  graph_job* job = FindJob(job_id);
  if (job == nullptr) return false;
  if (!IsFinal(job->progress.state)) {
    FinishJob(*job, job_state::kCancelled, now);
  }
  return true;
}

std::optional<job_state> pool_scheduler::FindJobState(
    std::string_view job_id) const {
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end()) return std::nullopt;
  return found->second->progress.state;
}

std::optional<job_state> pool_scheduler::FindStoredJobState(
    std::string_view job_id) const {
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end()) return std::nullopt;
  const graph_job& job = *found->second;
  if (IsFinal(job.progress.state) && !job.is_result_stored) {
    return job_state::kActive;
  }
  return job.progress.state;
}

std::optional<std::string> pool_scheduler::FindOrganisation(
    std::string_view job_id) const {
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end()) return std::nullopt;
  return found->second->progress.organisation;
}

std::optional<std::string> pool_scheduler::FindQueueOf(
    std::string_view job_id) const {
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end()) return std::nullopt;
  return found->second->submission.queue.name;
}

std::size_t pool_scheduler::CountPendingJobs(std::string_view queue) const {
  return static_cast<std::size_t>(std::count_if(
      open_jobs_.begin(), open_jobs_.end(), [&](const graph_job* job) {
        return !job->progress.has_started && !job->submission.guest &&
               job->submission.queue.name == queue;
      }));
}

void pool_scheduler::FinishJob(graph_job& job, job_state state,
                               time_point now) {
  job.progress.state = state;
  open_jobs_.erase(&job);
  crashed_jobs_.erase(&job);
  finished_jobs_.emplace_back(now, job.submission.id);
  ++unstored_results_;
  MarkDirty(job);
  StopJob(job, now);
  Log(graph_events::kJobFinished,
      {Field("job", job.submission.id), Field("state", ToString(state)),
       Field("age_ms", ToMs(now - job.admitted_at))});
}

void pool_scheduler::DeleteFinishedJobs(time_point now) {
  while (!finished_jobs_.empty() &&
         finished_jobs_.front().first + options_.retention <= now) {
    const std::string id = finished_jobs_.front().second;
    finished_jobs_.pop_front();
    graph_job* job = FindJob(id);
    if (job == nullptr) continue;
    const bool has_runs =
        std::any_of(workers_.begin(), workers_.end(), [&](const auto& row) {
          return std::any_of(
              row.second.runs.begin(), row.second.runs.end(),
              [&](const auto& run) { return run.second.job == job; });
        });
    if (has_runs || !job->is_result_stored) {
      finished_jobs_.emplace_back(now, id);
      continue;
    }
    jobs_to_delete_.push_back({id, job->progress.is_guest});
    ForgetJob(*job);
  }
  if (!finished_jobs_.empty()) {
    next_decision_at_ = std::min(
        next_decision_at_, finished_jobs_.front().first + options_.retention);
  }
}

void pool_scheduler::ForgetJob(graph_job& job) {
  open_jobs_.erase(&job);
  crashed_jobs_.erase(&job);
  dirty_jobs_.erase(&job);
  std::erase_if(wanted_approvals_, [&](const wanted_approval& each) {
    return each.waiting.job == &job;
  });
  job_memory_bytes_ -= job.memory_bytes;
  jobs_.erase(jobs_.find(job.submission.id));
}

void pool_scheduler::ReleaseFinishedGraphs(time_point now) {
  if (kept_graphs_.empty()) return;
  if (now < next_graph_release_at_) {
    next_decision_at_ = std::min(next_decision_at_, next_graph_release_at_);
    return;
  }
  next_graph_release_at_ = now + duration(kGraphReleaseInterval);
  std::set<const graph_job*> running;
  for (const auto& [id, worker] : workers_) {
    for (const auto& [task, run] : worker.runs) running.insert(run.job);
  }
  std::vector<std::string> left;
  for (std::string& id : std::exchange(kept_graphs_, {})) {
    graph_job* job = FindJob(id);
    if (job == nullptr) continue;
    if (running.contains(job) || dirty_jobs_.contains(job)) {
      left.push_back(std::move(id));
      continue;
    }
    // What remains is what is loaded of a finished job.
    job->submission.graph = {};
    job->progress.occurrences = {};
    job->occurrences = {};
    job->longest_path_ms = {};
    job->crashed_tasks = {};
    job->stored_lent = {};
    job_memory_bytes_ -= job->memory_bytes - kFinishedJobBytes;
    job->memory_bytes = kFinishedJobBytes;
  }
  kept_graphs_ = std::move(left);
}

bool pool_scheduler::IsTakeoverComplete(time_point now) const {
  return unverified_workers_.empty() ||
         now >= options_.earlier_leases_expire_at;
}

pool_decisions pool_scheduler::Decide(time_point now,
                                      std::int64_t wall_clock_ms,
                                      const approval_capacity& capacity) {
  pool_decisions decisions;
  next_decision_at_ = time_point::max();
  ReviewCrashes(now);
  ++pass_;
  DeleteFinishedJobs(now);
  ReleaseFinishedGraphs(now);
  ReviewMoves(now);
  CollectStops(now, decisions);
  CollectThrottles(decisions);
  max_capacity_ = {};
  for (const auto& [id, worker] : workers_) {
    max_capacity_ = ElementwiseMax(max_capacity_, worker.info.capacity);
  }
  CountSpeeds();
  waiting_for_.clear();
  waits_examined_ = 0;
  UpdateQueueLoads(now, wall_clock_ms);
  auto waiting = WaitingSteps(now, wall_clock_ms);
  waiting_step_count_ = waiting.size();
  RemoveLimitedSteps(waiting, now);
  MoveOverdueStepsForward(waiting, now);
  MoveHeldBackStepsForward(waiting, now);
  SetLeastNeeds(waiting);
  ResetReservations(waiting);
  FindWorkersWithRoom(waiting, now);
  wanted_approvals_.clear();
  suspect_workers_ = CountSuspectWorkers(now);
  GrantTurns(waiting, now);
  bool has_planned_moves = false;
  for (const candidate& step : waiting) {
    // Lasting tasks that are away already come before those still at work.
    if (step.rank.is_first_start && !std::exchange(has_planned_moves, true)) {
      PlanMoves(now, decisions);
    }
    ReleaseRoomOfMoves(step);
    const std::size_t ordered = decisions.starts.size();
    PlaceStep(step, now, decisions);
    KeepRoomOfMoves(step, now);
    const std::size_t starts = decisions.starts.size() - ordered;
    CountStarts(step, starts);
    ChargeStartShare(step, starts, now);
  }
  if (!has_planned_moves) PlanMoves(now, decisions);
  AddMoveApprovals();
  RequestApprovals(now, capacity, decisions);
  ClearChanges(now);
  last_pass_at_ = now;
  ReportLongWaits(now, wall_clock_ms);
  return decisions;
}

time_point pool_scheduler::NextDecisionAt(time_point now) const {
  return IsTakeoverComplete(now)
             ? next_decision_at_
             : std::min(next_decision_at_, options_.earlier_leases_expire_at);
}

progress_batch pool_scheduler::TakeProgress() {
  progress_batch batch;
  for (graph_job* job : dirty_jobs_) {
    batch.jobs.push_back({job->submission.id, job->progress});
  }
  dirty_jobs_.clear();
  batch.jobs_to_delete = std::exchange(jobs_to_delete_, {});
  has_unstored_ends_ = false;
  for (const auto& [id, worker] : workers_) {
    if (worker.applied_end > worker.stored_end) {
      batch.ends_by_worker[id] = {worker.agent_incarnation, worker.applied_end};
    }
  }
  return batch;
}

void pool_scheduler::OnProgressStored(const progress_batch& batch) {
  for (const auto& entry : batch.jobs) {
    graph_job* job = FindJob(entry.job_id);
    if (job == nullptr) continue;
    if (!IsFinal(entry.progress.state)) {
      job->stored_lent = LentTasks(entry.job_id, entry.progress);
      continue;
    }
    if (!std::exchange(job->is_result_stored, true)) {
      --unstored_results_;
      kept_graphs_.push_back(entry.job_id);
    }
  }
  for (const auto& [id, mark] : batch.ends_by_worker) {
    worker_state* worker = FindWorker(id);
    // A restarted agent counts its ends from 1 again.
    if (worker == nullptr || worker->agent_incarnation != mark.incarnation) {
      continue;
    }
    worker->stored_end = std::max(worker->stored_end, mark.sequence);
  }
}

void pool_scheduler::OnProgressNotStored(const progress_batch& batch) {
  has_unstored_ends_ = has_unstored_ends_ || !batch.ends_by_worker.empty();
  jobs_to_delete_.insert(jobs_to_delete_.end(), batch.jobs_to_delete.begin(),
                         batch.jobs_to_delete.end());
  for (const auto& entry : batch.jobs) {
    if (graph_job* job = FindJob(entry.job_id)) MarkDirty(*job);
  }
}

std::uint64_t pool_scheduler::LastStoredEnd(std::string_view worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? 0 : found->second.stored_end;
}

std::int64_t pool_scheduler::IncarnationOf(std::string_view worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? 0 : found->second.agent_incarnation;
}

bool pool_scheduler::HasUnstoredEnds(std::string_view worker) const {
  const auto found = workers_.find(worker);
  return found != workers_.end() &&
         found->second.applied_end > found->second.stored_end;
}

bool pool_scheduler::MayHaveRuns(std::string_view worker,
                                 time_point now) const {
  if (CountRuns(worker) > 0) return true;
  return !IsTakeoverComplete(now) && unverified_workers_.contains(worker);
}

std::size_t pool_scheduler::CountRuns(std::string_view worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? 0 : found->second.runs.size();
}

}  // namespace apricotwheel

// Applies reports of workers and the results of orders to runs and tasks.
#include <algorithm>
#include <cmath>
#include <utility>

#include "graph/graph_codec.h"
#include "graph/graph_events.h"
#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// A worker lists at most this many ends in a report. A full list may be
// incomplete.
constexpr std::size_t kMaxEndsPerReport = 500;
// A confirmed stop whose run has not ended after this time is ordered again.
// Workers take up to 900 ms to stop a task.
constexpr auto kConfirmedStopInterval = milliseconds(1200);
// A stop that failed is ordered again after this time.
constexpr auto kStopRetryInterval = milliseconds(400);
// After this many consecutive failed tasks a worker gets no tasks for some
// time.
constexpr int kFailuresToAvoid = 3;
constexpr auto kAvoidFailingTime = milliseconds(4000);
// A worker that did not carry out a valid start order gets no tasks for this
// time.
constexpr auto kAvoidRefusingTime = milliseconds(700);
// If a worker has already ended a run with a higher number, which this owner
// does not know, the next run number is raised by this amount.
constexpr std::uint64_t kRunNumberStep = 100;
// After this time a run that is stopping is settled by the end of the worker's
// leases. It is above the time of a stop with several lost answers, and with
// the 6 s of a lease it is below the 14 s after which waiting work counts as
// lost.
constexpr auto kMaxStoppingTime = milliseconds(5000);
// Of shorter runs the time until the owner knows of their ends is a large part.
constexpr double kMinMeasuredMs = 50;
// Polls are answered within 500 ms. After a longer gap it isn't known when a
// run ended.
constexpr auto kMaxContactGap = milliseconds(1000);

bool IsRunning(const worker_report& report, const task_key& task,
               std::uint64_t run) {
  return std::any_of(report.running.begin(), report.running.end(),
                     [&](const reported_run& each) {
                       return each.run == run && each.task == task;
                     });
}

}  // namespace

bool HasOverdueStop(const worker_state& worker, time_point now) {
  return std::any_of(
      worker.runs.begin(), worker.runs.end(), [&](const auto& row) {
        return row.second.phase == run_phase::kStopping &&
               row.second.stopping_since + kMaxStoppingTime <= now;
      });
}

bool pool_scheduler::MustWithholdLeases(std::string_view id,
                                        time_point now) const {
  const auto found = workers_.find(id);
  return found != workers_.end() && HasOverdueStop(found->second, now);
}

void pool_scheduler::ApplyReport(std::string_view id,
                                 const worker_report& report,
                                 time_point sent_at, time_point now) {
  worker_state* worker = FindWorker(id);
  if (worker == nullptr) return;
  // A late report of an earlier incarnation.
  if (report.incarnation < worker->agent_incarnation) return;
  if (report.incarnation != worker->agent_incarnation) {
    if (worker->agent_incarnation != 0) {
      LogRestart(*worker, report, sent_at);
      if (!worker->is_leave_planned) {
        OnWorkerCrashed(*worker, &report, sent_at, now);
      }
      ResetWorker(*worker, report, sent_at, now);
    }
    worker->agent_incarnation = report.incarnation;
    worker->is_leave_planned = worker->info.incarnation == report.incarnation &&
                               worker->info.is_draining;
  }
  worker->contact_gap = now - worker->last_contact_at;
  worker->last_contact_at = now;
  if (std::exchange(worker->is_exit_assumed, false)) ExcuseSurvivor(id);
  if (!worker->is_claimed) {
    worker->is_claimed = true;
    unverified_workers_.erase(std::string(id));
    Log(graph_events::kWorkerClaimed,
        {Field("worker", id), Field("running", report.running.size()),
         Field("ended", report.ended.size())});
  }
  for (const reported_end& end : report.ended) {
    if (end.sequence <= worker->applied_end) continue;
    if (worker->knows_ends && end.sequence != worker->applied_end + 1) {
      Log(graph_events::kEndsMissing,
          {Field("worker", id), Field("after", worker->applied_end),
           Field("before", end.sequence)});
    }
    worker->knows_ends = true;
    worker->applied_end = end.sequence;
    has_unstored_ends_ = true;
    ApplyEnd(*worker, end, now);
  }
  for (const reported_run& run : report.running) {
    const auto found = worker->runs.find(run.task);
    if (found == worker->runs.end() || found->second.number != run.run) {
      AdoptRun(*worker, run, now);
      continue;
    }
    task_run& known = found->second;
    if (known.phase == run_phase::kStarting) {
      known.phase = run_phase::kRunning;
      known.confirmed_at = now;
    }
    if (!run.checkpoint.empty()) known.checkpoint = run.checkpoint;
    known.percent = run.percent;
    known.load = run.load;
  }
  ReleaseMissing(*worker, report, sent_at, now);
}

void pool_scheduler::LogRestart(const worker_state& worker,
                                const worker_report& report,
                                time_point sent_at) const {
  std::size_t unanswered = 0;
  std::size_t answered_later = 0;
  for (const auto& [task, run] : worker.runs) {
    if (run.confirmed_at == time_point{}) {
      ++unanswered;
    } else if (run.confirmed_at >= sent_at) {
      ++answered_later;
    }
  }
  const std::uint64_t first_end =
      report.ended.empty() ? 0 : report.ended.front().sequence;
  Log(graph_events::kWorkerRestarted,
      {Field("worker", worker.info.id), Field("runs", worker.runs.size()),
       Field("unanswered", unanswered), Field("answered_later", answered_later),
       Field("stored_end", worker.stored_end),
       Field("running", report.running.size()), Field("first_end", first_end)});
}

// Takes over a run that the worker lists and this owner did not order. Runs
// that must not go on are stopped.
void pool_scheduler::AdoptRun(worker_state& worker, const reported_run& run,
                              time_point now) {
  // A newer run of the task is known here. The listed run has already ended and
  // was listed before its end.
  if (worker.runs.contains(run.task)) return;
  // Its lease counted as expired, but it has gone on. It uses the worker until
  // it ends, so it is adopted or stopped like any other run.
  const bool has_outlived_lease =
      worker.expired_runs.erase({run.task, run.run}) > 0;
  task_run adopted;
  adopted.task = run.task;
  adopted.number = run.run;
  adopted.phase = run_phase::kRunning;
  adopted.ordered_at = now;
  adopted.confirmed_at = now;
  adopted.may_start_until = {};
  adopted.checkpoint = run.checkpoint;
  ++run_counts_.adopted;
  const auto log_adoption = [&](std::uint64_t last_run, bool is_kept) {
    Log(graph_events::kRunAdopted,
        {Field("task", FormatTask(run.task)), Field("run", run.run),
         Field("last_run", last_run), Field("worker", worker.info.id),
         Field("after_expiry", has_outlived_lease ? 1 : 0),
         Field("kept", is_kept ? 1 : 0)});
  };
  graph_job* job = FindJob(run.task.job_id);
  if (job == nullptr || !HasTask(*job, run.task)) {
    worker.has_unknown_run = true;
    StopRun(adopted, now);
    log_adoption(0, false);
    worker.runs[run.task] = std::move(adopted);
    return;
  }
  adopted.job = job;
  // The earlier owner may have placed a suspect alone.
  if (!IsFinal(job->progress.state) && IsSuspect(*job, run.task)) {
    adopted.is_alone = worker.runs.empty();
    if (adopted.is_alone) {
      suspect_workers_ = CountSuspectWorkers(now);
      IsolateLoneSuspect(worker, now);
    }
  }
  for (auto& [task, other] : worker.runs) {
    const bool is_same_gang = other.job == job && task.step == run.task.step &&
                              SpecOf(*job, task).is_gang;
    if (is_same_gang) {
      adopted.is_alone = other.is_alone;
    } else {
      other.is_alone = false;
    }
  }
  step_state& step = StepOf(*job, run.task);
  graph_task& task = step.tasks[run.task.index];
  task.last_run = std::max(task.last_run, run.run);
  worker.used = worker.used + SpecOf(*job, run.task).need;
  organisation_use_.Add(job->submission.organisation,
                        SpecOf(*job, run.task).need, 1);
  // The other members of its gang have been stopped.
  const bool is_gang_broken =
      has_outlived_lease && SpecOf(*job, run.task).is_gang;
  const bool is_kept = !IsFinal(job->progress.state) &&
                       task.phase == task_phase::kWaiting && !is_gang_broken;
  log_adoption(task.last_run, is_kept);
  if (!is_kept) {
    StopRun(adopted, now);
  } else {
    SetPhase(step, task, task_phase::kPlaced);
    task.worker = worker.info.id;
    MarkStarted(*job);
  }
  worker.runs[run.task] = std::move(adopted);
}

bool pool_scheduler::IsComparable(const task_run& run) const {
  const graph_step& spec = SpecOf(*run.job, run.task);
  // The members of a gang end together, and tasks that ask for one rack are
  // slower if it has no room for all of them.
  return run.checkpoint.empty() && !spec.is_service && !spec.is_gang &&
         !spec.one_rack && !spec.uses_leftover;
}

void pool_scheduler::AddRunTime(const worker_state& worker, const task_run& run,
                                time_point now) {
  if (run.measured_since == time_point{} || run.phase != run_phase::kRunning ||
      worker.contact_gap > kMaxContactGap) {
    return;
  }
  const double run_time_ms =
      std::chrono::duration<double, std::milli>(now - run.measured_since)
          .count();
  if (run_time_ms < kMinMeasuredMs) return;
  step_state& step = StepOf(*run.job, run.task);
  const std::string& data_rack = SpecOf(*run.job, run.task).data_rack;
  const bool is_remote = !data_rack.empty() && worker.info.rack != data_rack;
  (is_remote ? step.remote_run_times : step.run_times)
      .runs.push_back(
          {worker.info.id, worker.agent_incarnation, std::log(run_time_ms)});
}

void pool_scheduler::CompareRunTimes(graph_job& job, const task_key& task) {
  step_state& step = StepOf(job, task);
  const duration estimate = milliseconds(SpecOf(job, task).estimate_ms);
  const bool is_complete = step.done == step.tasks.size();
  if (is_complete || step.run_times.runs.size() >= kMaxRunsCompared) {
    CompareGroup(step.run_times, &run_time_ratios_[job.submission.queue.name],
                 estimate);
  }
  if (is_complete || step.remote_run_times.runs.size() >= kMaxRunsCompared) {
    CompareGroup(step.remote_run_times, nullptr, estimate);
  }
}

void pool_scheduler::CompareGroup(run_time_group& group, run_time_ratio* ratio,
                                  duration estimate) {
  std::vector<speed_sample> samples;
  for (const measured_run& run : std::exchange(group.runs, {})) {
    worker_state* worker = FindWorker(run.worker);
    if (worker == nullptr || worker->agent_incarnation != run.incarnation) {
      continue;
    }
    samples.push_back({&worker->speed, run.log_run_time});
  }
  if (samples.empty()) return;
  has_new_speeds_ = true;
  const double usual = UpdateSpeeds(samples, pool_speed_);
  if (ratio != nullptr) UpdateRatio(*ratio, usual, estimate);
}

void pool_scheduler::MarkStarted(graph_job& job) {
  if (job.progress.has_started || IsFinal(job.progress.state)) return;
  job.progress.has_started = true;
  job.progress.state = job_state::kActive;
  MarkDirty(job);
}

void pool_scheduler::ApplyEnd(worker_state& worker, const reported_end& end,
                              time_point now) {
  const auto found = worker.runs.find(end.task);
  if (found != worker.runs.end() && found->second.number == end.run) {
    EndRun(worker, end.task, end.outcome, end.checkpoint, now);
    return;
  }
  // A run that an earlier owner ordered, or one whose leases had counted as
  // expired.
  const bool has_expired = worker.expired_runs.erase({end.task, end.run}) > 0;
  graph_job* job = FindJob(end.task.job_id);
  if (job == nullptr || !HasTask(*job, end.task)) return;
  if (IsFinal(job->progress.state)) return;
  step_state& step = StepOf(*job, end.task);
  graph_task& task = step.tasks[end.task.index];
  task.last_run = std::max(task.last_run, end.run);
  const graph_step& spec = SpecOf(*job, end.task);
  if (end.outcome == run_outcome::kDone) {
    // The result of an expired run counts until its task is placed again.
    const bool is_placed_again =
        has_expired &&
        (spec.is_gang ? step.placed > 0 : task.phase == task_phase::kPlaced);
    if (!spec.is_service && task.phase != task_phase::kDone &&
        !is_placed_again) {
      CompleteTask(*job, end.task, now);
    }
    return;
  }
  const bool is_waiting = task.phase == task_phase::kWaiting;
  if (is_waiting && !end.checkpoint.empty()) task.checkpoint = end.checkpoint;
  if (end.outcome == run_outcome::kFailed && !spec.is_service) {
    // The failure counts even if a later run of the task was adopted before.
    CountFailure(*job, end.task, end.run, now);
  }
}

// Counts each failed run once, by its number. A worker lists an end again if an
// earlier owner stored the end but did not acknowledge it, and ends from two
// workers may arrive in any order.
void pool_scheduler::CountFailure(graph_job& job, const task_key& task,
                                  std::uint64_t run, time_point now) {
  const bool is_gang = SpecOf(job, task).is_gang;
  auto& failed = job.progress.occurrences[task.occurrence][task.step]
                     .failed_runs[is_gang ? 0 : task.index];
  if (std::find(failed.begin(), failed.end(), run) != failed.end()) return;
  failed.push_back(run);
  MarkDirty(job);
  if (failed.size() >= job.submission.queue.max_attempts) {
    FinishJob(job, job_state::kFailed, now);
  }
}

// Ends the runs that should exist on the worker and are not in its report.
void pool_scheduler::ReleaseMissing(worker_state& worker,
                                    const worker_report& report,
                                    time_point sent_at, time_point now) {
  if (report.ended.size() >= kMaxEndsPerReport) return;
  std::set<task_key> listed;
  for (const reported_run& run : report.running) listed.insert(run.task);
  std::vector<task_key> missing;
  for (const auto& [task, run] : worker.runs) {
    const bool is_stopped =
        run.phase == run_phase::kStopping && run.stop_confirmed &&
        (!run.is_of_earlier_agent || run.may_start_until <= sent_at);
    const bool is_confirmed = run.phase == run_phase::kRunning || is_stopped;
    // A report that was requested before the last confirmation may be older
    // than that and proves nothing.
    if (is_confirmed && run.confirmed_at < sent_at && !listed.contains(task)) {
      missing.push_back(task);
    }
  }
  for (const task_key& task : missing) {
    const std::string checkpoint = worker.runs.at(task).checkpoint;
    EndRun(worker, task, run_outcome::kLeaseExpired, checkpoint, now);
  }
}

void pool_scheduler::ReleaseRun(worker_state& worker, const task_key& task) {
  const auto found = worker.runs.find(task);
  if (found == worker.runs.end()) return;
  if (found->second.job != nullptr) {
    const graph_job& job = *found->second.job;
    worker.used = worker.used - SpecOf(job, task).need;
    organisation_use_.Add(job.submission.organisation, SpecOf(job, task).need,
                          -1);
  }
  worker.has_changed = true;
  worker.runs.erase(found);
  if (worker.runs.empty()) worker.is_isolated = false;
  worker.has_unknown_run =
      std::any_of(worker.runs.begin(), worker.runs.end(),
                  [](const auto& row) { return row.second.job == nullptr; });
}

void pool_scheduler::EndRun(worker_state& worker, const task_key& key,
                            run_outcome outcome, std::string_view checkpoint,
                            time_point now) {
  // `key` may refer to the map entry that is erased below.
  const task_key task = key;
  const std::string saved(checkpoint);
  const task_run run = worker.runs.at(task);
  if (outcome == run_outcome::kDone) AddRunTime(worker, run, now);
  ReleaseRun(worker, task);
  RecordOutcome(worker, outcome, now);
  Log(graph_events::kRunEnded,
      {Field("task", FormatTask(task)), Field("run", run.number),
       Field("worker", worker.info.id), Field("how", ToString(outcome))});
  graph_job* job = run.job;
  if (job == nullptr || IsFinal(job->progress.state)) return;
  step_state& step = StepOf(*job, task);
  graph_task& state = step.tasks[task.index];
  const graph_step& spec = SpecOf(*job, task);
  const bool is_current = IsPlacedOn(state, worker);
  if (outcome == run_outcome::kDone && !spec.is_service) {
    if (state.phase != task_phase::kDone) CompleteTask(*job, task, now);
    CompareRunTimes(*job, task);
    return;
  }
  Log(graph_events::kRunCutShort,
      {Field("task", FormatTask(task)), Field("run", run.number),
       Field("last_run", state.last_run), Field("worker", worker.info.id),
       Field("how", ToString(outcome)), Field("placed", is_current ? 1 : 0)});
  if (!is_current) {
    ++run_counts_.stale_ends;
    return;
  }
  if (!saved.empty()) state.checkpoint = saved;
  if (spec.is_gang) {
    if (!saved.empty()) step.gang_checkpoint = saved;
    OnGangMemberEnded(*job, task, run.number, outcome, now);
  } else {
    OnTaskEnded(*job, task, run.number, outcome, now);
  }
}

void pool_scheduler::CompleteTask(graph_job& job, const task_key& task,
                                  time_point now) {
  step_state& step = StepOf(job, task);
  auto& stored = job.progress.occurrences[task.occurrence][task.step].done;
  const auto finish = [&](std::size_t index) {
    graph_task& state = step.tasks[index];
    if (state.phase == task_phase::kDone) return;
    SetPhase(step, state, task_phase::kDone);
    stored[index] = true;
  };
  if (SpecOf(job, task).is_gang) {
    // The members of a gang finish together, so one end completes all tasks.
    for (std::size_t i = 0; i < step.tasks.size(); ++i) finish(i);
  } else {
    finish(task.index);
  }
  job.progress.has_started = true;
  MarkDirty(job);
  if (IsSuspect(job, task)) job.crashes = 0;
  const bool is_complete = std::all_of(
      job.occurrences.begin(), job.occurrences.end(), [](const auto& steps) {
        return std::all_of(steps.begin(), steps.end(), [](const auto& each) {
          return each.done == each.tasks.size();
        });
      });
  if (is_complete) FinishJob(job, job_state::kCompleted, now);
}

void pool_scheduler::RequeueTask(step_state& step, graph_task& task) {
  if (task.phase != task_phase::kPlaced) return;
  SetPhase(step, task, task_phase::kWaiting);
  task.worker.clear();
  step.placed_in_pass = 0;
}

void pool_scheduler::OnTaskEnded(graph_job& job, const task_key& task,
                                 std::uint64_t run, run_outcome outcome,
                                 time_point now) {
  step_state& step = StepOf(job, task);
  RequeueTask(step, step.tasks[task.index]);
  if (outcome != run_outcome::kFailed || SpecOf(job, task).is_service) return;
  CountFailure(job, task, run, now);
}

void pool_scheduler::OnGangMemberEnded(graph_job& job, const task_key& task,
                                       std::uint64_t run, run_outcome outcome,
                                       time_point now) {
  step_state& step = StepOf(job, task);
  RequeueTask(step, step.tasks[task.index]);
  if (outcome == run_outcome::kFailed) CountFailure(job, task, run, now);
  if (IsFinal(job.progress.state) || step.placed == 0) return;
  // Reachable members end by themselves when one member ends. The others are
  // stopped as well, so that a lost end does not delay the next attempt.
  StopStep(job, task, now);
}

void pool_scheduler::StopRun(task_run& run, time_point now) {
  if (run.phase == run_phase::kStopping) return;
  run.phase = run_phase::kStopping;
  run.stopping_since = now;
  run.stop_confirmed = false;
  run.next_stop_at = now;
}

void pool_scheduler::StopStep(graph_job& job, const task_key& member,
                              time_point now) {
  step_state& step = StepOf(job, member);
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    const graph_task& task = step.tasks[i];
    if (task.phase != task_phase::kPlaced) continue;
    worker_state* worker = FindWorker(task.worker);
    if (worker == nullptr) continue;
    const auto found =
        worker->runs.find({member.job_id, member.occurrence, member.step, i});
    if (found != worker->runs.end()) StopRun(found->second, now);
  }
}

void pool_scheduler::StopJob(graph_job& job, time_point now) {
  // Only placed tasks have runs that are not stopped already, apart from
  // members of a completed gang, which end by themselves.
  for (std::uint32_t n = 0; n < job.occurrences.size(); ++n) {
    for (std::uint32_t i = 0; i < job.occurrences[n].size(); ++i) {
      if (job.occurrences[n][i].placed == 0) continue;
      StopStep(job, {job.submission.id, n, i, 0}, now);
    }
  }
}

bool pool_scheduler::MayBeOfNextAgent(const task_run& run, time_point sent_at,
                                      time_point now) {
  if (run.may_start_until > now) return true;
  return run.phase != run_phase::kStarting && run.confirmed_at >= sent_at;
}

void pool_scheduler::StopLateStart(task_run& run, time_point now) {
  StopRun(run, now);
  if (run.job == nullptr || !SpecOf(*run.job, run.task).is_gang) return;
  StopStep(*run.job, run.task, now);
}

void pool_scheduler::KeepForNextAgent(task_run& run, time_point now) {
  run.is_of_earlier_agent = true;
  // Only the next report shows whether the new agent has answered the start.
  if (run.may_start_until <= now) return;
  // The new agent knows of no stop, and must reject the start from now on.
  StopLateStart(run, now);
  run.stop_confirmed = false;
  run.next_stop_at = now;
}

void pool_scheduler::ResetWorker(worker_state& worker,
                                 const worker_report& report,
                                 time_point sent_at, time_point now) {
  std::vector<task_key> lost;
  for (auto& [task, run] : worker.runs) {
    if (!MayBeOfNextAgent(run, sent_at, now)) {
      lost.push_back(task);
    } else if (!IsRunning(report, task, run.number)) {
      KeepForNextAgent(run, now);
    }
  }
  for (const task_key& task : lost) {
    const std::string checkpoint = worker.runs.at(task).checkpoint;
    EndRun(worker, task, run_outcome::kLeaseExpired, checkpoint, now);
  }
  worker.is_claimed = false;
  worker.is_exit_assumed = false;
  worker.applied_end = 0;
  worker.knows_ends = true;
  worker.stored_end = 0;
  worker.expired_runs.clear();
  worker.consecutive_failures = 0;
  // Failures and refusals of the earlier agent say nothing about this one.
  worker.avoid_until = {};
  worker.speed = {};
  has_new_speeds_ = true;
}

void pool_scheduler::ExpireWorkerLeases(std::string_view id, bool has_exited,
                                        time_point now, bool may_start_late) {
  unverified_workers_.erase(std::string(id));
  worker_state* worker = FindWorker(id);
  if (worker == nullptr) return;
  if (worker->is_claimed || !worker->runs.empty()) {
    Log(graph_events::kWorkerGone,
        {Field("worker", id), Field("runs", worker->runs.size()),
         Field("listed", worker->is_listed ? 1 : 0)});
  }
  // If the leases only expired, a new incarnation may still show a crash.
  if (has_exited && !worker->is_leave_planned && !worker->is_exit_assumed) {
    OnWorkerCrashed(*worker, nullptr, now, now);
    worker->is_exit_assumed = true;
  }
  worker->leases_expired_at = now;
  // It doesn't answer orders, so that a new start would be lost as well.
  if (HasOverdueStop(*worker, now)) {
    worker->avoid_until = now + kAvoidFailingTime;
  }
  std::vector<task_key> ended;
  for (auto& [task, run] : worker->runs) {
    // The agent of the last contact would have shown a start that had arrived.
    if (may_start_late && run.may_start_until > worker->last_contact_at) {
      StopLateStart(run, now);
    } else {
      ended.push_back(task);
    }
  }
  for (const task_key& task : ended) {
    const task_run& run = worker->runs.at(task);
    worker->expired_runs[{task, run.number}] = IsEvidence(*worker, run);
    const std::string checkpoint = run.checkpoint;
    EndRun(*worker, task, run_outcome::kLeaseExpired, checkpoint, now);
  }
  worker->is_claimed = false;
  if (!worker->is_listed) RemoveWorker(id);
}

void pool_scheduler::RecordOutcome(worker_state& worker, run_outcome outcome,
                                   time_point now) {
  if (outcome == run_outcome::kDone) worker.consecutive_failures = 0;
  if (outcome != run_outcome::kFailed) return;
  if (++worker.consecutive_failures < kFailuresToAvoid) return;
  worker.avoid_until = now + kAvoidFailingTime;
  Log(graph_events::kWorkerAvoided,
      {Field("worker", worker.info.id),
       Field("failures_in_row", worker.consecutive_failures)});
}

void pool_scheduler::OnStartResult(const start_order& order,
                                   start_result result, time_point now) {
  worker_state* worker = FindWorker(order.worker);
  if (worker == nullptr) return;
  const auto found = worker->runs.find(order.task);
  if (found == worker->runs.end() || found->second.number != order.run) {
    if (result == start_result::kStarted) {
      Log(graph_events::kLateStart,
          {Field("task", FormatTask(order.task)), Field("run", order.run),
           Field("worker", order.worker)});
    }
    return;
  }
  task_run& run = found->second;
  const auto unanswered = unanswered_starts_.find(run.ordered_at);
  if (unanswered != unanswered_starts_.end()) {
    unanswered_starts_.erase(unanswered);
  }
  graph_job* job = run.job;
  const bool may_start_late =
      order.has_lost_copies || result == start_result::kUnknown;
  run.may_start_until = may_start_late ? now + kMaxCallDelay : time_point{};
  if (result == start_result::kStarted) {
    run.confirmed_at = now;
    worker->last_contact_at = now;
    if (run.phase == run_phase::kStarting) {
      run.phase = run_phase::kRunning;
      if (IsComparable(run)) run.measured_since = now;
    }
    MarkStarted(*job);
    return;
  }
  Log(result == start_result::kUnknown ? graph_events::kRunUnknown
                                       : graph_events::kRunRefused,
      {Field("task", FormatTask(order.task)), Field("run", order.run),
       Field("worker", order.worker), Field("answer", ToString(result))});
  const bool is_gang = SpecOf(*job, order.task).is_gang;
  if (result == start_result::kUnknown) {
    // The stop prevents the start if the order arrives late.
    StopRun(run, now);
    if (is_gang) StopStep(*job, order.task, now);
    return;
  }
  step_state& step = StepOf(*job, order.task);
  graph_task& task = step.tasks[order.task.index];
  const bool is_current = IsPlacedOn(task, *worker);
  ReleaseRun(*worker, order.task);
  if (is_current) RequeueTask(step, task);
  if (result == start_result::kOutdatedRun) task.last_run += kRunNumberStep;
  if (result == start_result::kNoTicket) {
    step.approvals.by_worker[order.worker].valid_until = {};
  } else if (result != start_result::kOutdatedRun &&
             result != start_result::kWithdrawn) {
    worker->avoid_until =
        std::max(worker->avoid_until, now + kAvoidRefusingTime);
  }
  if (is_gang) StopStep(*job, order.task, now);
}

void pool_scheduler::OnStopResult(const stop_order& order, bool is_confirmed,
                                  time_point now) {
  worker_state* worker = FindWorker(order.worker);
  if (worker == nullptr) return;
  const auto found = worker->runs.find(order.task);
  if (found == worker->runs.end() || found->second.number != order.run) return;
  task_run& run = found->second;
  if (is_confirmed) {
    run.stop_confirmed = true;
    run.confirmed_at = now;
  }
  run.next_stop_at =
      now + (is_confirmed ? kConfirmedStopInterval : kStopRetryInterval);
}

void pool_scheduler::OnApprovalResult(const approval_request& request,
                                      std::span<const approved_worker> approved,
                                      bool has_response, time_point sent_at,
                                      time_point now) {
  graph_job* job = FindJob(request.job_id);
  if (job == nullptr) return;
  const task_key key{request.job_id, request.occurrence, request.step, 0};
  if (!HasTask(*job, key)) return;
  step_state& step = StepOf(*job, key);
  step.placed_in_pass = 0;
  step.named_in_pass = 0;
  step_approvals& approvals = step.approvals;
  approvals.is_call_in_flight = false;
  if (!has_response) {
    constexpr auto kApprovalRetryInterval = milliseconds(100);
    approvals.retry_at = now + kApprovalRetryInterval;
    return;
  }
  const auto& advisor = job->submission.queue.advisor;
  if (!advisor) return;
  decision_count& count = decisions_by_queue_[job->submission.queue.name];
  for (const pool_worker& worker : request.workers) {
    if (FindApproval(approvals, worker, now) == approval_status::kUndecided) {
      ++count.decided;
      count.approved += std::any_of(approved.begin(), approved.end(),
                                    [&](const approved_worker& each) {
                                      return each.worker == worker.id;
                                    });
    }
  }
  RecordApprovals(approvals, request.workers, approved,
                  advisor->ticket_lifetime, sent_at);
}

}  // namespace apricotwheel

// Crashes of workers: which tasks may have caused them, and when a task is
// given up. See "Tasks that crash their workers" in docs/mechanisms.md.
#include <algorithm>
#include <utility>

#include "graph/graph_events.h"
#include "graph/pool_scheduler.h"
#include "graph/suspect_bounds.h"

namespace apricotwheel {

namespace {

// A task is given up when this many crashes are counted against it and it was
// alone on the worker in the last one.
constexpr std::size_t kCrashesToGiveUp = 2;
// The same if excused crashes are counted as well.
constexpr std::size_t kAnyCrashesToGiveUp = 3;
// A task is given up after this many crashes in any case.
constexpr std::size_t kMaxCrashes = 4;
// From this many crashes on a task is a suspect although all were excused.
constexpr std::size_t kExcusedCrashesToSuspect = 2;
// From this many counted crashes on a suspect is a strong one.
constexpr std::size_t kCrashesOfStrongSuspect = 2;
// Workers fall at the same time if the owner had its last contact with them
// within this time. Polls of a busy worker return every 500 ms at least.
constexpr auto kSameTime = milliseconds(600);
// A task is given up this long after its last crash, when a mass failure would
// be known. An exit is noticed within a poll and a probe of 300 ms.
constexpr auto kVerdictDelay = milliseconds(1000);
// A mass failure takes at least this many workers, and one in
// `kPoolPartOfMassFailure` of the pool or a whole rack.
constexpr std::size_t kMinMassFailure = 3;
constexpr std::size_t kPoolPartOfMassFailure = 5;
// Crashes that the owner learns of later than this are not compared with
// earlier ones. It is above the time in which leases expire.
constexpr auto kCrashMemory = milliseconds(30'000);
// A worker that is not listed any more is forgotten this long after its leases
// have expired, whether or not a new incarnation has shown a crash.
constexpr auto kExpiredRunsMemory = milliseconds(60'000);
// Suspects that are logged for one crash.
constexpr std::size_t kSuspectsLogged = 8;

bool Contains(const std::vector<std::uint64_t>& runs, std::uint64_t run) {
  return std::find(runs.begin(), runs.end(), run) != runs.end();
}

// Returns true if the run has reached the agent that sent the report.
bool Lists(const worker_report& report, const task_key& task,
           std::uint64_t run) {
  const auto is_same = [&](const auto& each) {
    return each.run == run && each.task == task;
  };
  return std::any_of(report.running.begin(), report.running.end(), is_same) ||
         std::any_of(report.ended.begin(), report.ended.end(), is_same);
}

duration Distance(time_point left, time_point right) {
  return left < right ? right - left : left - right;
}

}  // namespace

task_key pool_scheduler::CrashKey(const graph_job& job,
                                  const task_key& task) const {
  task_key key = task;
  if (SpecOf(job, task).is_gang) key.index = 0;
  return key;
}

std::vector<std::uint64_t>& pool_scheduler::BlamedRuns(graph_job& job,
                                                       const task_key& key) {
  return job.progress.occurrences[key.occurrence][key.step]
      .crashed_runs[key.index];
}

std::vector<std::uint64_t>& pool_scheduler::ExcusedRuns(graph_job& job,
                                                        const task_key& key) {
  return job.progress.occurrences[key.occurrence][key.step]
      .excused_runs[key.index];
}

bool pool_scheduler::IsSuspect(graph_job& job, const task_key& task) {
  if (job.crashed_tasks.empty()) return false;
  const task_key key = CrashKey(job, task);
  if (!job.crashed_tasks.contains(key)) return false;
  return !BlamedRuns(job, key).empty() ||
         ExcusedRuns(job, key).size() >= kExcusedCrashesToSuspect;
}

bool pool_scheduler::IsStrongSuspect(graph_job& job, const task_key& task) {
  const task_key key = CrashKey(job, task);
  return job.crashed_tasks.contains(key) &&
         BlamedRuns(job, key).size() >= kCrashesOfStrongSuspect;
}

void pool_scheduler::ReviewSteps(graph_job& job, time_point now) {
  const step_state* reviewed = nullptr;
  for (const task_key& key : job.crashed_tasks) {
    step_state& step = StepOf(job, key);
    if (std::exchange(reviewed, &step) == &step) continue;
    const std::size_t needed = std::max<std::size_t>(step.crashes, 1);
    std::size_t good = step.done;
    task_key task{key.job_id, key.occurrence, key.step, 0};
    for (; task.index < step.tasks.size() && good < needed; ++task.index) {
      const bool is_placed =
          step.tasks[task.index].phase == task_phase::kPlaced;
      if (is_placed && HasSurvived(job, task, now)) ++good;
    }
    step.is_proven = good >= needed;
  }
}

bool pool_scheduler::HasVerdictPending(const graph_job& job,
                                       const task_key& task) const {
  if (verdicts_.empty()) return false;
  const task_key key = CrashKey(job, task);
  return std::any_of(
      verdicts_.begin(), verdicts_.end(),
      [&](const pending_verdict& verdict) { return verdict.task == key; });
}

void pool_scheduler::FindCrashedTasks(graph_job& job) {
  task_key key{job.submission.id, 0, 0, 0};
  for (; key.occurrence < job.progress.occurrences.size(); ++key.occurrence) {
    const auto& steps = job.progress.occurrences[key.occurrence];
    for (key.step = 0; key.step < steps.size(); ++key.step) {
      const step_progress& step = steps[key.step];
      for (const run_numbers* runs : {&step.crashed_runs, &step.excused_runs}) {
        for (const auto& [index, numbers] : *runs) {
          if (numbers.empty()) continue;
          key.index = index;
          job.crashed_tasks.insert(key);
          if (runs == &step.crashed_runs) ++StepOf(job, key).crashes;
        }
      }
    }
  }
  if (!job.crashed_tasks.empty()) crashed_jobs_.insert(&job);
}

bool pool_scheduler::IsEvidence(const worker_state& worker,
                                const task_run& run) {
  return run.confirmed_at != time_point{} &&
         worker.last_contact_at < run.confirmed_at + kSurvivalTime;
}

void pool_scheduler::OnWorkerCrashed(worker_state& worker,
                                     const worker_report* report,
                                     time_point sent_at, time_point now) {
  std::vector<crashed_run> runs;
  for (const auto& [task, run] : worker.runs) {
    if (run.job == nullptr) continue;
    if (report != nullptr && Lists(*report, task, run.number)) continue;
    // The next agent has answered its start.
    if (report != nullptr && run.confirmed_at >= sent_at) continue;
    runs.push_back({task, run.number, IsEvidence(worker, run), run.is_alone});
  }
  for (const auto& [run, is_evidence] : worker.expired_runs) {
    // Such a run may have ended long before the crash, so it proves less than
    // one that was alone at the time.
    runs.push_back({run.first, run.second, is_evidence, false});
  }
  if (runs.empty()) return;
  ++workers_crashed_;
  worker_crash crash;
  crash.at = worker.last_contact_at;
  crash.known_at = now;
  crash.worker = worker.info.id;
  crash.rack = worker.info.rack;
  std::size_t logged = 0;
  for (const crashed_run& run : runs) {
    if (!CountCrash(crash, run, now)) continue;
    graph_job& job = *FindJob(run.task.job_id);
    if (IsFinal(job.progress.state) || !IsSuspect(job, run.task)) continue;
    if (++logged > kSuspectsLogged) continue;
    const task_key key = CrashKey(job, run.task);
    Log(graph_events::kTaskSuspected,
        {Field("task", FormatTask(run.task)), Field("run", run.number),
         Field("worker", crash.worker),
         Field("crashes", BlamedRuns(job, key).size()),
         Field("excused", ExcusedRuns(job, key).size()),
         Field("alone", run.is_alone ? 1 : 0), Field("runs", runs.size())});
  }
  if (crash.jobs.empty()) return;
  CountForJobs(crash, 1);
  std::erase_if(recent_crashes_, [&](const worker_crash& earlier) {
    return earlier.known_at + kCrashMemory < now;
  });
  recent_crashes_.push_back(std::move(crash));
  ExcuseMassFailure(recent_crashes_.back());
}

bool pool_scheduler::CountCrash(worker_crash& crash, const crashed_run& run,
                                time_point now) {
  graph_job* job = FindJob(run.task.job_id);
  if (job == nullptr || !HasTask(*job, run.task)) return false;
  if (IsFinal(job->progress.state)) return false;
  const task_phase phase = StepOf(*job, run.task).tasks[run.task.index].phase;
  // A lent task runs, and is judged, in another partition.
  if (phase == task_phase::kDone || phase == task_phase::kLent) return false;
  const task_key key = CrashKey(*job, run.task);
  auto& blamed = BlamedRuns(*job, key);
  auto& excused = ExcusedRuns(*job, key);
  crash.jobs.insert(run.task.job_id);
  if (Contains(blamed, run.number) || Contains(excused, run.number)) {
    return false;
  }
  crash.had_suspect = crash.had_suspect || IsSuspect(*job, key);
  (run.is_evidence ? blamed : excused).push_back(run.number);
  if (run.is_evidence) {
    crash.blamed.push_back({key, run.number, true, run.is_alone});
  }
  job->crashed_tasks.insert(key);
  crashed_jobs_.insert(job);
  MarkDirty(*job);
  const std::size_t count = blamed.size() + excused.size();
  if (count >= kMaxCrashes) {
    GiveUp(*job, key, run.number, crash.worker, now);
  } else if (run.is_alone && run.is_evidence &&
             (blamed.size() >= kCrashesToGiveUp ||
              count >= kAnyCrashesToGiveUp)) {
    verdicts_.push_back({now + kVerdictDelay, key, run.number, crash.worker});
  }
  return true;
}

// A mass failure is no task's doing: several workers without a suspect fall at
// the same time, together a large part of the pool or a whole rack, and no job
// had runs on all of them.
bool pool_scheduler::IsMassFailure(std::span<worker_crash* const> group) const {
  std::set<std::string_view> workers;
  std::map<std::string_view, std::set<std::string_view>> by_rack;
  const worker_crash* first = nullptr;
  std::set<std::string_view> common_jobs;
  for (const worker_crash* crash : group) {
    if (crash->had_suspect) continue;
    workers.insert(crash->worker);
    if (!crash->rack.empty()) by_rack[crash->rack].insert(crash->worker);
    if (first == nullptr) {
      first = crash;
      common_jobs.insert(crash->jobs.begin(), crash->jobs.end());
    }
    std::erase_if(common_jobs, [&](std::string_view job) {
      return !crash->jobs.contains(std::string(job));
    });
  }
  if (workers.size() < kMinMassFailure || !common_jobs.empty()) return false;
  if (workers.size() * kPoolPartOfMassFailure >= workers_.size()) return true;
  return std::any_of(by_rack.begin(), by_rack.end(), [&](const auto& row) {
    if (row.second.size() < kMinMassFailure) return false;
    const auto in_rack = std::count_if(
        workers_.begin(), workers_.end(),
        [&](const auto& each) { return each.second.info.rack == row.first; });
    return row.second.size() >= static_cast<std::size_t>(in_rack);
  });
}

void pool_scheduler::ExcuseMassFailure(const worker_crash& crash) {
  std::vector<worker_crash*> group;
  bool is_known = false;
  for (worker_crash& each : recent_crashes_) {
    if (Distance(each.at, crash.at) > kSameTime) continue;
    group.push_back(&each);
    is_known = is_known || each.is_excused;
  }
  if (!is_known) {
    if (!IsMassFailure(group)) return;
    Log(graph_events::kMassFailure,
        {Field("worker", crash.worker), Field("rack", crash.rack),
         Field("workers", group.size())});
  }
  for (worker_crash* each : group) Excuse(*each);
}

void pool_scheduler::CountForJobs(const worker_crash& crash, int change) {
  for (const std::string& id : crash.jobs) {
    graph_job* job = FindJob(id);
    if (job == nullptr) continue;
    job->crashes = std::max(0, job->crashes + change);
    if (change > 0) job->last_crash_at = crash.known_at;
  }
  std::set<step_state*> steps;
  for (const crashed_run& run : crash.blamed) {
    graph_job* job = FindJob(run.task.job_id);
    if (job != nullptr && HasTask(*job, run.task)) {
      steps.insert(&StepOf(*job, run.task));
    }
  }
  for (step_state* step : steps) {
    if (change > 0) {
      ++step->crashes;
    } else if (step->crashes > 0) {
      --step->crashes;
    }
  }
}

void pool_scheduler::Excuse(worker_crash& crash) {
  if (std::exchange(crash.is_excused, true)) return;
  CountForJobs(crash, -1);
  for (const crashed_run& run : crash.blamed) {
    graph_job* job = FindJob(run.task.job_id);
    if (job == nullptr || IsFinal(job->progress.state)) continue;
    if (std::erase(BlamedRuns(*job, run.task), run.number) == 0) continue;
    ExcusedRuns(*job, run.task).push_back(run.number);
    MarkDirty(*job);
    // With too few crashes left the task waits for a new placement.
    std::erase_if(verdicts_, [&](const pending_verdict& verdict) {
      return verdict.task == run.task && verdict.run == run.number &&
             BlamedRuns(*job, run.task).size() +
                     ExcusedRuns(*job, run.task).size() <
                 kAnyCrashesToGiveUp;
    });
  }
}

void pool_scheduler::ExcuseSurvivor(std::string_view id) {
  const auto crash =
      std::find_if(recent_crashes_.rbegin(), recent_crashes_.rend(),
                   [&](const worker_crash& each) { return each.worker == id; });
  if (crash != recent_crashes_.rend()) Excuse(*crash);
}

void pool_scheduler::GiveUp(graph_job& job, const task_key& task,
                            std::uint64_t run, std::string_view worker,
                            time_point now) {
  ++tasks_given_up_;
  Log(graph_events::kTaskGivenUp,
      {Field("task", FormatTask(task)), Field("run", run),
       Field("worker", worker), Field("crashes", BlamedRuns(job, task).size()),
       Field("excused", ExcusedRuns(job, task).size())});
  FinishJob(job, job_state::kFailed, now);
}

void pool_scheduler::ReviewCrashes(time_point now) {
  std::vector<pending_verdict> pending;
  for (pending_verdict& verdict : std::exchange(verdicts_, {})) {
    graph_job* job = FindJob(verdict.task.job_id);
    if (job == nullptr || IsFinal(job->progress.state)) continue;
    if (verdict.due_at <= now) {
      GiveUp(*job, verdict.task, verdict.run, verdict.worker, now);
      continue;
    }
    next_decision_at_ = std::min(next_decision_at_, verdict.due_at);
    pending.push_back(std::move(verdict));
  }
  verdicts_ = std::move(pending);
  const auto jobs = crashed_jobs_;
  for (graph_job* job : jobs) {
    ClearSurvivors(*job, now);
    ReviewSteps(*job, now);
    UpdateHold(*job, now);
  }
  std::erase_if(workers_, [&](const auto& row) {
    const worker_state& worker = row.second;
    return !worker.is_listed && worker.runs.empty() &&
           !worker.expired_runs.empty() &&
           worker.leases_expired_at + kExpiredRunsMemory <= now &&
           !unverified_workers_.contains(row.first);
  });
}

bool pool_scheduler::HasSurvived(graph_job& job, const task_key& task,
                                 time_point now) {
  const graph_task& state = StepOf(job, task).tasks[task.index];
  const worker_state* worker = FindWorker(state.worker);
  if (worker == nullptr || !IsPlacedOn(state, *worker)) return false;
  const auto run = worker->runs.find(task);
  if (run == worker->runs.end() || run->second.phase != run_phase::kRunning) {
    return false;
  }
  const time_point survived_at = run->second.confirmed_at + kSurvivalTime;
  // The contact shows that the worker is still there.
  if (worker->last_contact_at >= survived_at) return true;
  if (survived_at > now) {
    next_decision_at_ = std::min<time_point>(next_decision_at_, survived_at);
  }
  return false;
}

void pool_scheduler::ClearSurvivors(graph_job& job, time_point now) {
  const auto tasks = job.crashed_tasks;
  for (const task_key& key : tasks) {
    const step_state& step = StepOf(job, key);
    if (step.tasks[key.index].phase == task_phase::kDone) {
      job.crashed_tasks.erase(key);
      continue;
    }
    task_key task = key;
    const bool is_gang = SpecOf(job, key).is_gang;
    const std::uint32_t last =
        is_gang ? static_cast<std::uint32_t>(step.tasks.size()) : key.index + 1;
    bool has_survived = true;
    for (; task.index < last && has_survived; ++task.index) {
      has_survived = HasSurvived(job, task, now);
    }
    if (!has_survived) continue;
    Log(graph_events::kTaskCleared,
        {Field("task", FormatTask(key)),
         Field("crashes", BlamedRuns(job, key).size()),
         Field("excused", ExcusedRuns(job, key).size())});
    for (task.index = key.index; task.index < last; ++task.index) {
      EndIsolation(task);
    }
    job.crashes = 0;
    BlamedRuns(job, key).clear();
    ExcusedRuns(job, key).clear();
    job.crashed_tasks.erase(key);
    const bool has_others = std::any_of(
        job.crashed_tasks.begin(), job.crashed_tasks.end(),
        [&](const task_key& each) { return &StepOf(job, each) == &step; });
    if (!has_others) StepOf(job, key).crashes = 0;
    MarkDirty(job);
  }
  if (job.crashed_tasks.empty()) crashed_jobs_.erase(&job);
}

}  // namespace apricotwheel

#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "graph/admission.h"
#include "graph/completion_value.h"
#include "graph/fair_share.h"
#include "graph/organisation.h"
#include "graph/organisation_use.h"
#include "graph/pool_model.h"
#include "graph/queue_order.h"
#include "graph/scheduler_audit.h"
#include "graph/worker_speed.h"
#include "kernel/clock.h"
#include "kernel/error.h"
#include "kernel/log.h"

namespace apricotwheel {

// An order to start a run of a task.
struct start_order {
  std::string worker;
  task_key task;
  std::uint64_t run = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  // In the result of the order: a copy of it got no response and may still be
  // executed.
  bool has_lost_copies = false;
};

struct stop_order {
  std::string worker;
  task_key task;
  std::uint64_t run = 0;
};

// An order to set the speed of a run.
struct throttle_order {
  std::string worker;
  task_key task;
  std::uint64_t run = 0;
  int percent = 100;  // Of full speed.
};

// A call to the policy advisor about the workers for one step.
struct approval_request {
  std::string job_id;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::vector<pool_worker> workers;
  int priority = 0;
  duration expected_duration{};  // Of the call.
  time_point wanted_since{};     // When the step first wanted the call.
};

// How many calls for approval can be sent now. More would only wait, while
// their steps start or end and their workers fill up.
struct approval_capacity {
  std::size_t calls = std::numeric_limits<std::size_t>::max();
  // Of these, calls that are longer than `max_short_call`.
  std::size_t long_calls = std::numeric_limits<std::size_t>::max();
  duration max_short_call{};
};

// Actions that the pool's owner must carry out, in this order.
struct pool_decisions {
  std::vector<stop_order> stops;
  std::vector<throttle_order> throttles;
  std::vector<start_order> starts;
  std::vector<approval_request> approvals;
};

// Position in the sequence of ends that an agent lists.
struct end_position {
  std::int64_t incarnation = 0;
  std::uint64_t sequence = 0;
};

// Progress to store, and the ends that may be acknowledged to the workers once
// it is stored.
struct progress_batch {
  struct entry {
    std::string job_id;
    job_progress progress;
  };
  std::vector<entry> jobs;
  // Jobs whose records must be deleted.
  struct deletion {
    std::string job_id;
    bool is_guest = false;  // See `job_progress`.
  };
  std::vector<deletion> jobs_to_delete;
  std::map<std::string, end_position> ends_by_worker;
};

struct pool_scheduler_options {
  // Run numbers of this owner are above this one. It must be above all numbers
  // of earlier owners, whose last ones are not stored.
  std::uint64_t run_number_base = 0;
  // Until this time, runs of an earlier owner on unreachable workers may still
  // hold their leases.
  time_point earlier_leases_expire_at{};
  // Finished jobs are kept in memory for this time.
  duration retention = std::chrono::minutes(5);
  // Workers that may have runs of an earlier owner.
  std::set<std::string> earlier_workers;
  // If false, workers are chosen as if all were equally fast.
  bool uses_worker_speeds = true;
  // How many times as long tasks take away from their data. If it is at most 1,
  // no step waits for a place near its data.
  double remote_slowdown = 1;
  // Jobs of organisations start only within their limits, and not before the
  // organisations are known.
  bool enforces_limits = false;
  log_sink log;
};

// Tasks that another partition runs.
struct task_loan {
  std::string partition;
  job_submission job;  // Its `guest` names the tasks.
};

// A job of another partition that has tasks here.
struct guest_job {
  std::string id;
  std::string home;  // The partition of the job.
};

// Waits of steps for better places.
struct place_wait_counts {
  std::uint64_t begun = 0;
  std::uint64_t paid = 0;           // Tasks that got a better place.
  std::uint64_t expired = 0;        // Waits given up at their bounds,
  std::uint64_t without_place = 0;  // and because no better place is left.
};

// The measured workers of a pool by their speed.
struct speed_counts {
  std::size_t slow = 0;   // Significantly slower than usual.
  std::size_t usual = 0;  // Not significantly different.
  std::size_t fast = 0;
};

// What has happened to runs since the scheduler was made.
struct run_counts {
  std::uint64_t adopted = 0;
  // Ends other than done of runs that their tasks were not placed under.
  std::uint64_t stale_ends = 0;
  std::uint64_t contradictions = 0;  // Reports with any.
  // Runs that were stopped on draining workers to start elsewhere.
  std::uint64_t moved = 0;
};

// Schedules the tasks of one pool: chooses the worker of each task and the runs
// to stop. It does no input or output and has no thread or clock: the owner of
// the pool passes events and the time to it and carries out its decisions. Not
// thread-safe.
class pool_scheduler {
 public:
  explicit pool_scheduler(pool_scheduler_options options);

  // Sets the organisations of the newest configuration.
  void SetOrganisations(organisation_table organisations);
  // Sets the portion that this partition has of the organisation's limit.
  // Without one, nothing of a limited organisation starts.
  void SetPortion(const std::string& organisation,
                  const limit_portion& portion);
  // Returns what each limited organisation has running, and what it wanted in
  // the last pass.
  std::map<std::string, organisation_state> OrganisationStates(
      time_point now) const;
  // Returns the resources of all listed workers together.
  resource_amounts Capacity() const;
  // Returns why the job can never start under the limit of its organisation, or
  // nothing if it can.
  std::optional<std::string> FindWiderGang(const job_submission& job) const;
  // Adds a worker that discovery lists, or updates it.
  void SetWorker(const pool_worker& worker, time_point now);
  // Discovery no longer lists the worker. It is kept while it may have runs.
  void RemoveWorker(std::string_view id);

  // Adds a new job. Does nothing if the job is already known.
  void AdmitJob(job_submission job, time_point submitted_at);
  // Adds a job of an earlier owner with its stored progress.
  void RestoreJob(job_submission job, job_progress progress,
                  time_point submitted_at);
  // Returns false if the job is unknown. A finished job keeps its state.
  bool CancelJob(std::string_view job_id, time_point now);
  std::optional<job_state> FindJobState(std::string_view job_id) const;
  // Returns the state to show to callers: a final state only once it is stored.
  std::optional<job_state> FindStoredJobState(std::string_view job_id) const;
  // Returns the organisation of a known job, empty if it names none.
  std::optional<std::string> FindOrganisation(std::string_view job_id) const;
  // Returns the queue of a known job, empty if it was loaded when finished.
  std::optional<std::string> FindQueueOf(std::string_view job_id) const;
  // Returns true if the final state of a job is not stored yet.
  bool HasUnstoredResults() const { return unstored_results_ > 0; }
  // Counts the accepted jobs of a queue of which no task has started.
  std::size_t CountPendingJobs(std::string_view queue) const;

  // Returns the estimate for a new job that would complete only after its
  // result is worth nothing, or nothing if the job can be accepted. Jobs with
  // lasting tasks and scheduled jobs always can.
  std::optional<admission_estimate> FindOverload(const job_submission& job,
                                                 time_point now);
  // Returns the waiting work of a queue.
  queue_load LoadOfQueue(std::string_view queue) const;

  // Returns the load of the workers, for the comparison with other partitions.
  pool_load MeasureLoad() const;
  // Holds jobs that have not started, so that they can be moved to another
  // partition: work of about `pool_seconds`, at most `limit` jobs, and only
  // those that `may_move` accepts by their id. A held job does not start here.
  std::vector<job_submission> HoldJobs(
      double pool_seconds, std::size_t limit,
      const std::function<bool(std::string_view)>& may_move, time_point now);
  // Ends the hold of a job that was not moved.
  void ReleaseJob(std::string_view job_id);
  // Forgets a held job that was moved.
  void RemoveMovedJob(std::string_view job_id);

  // Marks lasting tasks that are kept apart, and for which the workers of this
  // partition are used up, as lent, evenly to `partitions`. Returns how many.
  // Other tasks wait for the end of those that are in their way.
  std::size_t LendTasks(std::span<const std::string> partitions,
                        time_point now);
  // Returns what other partitions have to run for this one. Tasks whose loan is
  // not stored are left out.
  std::vector<task_loan> Loans() const;
  // A task of the job has started in another partition.
  void OnLoanStarted(std::string_view job_id);
  // The tasks of the job have been given up in another partition.
  void OnLoanFailed(std::string_view job_id, time_point now);
  // Adds a job of which this partition runs some tasks, or tasks to such a job.
  // Returns false if the job is unknown and must be stored first.
  bool ExtendGuest(const job_submission& job);
  // Returns the partition of a job that has only tasks of another one here, or
  // an empty text.
  std::string_view GuestHome(std::string_view job_id) const;
  std::vector<guest_job> GuestJobs() const;

  // Applies a worker's report. `sent_at` is the time at which the poll was
  // sent.
  void ApplyReport(std::string_view worker, const worker_report& report,
                   time_point sent_at, time_point now);
  // All leases of the worker have expired or its agent has exited, so that no
  // run that was ordered before can still exist there. An exit counts as a
  // crash unless the worker drains. If `may_start_late`, runs are kept of which
  // a later agent may still execute the start, until another call.
  void ExpireWorkerLeases(std::string_view worker, bool has_exited,
                          time_point now, bool may_start_late = false);
  // Handles the result of a start order.
  void OnStartResult(const start_order& order, start_result result,
                     time_point now);
  // Handles the result of a stop order. `is_confirmed` is false if the worker
  // did not confirm it.
  void OnStopResult(const stop_order& order, bool is_confirmed, time_point now);
  // Handles the result of an approval call that was sent at `sent_at`.
  // `has_response` is false if the call failed.
  void OnApprovalResult(const approval_request& request,
                        std::span<const approved_worker> approved,
                        bool has_response, time_point sent_at, time_point now);

  // See `pool_scheduler_options::earlier_leases_expire_at`.
  void SetEarlierLeasesExpiry(time_point expiry) {
    options_.earlier_leases_expire_at = expiry;
  }

  // Runs one scheduling pass.
  pool_decisions Decide(time_point now, std::int64_t wall_clock_ms,
                        const approval_capacity& capacity = {});
  // Returns when the next pass is due if no event comes before.
  time_point NextDecisionAt(time_point now) const;

  // Returns the progress that has changed since the last batch.
  progress_batch TakeProgress();
  bool HasUnstoredProgress() const {
    return !dirty_jobs_.empty() || has_unstored_ends_ ||
           !jobs_to_delete_.empty();
  }
  void OnProgressStored(const progress_batch& batch);
  // The batch could not be stored; its content goes into the next one.
  void OnProgressNotStored(const progress_batch& batch);
  // Returns the last end of the worker that may be acknowledged.
  std::uint64_t LastStoredEnd(std::string_view worker) const;
  // Returns the incarnation of the agent that has these ends.
  std::int64_t IncarnationOf(std::string_view worker) const;
  // Returns true if ends of the worker cannot be acknowledged yet.
  bool HasUnstoredEnds(std::string_view worker) const;

  // Returns how many workers were examined for waiting steps in all passes.
  std::uint64_t WorkersExamined() const { return workers_examined_; }
  // Counts the ready steps with waiting tasks in the last pass.
  std::size_t CountWaitingSteps() const { return waiting_step_count_; }
  // Returns about the memory that all jobs take.
  std::size_t JobMemoryBytes() const { return job_memory_bytes_; }
  // Counts the jobs that are not finished.
  std::size_t CountOpenJobs() const { return open_jobs_.size(); }
  // Counts the starts without a result.
  std::size_t CountUnansweredStarts() const {
    return unanswered_starts_.size();
  }
  // Counts the steps whose calls for approval did not fit into the capacity of
  // the last pass.
  std::size_t CountDelayedApprovals() const { return wanted_approvals_.size(); }
  // Returns how many workers have crashed while they had runs.
  std::uint64_t WorkersCrashed() const { return workers_crashed_; }
  // Counts the workers that run a suspect alone or are kept for one.
  std::size_t CountSuspectWorkers(time_point now) const;
  // Returns how many tasks were given up because workers crashed under them.
  std::uint64_t TasksGivenUp() const { return tasks_given_up_; }
  const run_counts& RunCounts() const { return run_counts_; }
  // Counts the workers by estimated speed in the last pass.
  const speed_counts& SpeedCounts() const { return speed_counts_; }
  const place_wait_counts& PlaceWaitCounts() const { return wait_counts_; }
  // Returns true if the worker may have unknown runs of an earlier owner.
  bool IsUnverified(std::string_view worker) const {
    return unverified_workers_.contains(worker);
  }
  // Counts the known runs on a worker.
  std::size_t CountRuns(std::string_view worker) const;
  // Returns true if a run that is to be stopped there has not been settled for
  // so long that the worker's leases must not be renewed.
  bool MustWithholdLeases(std::string_view worker, time_point now) const;
  // Returns true if runs of this owner or of an earlier one may exist there.
  bool MayHaveRuns(std::string_view worker, time_point now) const;
  // Returns true once every run of an earlier owner is known or has expired.
  bool IsTakeoverComplete(time_point now) const;
  // Looks for contradictions in the state. The cost grows with the number of
  // open tasks and runs.
  scheduler_audit Audit() const;

 private:
  // A step with tasks that wait to be placed.
  struct candidate {
    graph_job* job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    placement_rank rank;
    // The least amounts that this step and the steps after it need.
    resource_vector least_need;
    // Suspects that may be placed like other tasks, and whether only on empty
    // workers.
    std::uint32_t suspects_allowed = 0;
    bool needs_empty_workers = false;
    bool is_held_back = false;  // Its tasks that are no suspects.
  };
  // A step that waits for approvals, and workers to name in the call; if there
  // are none, they are chosen when the call is made.
  struct wanted_approval {
    candidate waiting;
    std::vector<pool_worker> workers;
  };
  // A reservation of the last pass that its step may renew.
  struct earlier_reservation {
    worker_state* worker = nullptr;
    resource_vector amount;
    duration time_left{};  // In the last pass, until `reserved_from`.
    const step_state* step = nullptr;
  };
  // A worker that a step may reserve.
  struct reservable_worker {
    worker_state* worker = nullptr;
    resource_vector next_amount;  // If one more task is added.
    time_point free_at{};         // When `next_amount` is expected to be free.
    bool was_reserved = false;    // By the step, in the last pass.
  };
  // Decisions of the advisor on workers for steps of a queue.
  struct decision_count {
    double decided = 0;
    double approved = 0;
  };
  // The use that a queue makes of the starts for steps that are held back.
  struct share_use {
    time_point last_start_at{};  // Of any task of the queue.
    // The step chosen last. The pointer is only compared.
    const graph_job* job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    bool takes_last = false;  // For the next choice.
  };
  // The worker chosen for one task of a step.
  struct placement {
    std::uint32_t index = 0;
    worker_state* worker = nullptr;
  };

  graph_job* FindJob(std::string_view id);
  graph_job& AddJob(job_submission job, job_progress progress,
                    time_point submitted_at);
  worker_state* FindWorker(std::string_view id);
  step_state& StepOf(graph_job& job, const task_key& task);
  static step_state& StateOf(const candidate& waiting);
  static bool IsService(const candidate& waiting);
  const graph_step& SpecOf(const graph_job& job, const task_key& task) const;
  void MarkDirty(graph_job& job);
  void FinishJob(graph_job& job, job_state state, time_point now);
  // Deletes a job that has no runs. `jobs_` owns the jobs; all other references
  // to one end here.
  void ForgetJob(graph_job& job);
  // Removes finished jobs after the retention time.
  void DeleteFinishedJobs(time_point now);
  // Releases the graphs and task states of finished jobs without runs. Their
  // final states are kept.
  void ReleaseFinishedGraphs(time_point now);
  void Log(const log_event_kind& kind, std::vector<log_field> fields) const;

  // In pool_audit.cc.
  void AuditStep(const graph_job& job, const task_key& first,
                 scheduler_audit& audit) const;

  // In pool_runs.cc: reports of workers and results of orders.
  void AdoptRun(worker_state& worker, const reported_run& run, time_point now);
  void ApplyEnd(worker_state& worker, const reported_end& end, time_point now);
  void ReleaseMissing(worker_state& worker, const worker_report& report,
                      time_point sent_at, time_point now);
  void ReleaseRun(worker_state& worker, const task_key& task);
  // A task of the job runs.
  void MarkStarted(graph_job& job);
  // Returns true if the run time says something about the worker's speed.
  bool IsComparable(const task_run& run) const;
  // Notes the run time of a run that ended with a result.
  void AddRunTime(const worker_state& worker, const task_run& run,
                  time_point now);
  // Compares the run times of a step that is complete or has many.
  void CompareRunTimes(graph_job& job, const task_key& task);
  void CompareGroup(run_time_group& group, run_time_ratio* ratio,
                    duration estimate);
  // Removes a run that has ended and updates its task.
  void EndRun(worker_state& worker, const task_key& task, run_outcome outcome,
              std::string_view checkpoint, time_point now);
  void CompleteTask(graph_job& job, const task_key& task, time_point now);
  void OnTaskEnded(graph_job& job, const task_key& task, std::uint64_t run,
                   run_outcome outcome, time_point now);
  void OnGangMemberEnded(graph_job& job, const task_key& task,
                         std::uint64_t run, run_outcome outcome,
                         time_point now);
  void CountFailure(graph_job& job, const task_key& task, std::uint64_t run,
                    time_point now);
  // Lets a placed task wait for a new placement.
  void RequeueTask(step_state& step, graph_task& task);
  void StopRun(task_run& run, time_point now);
  // Stops the runs of all placed tasks of the step of `member`.
  void StopStep(graph_job& job, const task_key& member, time_point now);
  void StopJob(graph_job& job, time_point now);
  void LogRestart(const worker_state& worker, const worker_report& report,
                  time_point sent_at) const;
  // Returns true if the agent that has made the report, which was requested at
  // `sent_at`, or a later one may have the run, although an earlier agent was
  // to start it.
  static bool MayBeOfNextAgent(const task_run& run, time_point sent_at,
                               time_point now);
  void KeepForNextAgent(task_run& run, time_point now);
  // Stops a run that may still begin, and the other members of its gang.
  void StopLateStart(task_run& run, time_point now);
  // Ends the runs that an earlier agent of the worker had than that of the
  // report.
  void ResetWorker(worker_state& worker, const worker_report& report,
                   time_point sent_at, time_point now);
  // Counts consecutive failures on the worker.
  void RecordOutcome(worker_state& worker, run_outcome outcome, time_point now);

  // In pool_crashes.cc: crashes of workers and the tasks that may cause them.

  // A run that was on a worker when it crashed.
  struct crashed_run {
    task_key task;
    std::uint64_t number = 0;
    bool is_evidence = false;  // The crash counts against the task.
    bool is_alone = false;
  };
  // A crash of a worker that had runs.
  struct worker_crash {
    time_point at{};  // Last contact before the crash.
    time_point known_at{};
    std::string worker;
    std::string rack;
    std::set<std::string> jobs;  // That had runs there.
    bool had_suspect = false;
    bool is_excused = false;
    std::vector<crashed_run> blamed;
  };
  // A task that is given up unless its last crash is excused until then.
  struct pending_verdict {
    time_point due_at{};
    task_key task;
    std::uint64_t run = 0;
    std::string worker;
  };
  // Counts the crash for the runs that were on the worker. `report` is that of
  // the next incarnation, requested at `sent_at`, if it showed the crash: a
  // start that was ordered before may have reached that one.
  void OnWorkerCrashed(worker_state& worker, const worker_report* report,
                       time_point sent_at, time_point now);
  // Returns true if a crash of the worker counts against the task of the run.
  static bool IsEvidence(const worker_state& worker, const task_run& run);
  // Returns false if the crash is counted already or does not matter any more.
  bool CountCrash(worker_crash& crash, const crashed_run& run, time_point now);
  // Excuses the crashes around `crash` if they are a mass failure.
  void ExcuseMassFailure(const worker_crash& crash);
  bool IsMassFailure(std::span<worker_crash* const> group) const;
  void Excuse(worker_crash& crash);
  // Excuses the last crash of a worker that turns out not to have crashed.
  void ExcuseSurvivor(std::string_view id);
  // Changes the number of crashes of the jobs that had runs there, and of the
  // steps whose tasks are blamed.
  void CountForJobs(const worker_crash& crash, int change);
  // Gives tasks up whose verdict is due, and clears tasks that have run for a
  // while without a crash.
  void ReviewCrashes(time_point now);
  // Fills `crashed_tasks` from the stored progress of a job.
  void FindCrashedTasks(graph_job& job);
  void ClearSurvivors(graph_job& job, time_point now);
  // Returns true if all runs of the task, or of its gang, have run for a while.
  bool HasSurvived(graph_job& job, const task_key& task, time_point now);
  void GiveUp(graph_job& job, const task_key& task, std::uint64_t run,
              std::string_view worker, time_point now);
  // The key under which crashes of the task are counted.
  task_key CrashKey(const graph_job& job, const task_key& task) const;
  // `key` is a result of `CrashKey`.
  std::vector<std::uint64_t>& BlamedRuns(graph_job& job, const task_key& key);
  std::vector<std::uint64_t>& ExcusedRuns(graph_job& job, const task_key& key);
  // Returns true if the task may crash the workers that start it.
  bool IsSuspect(graph_job& job, const task_key& task);
  // Returns true if crashes on several workers are counted against the task.
  bool IsStrongSuspect(graph_job& job, const task_key& task);
  // Updates `is_proven` of the steps with crashed tasks.
  void ReviewSteps(graph_job& job, time_point now);
  // Returns true if the task may be given up soon and must not start.
  bool HasVerdictPending(const graph_job& job, const task_key& task) const;

  // In pool_suspects.cc: the placement of suspects.

  // A worker that is, or will be, empty for a suspect.
  struct suspect_worker {
    worker_state* worker = nullptr;
    time_point empty_at{};
    bool has_ticket = false;
  };
  struct suspect_placement {
    std::uint32_t waiting = 0;  // Suspects of the step that still wait.
    // Of these, how many may be placed like other tasks, and whether only on
    // workers that are empty.
    std::uint32_t allowed = 0;
    bool needs_empty_workers = false;
    bool wants_approval = false;
  };
  // Starts a suspect of the step on an empty worker, or keeps one for it.
  suspect_placement PlaceSuspects(const candidate& waiting, time_point now,
                                  pool_decisions& decisions);
  // Returns the indices of the suspects of the step that wait.
  std::vector<std::uint32_t> WaitingSuspects(const candidate& waiting);
  // Returns those that may start, strong suspects first; of a gang, all or
  // none.
  std::vector<std::uint32_t> StartableSuspects(const candidate& waiting);
  // Ends the keeping of workers for suspects of the job.
  void ReleaseKeptWorkers(graph_job& job, time_point now);
  // Closes the worker, on which a suspect is the only run, to other tasks if
  // suspects may have one more worker to themselves.
  void IsolateLoneSuspect(worker_state& worker, time_point now);
  // Returns true if a suspect of the job is placed or may be given up soon.
  bool HasPlacedSuspect(graph_job& job);
  // Returns true if only suspects of the job should start.
  bool HoldsBackTasks(graph_job& job);
  // Notes since when tasks of the job are held back.
  void UpdateHold(graph_job& job, time_point now);
  // Returns true if tasks of the step that are no suspects must not start yet.
  bool IsHeldBack(const candidate& waiting, time_point now);
  std::optional<time_point> EstimateEmptyAt(const candidate& waiting,
                                            const worker_state& worker,
                                            time_point now) const;
  // Returns the workers that are empty first, and not after `latest`, with room
  // for one task of the step, or for all of a gang; none if there are too few.
  std::vector<suspect_worker> FindSuspectWorkers(const candidate& waiting,
                                                 time_point latest,
                                                 time_point now);
  bool StartSuspect(const candidate& waiting,
                    std::span<const std::uint32_t> indices,
                    std::span<const suspect_worker> workers, time_point now,
                    pool_decisions& decisions);
  // Returns the workers for which tickets must be requested now.
  std::vector<pool_worker> KeepForSuspect(
      const candidate& waiting, std::span<const suspect_worker> workers,
      time_point now);
  // The task may share its worker again.
  void EndIsolation(const task_key& task);

  // In pool_suspect_turns.cc: which suspects are judged next. `indices` are
  // results of `StartableSuspects`.

  // Chooses the steps whose suspects have a turn: a worker may be emptied for
  // one of them.
  void GrantTurns(std::span<const candidate> waiting, time_point now);
  void ReviewRoomForSuspects();
  // Returns how many workers all suspects together may have to themselves.
  std::size_t MaxSuspectWorkers() const;
  bool HasStrongSuspect(const candidate& waiting,
                        std::span<const std::uint32_t> indices);
  // Returns true if `suspects` are all tasks of the step that have started.
  bool HasCrashedAsWhole(const candidate& waiting, std::size_t suspects);
  // Returns true if the suspects of the step start beside other tasks at once:
  // there is evidence for them, and they could not be judged in time.
  bool MaySkipTurn(const candidate& waiting,
                   std::span<const std::uint32_t> indices);
  // Returns when a suspect of the step starts beside other tasks although a
  // worker could be emptied for it.
  time_point EndOfWait(const candidate& waiting,
                       std::span<const std::uint32_t> indices);
  // Returns the empty workers for which the step needs tickets.
  std::vector<pool_worker> EmptyWorkersToName(const candidate& waiting,
                                              time_point now) const;

  // In pool_speeds.cc: the use of the workers' speeds.

  // How well workers suit a step by their speed class; less is better.
  struct speed_preference {
    // The loss in tenths of the result's value.
    std::array<int, 2 * kMaxSpeedClass + 1> loss{};
    bool spares_fast_workers = false;

    static std::size_t IndexOf(int speed_class) {
      const int index = speed_class + kMaxSpeedClass;
      return static_cast<std::size_t>(index);
    }
    int LossOn(int speed_class) const { return loss[IndexOf(speed_class)]; }
  };
  // Counts the workers by speed and decides whether the pool is uneven.
  void CountSpeeds();
  // Returns 0 for all workers of an even pool.
  int SpeedClass(const worker_state& worker) const {
    return is_uneven_ ? SpeedClassOf(worker.speed, pool_speed_) : 0;
  }
  // Returns what is left of the bounds of the job's completion.
  static completion_bounds BoundsOf(const graph_job& job, time_point now);
  const run_time_ratio& RatioOf(const graph_job& job) const;
  // Returns the work of the step's job from its waiting tasks on.
  remaining_work WorkOf(const candidate& waiting) const;
  // Returns the value of the step's job if its tasks start now with this
  // slowdown.
  double ValueAt(const candidate& waiting, double slowdown,
                 time_point now) const;
  speed_preference PreferenceOf(const candidate& waiting, time_point now) const;

  // In pool_places.cc: waits for better places.

  // Returns how many times as long the step's tasks take on the worker.
  double SlowdownOn(const graph_step& spec, const worker_state& worker) const;
  std::optional<duration> TimeUntilBetter(const candidate& waiting,
                                          double slowdown, std::size_t count,
                                          time_point now);
  // Returns true if the step should rather wait than start on the worker, which
  // is the best one with room.
  bool WaitsForPlace(const candidate& waiting, const worker_state& worker,
                     time_point now);

  // In pool_placement.cc: the choice of workers.

  // Returns the ready steps with waiting tasks in the order of placement.
  std::vector<candidate> WaitingSteps(time_point now,
                                      std::int64_t wall_clock_ms);
  bool IsReady(const graph_job& job, std::uint32_t occurrence,
               std::uint32_t step, std::int64_t wall_clock_ms) const;
  // Returns true if no start may be ordered now and the step can wait for its
  // examination until one may.
  bool IsHeldUpByStartLimit(const candidate& waiting, time_point now);
  // Starts the tasks of a step for which there is room, and reserves workers
  // and requests approvals for the others.
  void PlaceStep(candidate waiting, time_point now, pool_decisions& decisions);
  // Chooses workers with valid tickets for at most `limit` waiting tasks of a
  // step; for a gang, for all tasks or none.
  std::vector<placement> ChooseWorkers(const candidate& waiting, time_point now,
                                       std::size_t limit);
  // Returns true if a worker may still have a run of the waiting task, which is
  // being stopped. Its end changes that worker and leads to a pass.
  bool HasEarlierRun(const graph_task& task, const task_key& key) const;
  // Returns the best of the allowed workers for one more task of the step,
  // which may be a suspect, or null if none has room beside the tasks in
  // `chosen`.
  worker_state* BestWorker(const candidate& waiting,
                           const std::vector<worker_state*>& allowed,
                           std::span<const placement> chosen,
                           const speed_preference& speeds, bool is_suspect,
                           time_point now) const;
  // Sets `least_need` of all steps, by their final order.
  static void SetLeastNeeds(std::vector<candidate>& waiting);
  // Fills `workers_with_room_` and `changed_workers_` for a pass.
  void FindWorkersWithRoom(const std::vector<candidate>& waiting,
                           time_point now);
  // Removes the workers without room for `need` from `changed_workers_`.
  void DropFullWorkers(const resource_vector& need);
  // Clears the marks of the workers that this pass has dealt with.
  void ClearChanges(time_point now);
  // Returns the workers of `examined` on which tasks of the step may start now.
  std::vector<worker_state*> FindAllowedWorkers(
      const candidate& waiting, std::span<worker_state* const> examined,
      time_point now, bool valid_only);
  // Returns the resources that are free for a task with this estimate.
  static resource_vector FreeCapacityFor(const worker_state& worker,
                                         duration estimate, time_point now);
  // Returns true if the worker takes part in the placement of tasks.
  static bool AcceptsTasks(const worker_state& worker, time_point now);
  bool CanHost(const candidate& waiting, const worker_state& worker,
               time_point now) const;
  void StartTasks(const candidate& waiting, std::span<const placement> chosen,
                  time_point now, pool_decisions& decisions);
  void CollectStops(time_point now, pool_decisions& decisions);
  void CollectThrottles(pool_decisions& decisions);

  // Returns how many starts may be ordered now.
  std::size_t CountStartsAllowed(time_point now);

  // In pool_limits.cc: limits of organisations.

  // Returns the limit in force, or nothing if the organisation has none.
  std::optional<resource_amounts> LimitOf(
      const std::string& organisation) const;
  // Returns, by organisation, what runs of an earlier owner that are not known
  // yet may use at most.
  std::map<std::string, resource_amounts> BoundUnknownUse(time_point now) const;
  // Returns how many tasks of the step may start; of a gang, all or none.
  std::uint32_t CountTasksWithinLimit(const candidate& waiting) const;
  bool IsHeldByLimit(const candidate& waiting) const;
  // Returns true if a running task of the step may start again after a stop.
  bool MayStartAgainWithinLimit(const graph_job& job,
                                const graph_step& spec) const;
  void NoteDemand(const candidate& waiting, bool is_blocked);
  // Removes the steps that the limits hold up, so that they neither reserve
  // workers nor request approvals, and notes what they want.
  void RemoveLimitedSteps(std::vector<candidate>& waiting, time_point now);

  // In pool_waits.cc.

  // The workers as a waiting step sees them.
  struct wait_counts {
    std::size_t approved = 0;
    std::size_t refused = 0;
    std::size_t valid = 0;  // With a ticket that has not expired.
    std::size_t with_room = 0;
    // With room, but with `max_per_worker` tasks of the step.
    std::size_t at_limit = 0;
    // Of the workers with room:
    std::size_t kept = 0;  // For suspects.
    std::size_t avoided = 0;
    std::size_t reserved_for_others = 0;
    // Of the waiting tasks:
    std::size_t earlier_runs = 0;
    std::size_t verdicts = 0;  // Those that may be given up soon.
  };
  wait_counts CountWorkersFor(const candidate& waiting, time_point now) const;
  // Returns the first condition that keeps the step from starting.
  std::string_view FindWaitReason(const candidate& waiting,
                                  const wait_counts& counts, time_point now);
  // Logs why the steps that have waited longest do not start.
  void ReportLongWaits(time_point now, std::int64_t wall_clock_ms);
  // Logs the runs whose start or stop is not settled for long.
  void ReportUnsettledRuns(time_point now);
  void ReportContradictions();

  // In pool_admission.cc: the waiting work of the queues.

  // Counts the waiting work and measures the rates if that is due.
  void UpdateQueueLoads(time_point now, std::int64_t wall_clock_ms);
  void CountQueueLoads(time_point now, std::int64_t wall_clock_ms);
  void CountAdmittedJob(const graph_job& job);
  void CountStarts(const candidate& step, std::size_t count);

  // In pool_moves.cc: jobs that move to another partition.

  // Returns the work of a job that has not started, in pool-seconds, or nothing
  // if it cannot be moved.
  std::optional<double> MovableWork(const graph_job& job, time_point now) const;

  // In pool_departures.cc: tasks that leave draining workers.

  // A task whose run on a draining worker is stopped so that it starts
  // elsewhere. Its room there is kept.
  struct task_move {
    std::uint64_t run = 0;
    std::string source;
    std::string target;
    resource_vector need;
    time_point began_at{};
    bool is_room_released = false;  // While its step is placed.
  };
  // A run on a draining worker that should move.
  struct leaving_run {
    worker_state* worker = nullptr;
    task_run* run = nullptr;
  };
  // The moves of one step that a pass plans.
  struct step_moves {
    candidate moving;
    std::uint32_t away = 0;     // Tasks that are not at work.
    bool has_no_place = false;  // For one more task.
    std::uint32_t tickets_wanted = 0;
    std::vector<pool_worker> workers_to_name;  // In a call, before others.
  };
  // Runs that should move and do not yet, by reason.
  struct move_delays {
    std::size_t budget = 0;
    std::size_t no_place = 0;
    std::size_t approval = 0;  // A call is needed or in flight.
    std::size_t limit = 0;     // Of the stops in a pass or of the moves.
    // The organisation is above its portion, so that it might not start again.
    std::size_t organisation_limit = 0;
  };
  // Ends the moves that are over and keeps the room of the others.
  void ReviewMoves(time_point now);
  bool IsUnderWay(const task_key& task, const task_move& move);
  // Orders the stops for which a place is found, and notes the calls for
  // approval that others need.
  void PlanMoves(time_point now, pool_decisions& decisions);
  // Returns the runs to move, lasting tasks and early departures first.
  std::vector<leaving_run> FindLeavingRuns(time_point now);
  bool ShouldMove(const worker_state& worker, const task_run& run,
                  time_point now);
  candidate MovingStep(const task_key& task);
  // Counts the tasks of the step that are not at work, for any cause.
  std::uint32_t CountAwayTasks(const candidate& moving, time_point now);
  step_moves& PlanOf(const candidate& moving,
                     std::map<const step_state*, step_moves>& by_step,
                     time_point now);
  // Returns those of `targets` with a place for one more task of the step.
  std::vector<worker_state*> FindMoveTargets(
      const candidate& moving, std::span<worker_state* const> targets,
      time_point now, bool valid_only);
  void BeginMove(const leaving_run& leaving, worker_state& target,
                 time_point now);
  // Wants new tickets for moves whose tickets expire during the stop.
  void RenewTickets(std::map<const step_state*, step_moves>& by_step,
                    time_point now);
  void RequestMoveApprovals(
      const std::map<const step_state*, step_moves>& by_step,
      std::span<worker_state* const> targets, time_point now);
  // Adds the calls for moves to `wanted_approvals_`, behind restarts.
  void AddMoveApprovals();
  // Makes the room of the step's moves available to it while it is placed.
  void ReleaseRoomOfMoves(const candidate& waiting);
  void KeepRoomOfMoves(const candidate& waiting, time_point now);
  void ReportMoveDelays(std::size_t runs, const move_delays& delays,
                        time_point now);

  // In pool_lending.cc: tasks that other partitions run.

  // Returns true if a worker that could take a task of the step is not claimed,
  // or has no decision of the advisor.
  bool HasUndecidedWorkers(const candidate& waiting, time_point now) const;
  // Returns true if the step consists of lasting tasks that are kept apart, and
  // the workers here that may run them had no room for a while.
  bool IsStranded(const candidate& waiting, time_point now);
  // Numbers of lent tasks, by partition.
  using loan_counts = std::map<std::string, std::size_t>;
  // Lends the waiting tasks of a stranded step, and returns how many.
  std::size_t LendStep(const candidate& waiting,
                       std::span<const std::string> partitions,
                       loan_counts& in_all);
  // Returns the tasks that are lent according to the progress, by partition.
  static std::map<std::string, std::vector<task_key>> LentTasks(
      const std::string& job_id, const job_progress& progress);

  // In pool_shares.cc: the shares of organisations.

  // Orders the waiting steps, which are in the order that applies without
  // organisations, by the shares of these.
  void OrderByShares(std::vector<candidate>& waiting) const;
  // Adds to the waiting work of the job's organisation.
  void CountOrganisationLoad(queue_load& load, const job_submission& job,
                             const task_load& added) const;
  admission_estimate EstimateAdmissionOf(const queue_load& load,
                                         const job_submission& job,
                                         const new_job& terms,
                                         time_point now) const;

  // In pool_start_share.cc: the share of the starts for steps that the order
  // holds back.

  // Gives such steps a turn if the others have used up their share of the
  // starts, and moves them forward.
  void MoveHeldBackStepsForward(std::vector<candidate>& waiting,
                                time_point now);
  // Returns what a start of the step uses up, in seconds: of the starts that
  // the owner can order or of the pool's capacity, whichever is more.
  double StartCost(const candidate& step) const;
  void ChargeStartShare(const candidate& step, std::size_t count,
                        time_point now);
  // Removes the steps whose job is null, and inserts `moved` behind restarts
  // and overdue steps.
  static void InsertForward(std::vector<candidate>& waiting,
                            std::span<const candidate> moved);

  // In pool_overdue.cc: gangs and large steps that wait for long.

  // Moves the steps forward that need a reservation and that others have
  // overtaken for too long, the oldest first.
  void MoveOverdueStepsForward(std::vector<candidate>& waiting, time_point now);
  // Returns how many workers the step takes if it is placed first, or nothing
  // if it fits on none.
  std::optional<std::size_t> CountWorkersForOverdue(
      const candidate& waiting) const;

  // In pool_reservations.cc: reservations and approval calls for waiting steps.

  // Ends the reservations of the last pass. Marks the workers whose reservation
  // no step of this pass renews at the same place in the queue.
  void ResetReservations(const std::vector<candidate>& waiting);
  // Marks the workers of which the step reserves less than in the last pass.
  void MarkReleasedReservations(const step_state& step, time_point now);
  // Updates `expected_ends` of the worker if they are not of this pass.
  void EstimateEnds(worker_state& worker, time_point now) const;
  time_point EstimateFreeAt(worker_state& worker, const resource_vector& need,
                            time_point now) const;
  // Returns the workers without a reservation that can host the step.
  std::vector<reservable_worker> FindReservableWorkers(
      const candidate& waiting, const std::set<std::string>& last_reserved,
      time_point now);
  // Adds one more task to what would be reserved next on the worker.
  void AddToReservation(reservable_worker& target, const resource_vector& need,
                        time_point now) const;
  // Returns true if `left` is to be reserved rather than `right`.
  static bool IsReservedBefore(const reservable_worker& left,
                               const reservable_worker& right, time_point now);
  // Resources to reserve on each worker.
  using resources_by_worker = std::map<worker_state*, resource_vector>;
  std::optional<time_point> FindWorkersToReserve(
      const resource_vector& need, std::uint32_t count,
      std::span<reservable_worker> reservable, time_point now,
      resources_by_worker& room);
  // Returns the reserved workers for which tickets must be requested now.
  std::vector<pool_worker> ReserveWorkers(const candidate& waiting,
                                          time_point now);
  // Adds approved workers to a call for `named` workers of which the step needs
  // tickets by `start_at`.
  void NameAlternatives(const candidate& waiting, time_point start_at,
                        time_point now, std::vector<pool_worker>& named);
  bool IsLarge(const graph_step& spec) const;
  // Makes the calls for approval that fit into `capacity`.
  void RequestApprovals(time_point now, approval_capacity capacity,
                        pool_decisions& decisions);
  // Removes the steps from `wanted_approvals_` for which a call was of no use
  // in the last pass and still is.
  void RemoveUselessCalls(time_point now);
  // Returns workers that can host the step and have no decision for it, at most
  // as many as a call may name.
  std::vector<pool_worker> FindUndecidedWorkers(const candidate& waiting,
                                                time_point now) const;
  // Returns the workers to name in a call for a waiting step; none if a call is
  // of no use now.
  std::vector<pool_worker> ChooseWorkersToName(const candidate& waiting,
                                               time_point now);
  // Returns the expected share of workers that the advisor approves for a step.
  double ApprovedShare(const std::string& queue) const;

  pool_scheduler_options options_;
  fair_share shares_;
  std::optional<organisation_table> organisations_;  // Not known at first.
  std::map<std::string, limit_portion> portions_;    // By organisation.
  organisation_use organisation_use_;                // Of all runs.
  // Of the last pass, by organisation.
  std::map<std::string, limit_demand> demands_;
  std::map<std::string, resource_amounts> unknown_use_;
  std::map<std::string, std::unique_ptr<graph_job>, std::less<>> jobs_;
  std::map<std::string, worker_state, std::less<>> workers_;
  // Workers that may have unknown runs of an earlier owner.
  std::set<std::string, std::less<>> unverified_workers_;
  std::uint64_t job_count_ = 0;  // Jobs that were added so far.
  job_set open_jobs_;            // Jobs that are not finished.
  job_set dirty_jobs_;           // Jobs with progress that is not stored.
  // End times and ids of finished jobs, oldest first.
  std::deque<std::pair<time_point, std::string>> finished_jobs_;
  // Ids of finished jobs whose state is stored and whose graphs are still kept.
  std::vector<std::string> kept_graphs_;
  time_point next_graph_release_at_{};
  std::size_t job_memory_bytes_ = 0;
  std::vector<progress_batch::deletion> jobs_to_delete_;
  // Number of finished jobs whose state is not stored.
  std::size_t unstored_results_ = 0;
  // Ends were applied since the last batch.
  bool has_unstored_ends_ = false;
  std::size_t reservation_count_ = 0;  // Made in this pass.
  // Number of the pass. The first one is 2, because 0 in a step stands for none
  // and must not be the number of the pass before.
  std::uint64_t pass_ = 1;
  time_point last_pass_at_{};
  // Workers with room for at least one step of this pass.
  std::vector<worker_state*> workers_with_room_;
  // Of these, workers that have changed and have room for the steps that are
  // still to be placed.
  std::vector<worker_state*> changed_workers_;
  std::vector<earlier_reservation> earlier_reservations_;
  // Steps of this pass were not examined because of the start limit.
  bool has_skipped_steps_ = false;
  // When the starts without a result were ordered.
  std::multiset<time_point> unanswered_starts_;
  // Calls for approval that the steps want, in the order of placement.
  std::vector<wanted_approval> wanted_approvals_;
  std::uint64_t approval_calls_ = 0;
  std::map<task_key, task_move> moves_;
  std::vector<wanted_approval> move_approvals_;  // Of this pass.
  time_point next_move_plan_at_{};
  time_point move_delays_reported_at_{};
  std::map<std::string, decision_count> decisions_by_queue_;
  std::map<std::string, queue_load, std::less<>> queue_loads_;
  time_point loads_counted_at_{};
  time_point load_interval_began_at_{};
  resource_vector pool_capacity_;  // Of all listed workers together.
  // Cost of the starts in the order of the queue, less that of the starts which
  // steps that are held back had in return, weighted by the shares.
  double held_back_balance_ = 0;
  std::uint64_t held_back_turns_ = 0;
  std::map<std::string, share_use> share_uses_;  // By queue.
  std::uint64_t workers_examined_ = 0;
  std::deque<worker_crash> recent_crashes_;
  std::vector<pending_verdict> verdicts_;
  job_set crashed_jobs_;  // Open jobs with crashed tasks.
  // Workers that run a suspect or are kept for one.
  std::size_t suspect_workers_ = 0;
  // Steps whose suspects may have workers to themselves in this pass.
  std::set<const step_state*> suspect_turns_;
  // Empty workers for suspects without a turn that are left in this pass.
  std::size_t empty_workers_left_ = 0;
  bool is_mostly_free_ = false;
  // More suspects wait than can be judged in time.
  bool has_too_many_suspects_ = false;
  std::uint64_t workers_crashed_ = 0;
  std::uint64_t tasks_given_up_ = 0;
  run_counts run_counts_;
  place_wait_counts wait_counts_;
  // Of this pass: waiting tasks by the rack of their data, and the steps for
  // which a wait was examined.
  std::map<std::string, std::size_t> waiting_for_;
  std::size_t waits_examined_ = 0;
  pool_speed pool_speed_;
  bool has_new_speeds_ = false;  // Since the last pass.
  speed_counts speed_counts_;    // In the last pass.
  bool is_uneven_ = false;       // In the last pass.
  std::map<std::string, run_time_ratio, std::less<>>
      run_time_ratios_;                 // By queue.
  std::size_t waiting_step_count_ = 0;  // In the last pass.
  time_point long_waits_reported_at_{};
  resource_vector max_capacity_;  // Of all workers, resource by resource.
  time_point next_decision_at_ = time_point::max();
};

}  // namespace apricotwheel

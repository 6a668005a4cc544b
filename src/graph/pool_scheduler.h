#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "graph/pool_model.h"
#include "graph/queue_order.h"
#include "kernel/clock.h"
#include "kernel/error.h"
#include "kernel/log.h"

namespace apricotwheel {

struct start_order {
  std::string worker;
  task_key task;
  std::uint64_t run = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
};

struct stop_order {
  std::string worker;
  task_key task;
  std::uint64_t run = 0;
};

struct throttle_order {
  std::string worker;
  task_key task;
  std::uint64_t run = 0;
  int percent = 100;
};

struct approval_request {
  std::string job_id;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::vector<pool_worker> workers;
  int priority = 0;
  duration expected_duration{};  // Time that the advisor takes for the call.
};

// What is to be done now, in this order.
struct pool_decisions {
  std::vector<stop_order> stops;
  std::vector<throttle_order> throttles;
  std::vector<start_order> starts;
  std::vector<approval_request> approvals;
};

// An end that a worker's agent has listed.
struct end_position {
  std::int64_t incarnation = 0;
  std::uint64_t sequence = 0;
};

// Progress that is to be stored, and the ends that may be acknowledged to the
// workers once it is.
struct progress_batch {
  struct entry {
    std::string job_id;
    job_progress progress;
  };
  std::vector<entry> jobs;
  std::vector<std::string>
      jobs_to_delete;  // Jobs whose records are to be deleted.
  std::map<std::string, end_position> ends_by_worker;
};

struct pool_scheduler_options {
  // Run numbers of this owner are above this and above those of its
  // predecessors, whose last ones are not known.
  std::uint64_t run_number_base = 0;
  // Until then, runs of an earlier owner on workers that do not answer may
  // still hold their lease.
  time_point earlier_leases_expire_at{};
  // How long the state of a finished job is kept.
  duration retention = std::chrono::minutes(5);
  // Workers that an earlier owner may have used.
  std::set<std::string> earlier_workers;
  log_sink log;
};

// Decides on the tasks of one pool: who waits, where each task runs, what is
// stopped. It has no network, thread or clock; the owner of the pool feeds it
// events and carries out its decisions. Not thread-safe.
class pool_scheduler {
 public:
  explicit pool_scheduler(pool_scheduler_options options);

  // Discovery.
  void SetWorker(const pool_worker& worker, time_point now);
  void RemoveWorker(std::string_view id);

  // Jobs. A job of an earlier owner is admitted with its stored progress.
  void AdmitJob(job_submission job, time_point submitted_at);
  void RestoreJob(job_submission job, job_progress progress,
                  time_point submitted_at);
  // False if the job is not known. A final job stays as it is.
  bool CancelJob(std::string_view job_id, time_point now);
  std::optional<job_state> FindJobState(std::string_view job_id) const;
  // As callers may be told: a final state only once it is stored.
  std::optional<job_state> FindStoredJobState(std::string_view job_id) const;
  bool HasUnstoredResults() const { return unstored_results_ > 0; }
  // Accepted jobs of a queue of which no task has started.
  std::size_t CountPendingJobs(std::string_view queue) const;

  // Workers. `sent_at` is when the question was sent.
  void ApplyReport(std::string_view worker, const worker_report& report,
                   time_point sent_at, time_point now);
  // Nothing that was ordered before can run there any more.
  void ExpireWorkerLeases(std::string_view worker, time_point now);
  void OnStartResult(const start_order& order, start_result result,
                     time_point now);
  void OnStopResult(const stop_order& order, bool is_confirmed, time_point now);
  void OnApprovalResult(const approval_request& request,
                        std::span<const approved_worker> approved,
                        bool has_response, time_point sent_at, time_point now);

  pool_decisions Decide(time_point now, std::int64_t wall_clock_ms);
  // When `Decide` has something to do even if nothing happens.
  time_point NextDecisionAt(time_point now) const;

  progress_batch TakeProgress();
  bool HasUnstoredProgress() const {
    return !dirty_jobs_.empty() || has_unstored_ends_ ||
           !jobs_to_delete_.empty();
  }
  void OnProgressStored(const progress_batch& batch);
  // The batch could not be stored; its jobs are taken again.
  void OnProgressNotStored(const progress_batch& batch);
  std::uint64_t LastStoredEnd(std::string_view worker) const;
  bool HasUnstoredEnds(std::string_view worker) const;

  // How often a worker was looked at for a waiting step, so far.
  std::uint64_t WorkersExamined() const { return workers_examined_; }
  std::size_t CountRuns(std::string_view worker) const;
  // True if runs are known there, or an earlier owner's may be.
  bool MayHaveRuns(std::string_view worker, time_point now) const;
  // True if no run of an earlier owner can be unknown any more.
  bool IsTakeoverComplete(time_point now) const;

 private:
  struct candidate {
    graph_job* job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    waiting_step order;
  };
  struct placement {
    std::uint32_t index = 0;
    worker_state* worker = nullptr;
  };

  graph_job* FindJob(std::string_view id);
  graph_job& AddJob(job_submission job, job_progress progress,
                    time_point submitted_at);
  worker_state* FindWorker(std::string_view id);
  step_state& StepOf(graph_job& job, const task_key& task);
  const graph_step& SpecOf(const graph_job& job, const task_key& task) const;
  void MarkDirty(graph_job& job);
  void FinishJob(graph_job& job, job_state state, time_point now);
  void DeleteFinishedJobs(time_point now);
  void Log(const log_event_kind& kind, std::vector<log_field> fields) const;

  // pool_runs.cc: what workers report and answer.
  void AdoptRun(worker_state& worker, const reported_run& run, time_point now);
  void ApplyEnd(worker_state& worker, const reported_end& end, time_point now);
  void ReleaseMissing(worker_state& worker, const worker_report& report,
                      time_point sent_at, time_point now);
  void ReleaseRun(worker_state& worker, const task_key& task);
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
  void RequeueTask(step_state& step, graph_task& task);
  void StopRun(task_run& run, time_point now);
  void StopStep(graph_job& job, const task_key& member, time_point now);
  void StopJob(graph_job& job, time_point now);
  void ResetWorker(worker_state& worker, time_point now);
  void RecordOutcome(worker_state& worker, run_outcome outcome, time_point now);

  // pool_placement.cc: where tasks go.
  std::vector<candidate> WaitingSteps(time_point now,
                                      std::int64_t wall_clock_ms);
  bool IsReady(const graph_job& job, std::uint32_t occurrence,
               std::uint32_t step, std::int64_t wall_clock_ms) const;
  void PlaceStep(const candidate& waiting, time_point now,
                 pool_decisions& decisions);
  std::vector<placement> ChooseWorkers(const candidate& waiting, time_point now,
                                       bool valid_only);
  worker_state* BestWorker(const candidate& waiting,
                           const std::vector<worker_state*>& allowed,
                           std::span<const placement> chosen,
                           time_point now) const;
  void FindWorkersWithRoom(const std::vector<candidate>& waiting);
  std::vector<worker_state*> FindAllowedWorkers(const candidate& waiting,
                                                time_point now,
                                                bool valid_only);
  // Room of a worker for a task that is to run for `estimate`.
  static resource_vector FreeCapacityFor(const worker_state& worker,
                                         duration estimate, time_point now);
  bool CanHost(const candidate& waiting, const worker_state& worker,
               time_point now) const;
  void StartTasks(const candidate& waiting, std::span<const placement> chosen,
                  time_point now, pool_decisions& decisions);
  void CollectStops(time_point now, pool_decisions& decisions);
  void CollectThrottles(pool_decisions& decisions);

  // pool_reservations.cc: room and approvals for those that wait.
  time_point EstimateFreeAt(const worker_state& worker,
                            const resource_vector& need, time_point now) const;
  using resources_by_worker = std::map<worker_state*, resource_vector>;
  std::optional<time_point> FindWorkersToReserve(
      const candidate& waiting, std::uint32_t count,
      const std::set<std::string>& last_reserved, time_point now,
      resources_by_worker& room);
  void ReserveWorkers(const candidate& waiting, time_point now,
                      pool_decisions& decisions);
  bool IsLarge(const graph_step& spec) const;
  void RequestApproval(const candidate& waiting,
                       std::vector<pool_worker> workers,
                       pool_decisions& decisions);
  void RequestApprovalIfNeeded(const candidate& waiting, time_point now,
                               pool_decisions& decisions);

  pool_scheduler_options options_;
  std::map<std::string, std::unique_ptr<graph_job>, std::less<>> jobs_;
  std::map<std::string, worker_state, std::less<>> workers_;
  std::set<std::string, std::less<>> unverified_workers_;  // Not claimed yet.
  std::set<graph_job*> open_jobs_;  // Jobs that are not final.
  std::set<graph_job*>
      dirty_jobs_;  // Their progress differs from the stored one.
  std::deque<std::pair<time_point, std::string>>
      finished_jobs_;  // Oldest first.
  std::vector<std::string> jobs_to_delete_;
  std::size_t unstored_results_ = 0;  // Final jobs that are not stored.
  bool has_unstored_ends_ = false;    // Ends were applied since the last batch.
  std::size_t reservation_count_ = 0;  // Made in this pass.
  std::vector<worker_state*>
      workers_with_room_;  // With room for some step of this pass.
  std::uint64_t workers_examined_ = 0;
  resource_vector max_capacity_;  // Of all workers, each resource by itself.
  time_point next_decision_at_ = time_point::max();
};

}  // namespace apricotwheel

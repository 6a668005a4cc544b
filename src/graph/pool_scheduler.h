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

struct pace_order {
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
  duration cost{};  // Time that the advisor takes for the call.
};

// What is to be done now, in this order.
struct pool_decisions {
  std::vector<stop_order> stops;
  std::vector<pace_order> paces;
  std::vector<start_order> starts;
  std::vector<approval_request> approvals;
};

// An end that a worker's agent has listed.
struct end_mark {
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
  std::vector<std::string> forgotten;  // Jobs whose records are to be deleted.
  std::map<std::string, end_mark> ends_by_worker;
};

struct pool_scheduler_options {
  // Run numbers of this owner are above this and above those of its
  // predecessors, whose last ones are not known.
  std::uint64_t run_base = 0;
  // Until then, runs of an earlier owner on workers that do not answer may
  // still hold their lease.
  time_point lapsed_at{};
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
  void Admit(job_submission job, time_point submitted_at);
  void Restore(job_submission job, job_progress progress,
               time_point submitted_at);
  // False if the job is not known. A final job stays as it is.
  bool Cancel(std::string_view job_id, time_point now);
  std::optional<job_state> StateOf(std::string_view job_id) const;
  // As callers may be told: a final state only once it is stored.
  std::optional<job_state> StoredStateOf(std::string_view job_id) const;
  bool HasUnstoredResults() const { return unstored_results_ > 0; }
  // Accepted jobs of a queue of which no task has started.
  std::size_t PendingJobs(std::string_view queue) const;

  // Workers. `sent_at` is when the question was sent.
  void Report(std::string_view worker, const worker_report& report,
              time_point sent_at, time_point now);
  // Nothing that was ordered before can run there any more.
  void Lapsed(std::string_view worker, time_point now);
  void StartAnswered(const start_order& order, start_answer answer,
                     time_point now);
  void StopAnswered(const stop_order& order, bool is_obeyed, time_point now);
  void ApprovalsArrived(const approval_request& request,
                        std::span<const approved_worker> approved,
                        bool is_answered, time_point sent_at, time_point now);

  pool_decisions Decide(time_point now, std::int64_t wall_clock_ms);
  // When `Decide` has something to do even if nothing happens.
  time_point NextDue(time_point now) const;

  progress_batch TakeProgress();
  bool HasProgress() const {
    return !dirty_.empty() || ends_pending_ || !forgotten_.empty();
  }
  void ProgressStored(const progress_batch& batch);
  // The batch could not be stored; its jobs are taken again.
  void ProgressFailed(const progress_batch& batch);
  std::uint64_t StoredEnd(std::string_view worker) const;
  bool HasUnstoredEnds(std::string_view worker) const;

  // How often a worker was looked at for a waiting step, so far.
  std::uint64_t WorkersExamined() const { return examined_; }
  std::size_t RunsOn(std::string_view worker) const;
  // True if runs are known there, or an earlier owner's may be.
  bool MayRunOn(std::string_view worker, time_point now) const;
  // True if no run of an earlier owner can be unknown any more.
  bool IsSettled(time_point now) const;

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
  void Finish(graph_job& job, job_state state, time_point now);
  void ForgetFinished(time_point now);
  void Log(const log_event_kind& kind, std::vector<log_field> fields) const;

  // pool_runs.cc: what workers report and answer.
  void Adopt(worker_state& worker, const reported_run& run, time_point now);
  void Apply(worker_state& worker, const reported_end& end, time_point now);
  void ReleaseMissing(worker_state& worker, const worker_report& report,
                      time_point sent_at, time_point now);
  void ReleaseRun(worker_state& worker, const task_key& task);
  void EndRun(worker_state& worker, const task_key& task, run_end how,
              std::string_view checkpoint, time_point now);
  void TaskDone(graph_job& job, const task_key& task, time_point now);
  void TaskEnded(graph_job& job, const task_key& task, std::uint64_t run,
                 run_end how, time_point now);
  void GangEnded(graph_job& job, const task_key& task, std::uint64_t run,
                 run_end how, time_point now);
  void CountFailure(graph_job& job, const task_key& task, std::uint64_t run,
                    time_point now);
  void Requeue(step_state& step, graph_task& task);
  void StopRun(task_run& run, time_point now);
  void StopStep(graph_job& job, const task_key& member, time_point now);
  void StopJob(graph_job& job, time_point now);
  void ForgetRuns(worker_state& worker, time_point now);
  void NoteOutcome(worker_state& worker, run_end how, time_point now);

  // pool_placement.cc: where tasks go.
  std::vector<candidate> WaitingSteps(time_point now,
                                      std::int64_t wall_clock_ms);
  bool IsReady(const graph_job& job, std::uint32_t occurrence,
               std::uint32_t step, std::int64_t wall_clock_ms) const;
  void PlaceStep(const candidate& waiting, time_point now,
                 pool_decisions& decisions);
  std::vector<placement> Choose(const candidate& waiting, time_point now,
                                bool valid_only);
  worker_state* BestWorker(const candidate& waiting,
                           const std::vector<worker_state*>& allowed,
                           std::span<const placement> chosen,
                           time_point now) const;
  void FindRoomyWorkers(const std::vector<candidate>& waiting);
  std::vector<worker_state*> Allowed(const candidate& waiting, time_point now,
                                     bool valid_only);
  // Room of a worker for a task that is to run for `estimate`.
  static resource_vector RoomFor(const worker_state& worker, duration estimate,
                                 time_point now);
  bool CanHost(const candidate& waiting, const worker_state& worker,
               time_point now) const;
  void Start(const candidate& waiting, std::span<const placement> chosen,
             time_point now, pool_decisions& decisions);
  void CollectStops(time_point now, pool_decisions& decisions);
  void CollectPaces(pool_decisions& decisions);

  // pool_reservations.cc: room and approvals for those that wait.
  time_point FreeAt(const worker_state& worker, const resource_vector& need,
                    time_point now) const;
  using room_by_worker = std::map<worker_state*, resource_vector>;
  std::optional<time_point> FindRoom(const candidate& waiting,
                                     std::uint32_t count,
                                     const std::set<std::string>& kept_on,
                                     time_point now, room_by_worker& room);
  void ReserveRoom(const candidate& waiting, time_point now,
                   pool_decisions& decisions);
  bool IsLarge(const graph_step& spec) const;
  void RequestApproval(const candidate& waiting,
                       std::vector<pool_worker> workers,
                       pool_decisions& decisions);
  void AskApproval(const candidate& waiting, time_point now,
                   pool_decisions& decisions);

  pool_scheduler_options options_;
  std::map<std::string, std::unique_ptr<graph_job>, std::less<>> jobs_;
  std::map<std::string, worker_state, std::less<>> workers_;
  std::set<std::string, std::less<>> unsettled_;  // Not claimed yet.
  std::set<graph_job*> open_;                     // Jobs that are not final.
  std::set<graph_job*> dirty_;  // Their progress differs from the stored one.
  std::deque<std::pair<time_point, std::string>> finished_;  // Oldest first.
  std::vector<std::string> forgotten_;
  std::size_t unstored_results_ = 0;  // Final jobs that are not stored.
  bool ends_pending_ = false;         // Ends were applied since the last batch.
  std::size_t reservations_ = 0;      // Made in this pass.
  std::vector<worker_state*> roomy_;  // With room for some step of this pass.
  std::uint64_t examined_ = 0;
  resource_vector largest_;  // Of all workers, each resource by itself.
  time_point next_due_ = time_point::max();
};

}  // namespace apricotwheel

#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jobs/cell_api.h"
#include "jobs/job_manager.h"
#include "jobs/job_metrics.h"
#include "jobs/job_store.h"
#include "kernel/random.h"
#include "kernel/thread_group.h"
#include "placement/team_queue.h"
#include "workers/wake_signal.h"

namespace apricotwheel {

// Task ids of service instances are `service/<name>/<index>`.
inline constexpr std::string_view kServiceTaskIdPrefix = "service/";

struct shard_owner_options {
  std::uint32_t shard = 0;
  std::uint64_t epoch = 0;
  std::string member_id;
  kv_api kv;
  cell_api cell;
  duration commit_interval = milliseconds(25);
  duration task_lease = milliseconds(10'000);
  clock_ptr clock;
  log_sink log;
  std::shared_ptr<job_metrics> metrics;
  std::uint64_t random_seed = 1;
};

// Manages the jobs and services of one shard during one epoch: stores the job
// records, queues and places tasks, and recovers the state that the previous
// owner left. Thread-safe.
class shard_owner {
 public:
  explicit shard_owner(shard_owner_options options);
  ~shard_owner();

  // Starts the threads that call `RunRound` and `CommitStagedRecords`.
  result<void> Start();
  void Stop();

  // Loads the records if that was not done yet, collects inventories,
  // reconciles services, sends stop requests and places pending tasks.
  void RunRound();
  // Writes the staged records. Returns false if some could not be written.
  bool CommitStagedRecords();

  // See job_manager.h.
  job_api_response Submit(std::string_view body);
  job_api_response Get(std::string_view job_id, duration wait);
  job_api_response Cancel(std::string_view job_id);
  job_api_response ExplainJob(std::string_view job_id);
  job_api_response List();

  // Handles events of the workers that `member` owns. Returns the ids of the
  // tasks whose event is committed or needs no commit.
  std::vector<std::string> OnTaskEvents(
      const std::string& member, std::span<const wire::running_taskT> events);

  std::uint64_t Epoch() const { return options_.epoch; }
  std::size_t PendingTaskCount() const;
  std::size_t ActiveTaskCount() const;
  // Returns how many times a record was staged for a commit.
  std::uint64_t StagedRecordCount() const { return store_.LastVersion(); }

 private:
  struct service_entry {
    workload_config config;
    std::map<std::uint32_t, managed_task> instances;
    std::uint32_t recent_failures = 0;  // Since an instance last ran.
    time_point retry_at = time_point::min();
    std::vector<std::string> failed_on;  // Workers of the last failures.
  };
  // A task with the job or service that it belongs to.
  struct task_ref {
    managed_task* task = nullptr;
    job_record* job = nullptr;
    service_entry* service = nullptr;
    explicit operator bool() const { return task != nullptr; }
    const std::string& Team() const;
    resource_vector Need() const;
    priority_class Priority() const;
    bool IsGang() const { return job && job->kind == task_kind::kGang; }
    // Returns true if the task must not be placed again.
    bool IsNoLongerNeeded() const;
  };
  // The collection of inventories from all members, polled until they are
  // complete for all partitions.
  struct inventory_scan {
    bool requested = true;  // Another scan must follow.
    bool active = false;
    time_point started_at;
    time_point last_poll_at = time_point::min();
    std::set<std::string, std::less<>> complete_partitions;  // Partitions.
    std::set<std::string, std::less<>> reported_tasks;       // Task ids.
  };

  // shard_owner.cc
  // Returns an empty reference if the task is unknown.
  task_ref FindTask(std::string_view task_id);
  // Sets the state and updates the queue, the team's resource use and the
  // counters.
  void SetTaskState(const task_ref& ref, attempt_state state);
  // Queues the task again after `delay`, or ends it if it is no longer needed.
  // A service instance is removed; a later round creates a new one.
  void RequeueTask(const task_ref& ref, std::string_view reason,
                   duration delay);
  // Sets a final state and stages the job's record. A service instance is
  // removed.
  void EndTask(const task_ref& ref, attempt_state state);
  // Queues the task again with a backoff, or ends it after too many failed
  // attempts.
  void OnAttemptFailed(const task_ref& ref, std::string_view message);
  // Stops all tasks of a gang, so that it is placed again as a whole.
  void RestartGang(job_record& job, std::string_view reason);
  // Ends the restart once no task is active: queues the gang, or ends all of
  // its tasks if one has failed.
  void FinishGangRestart(job_record& job);
  // Stages the job's record for the next commit.
  void StageJob(job_record& job);
  void SetTaskRunning(const task_ref& ref, const std::string& member,
                      const wire::running_taskT& event);
  // Reads the records of the shard. Returns false if that failed.
  bool LoadRecords();
  // Queue the tasks of jobs whose records are committed.
  void QueueCommittedJob(std::string_view job_id);
  void QueueCommittedJobs();
  wire::taskT ToWireTask(const task_ref& ref) const;

  // shard_owner_events.cc
  // Returns true if `member` has lost the worker's partition since.
  bool IsFromEarlierOwner(const std::string& member,
                          const wire::running_taskT& event) const;
  // Returns true if the event is accepted without a commit. Adds the task and
  // its job to `to_commit` if the event is accepted once the job is committed.
  // Otherwise the event is refused and will be sent again.
  bool ApplyEvent(const std::string& member, const wire::running_taskT& event,
                  std::vector<std::pair<std::string, std::string>>& to_commit);

  // shard_owner_api.cc
  // Commits the record of a new job. If a job with this id exists, only waits
  // until its record is committed.
  job_api_response StoreSubmission(job_record job);
  // Returns an error response if the job can never run.
  std::optional<job_api_response> CheckFeasibility(
      const job_record& job, const cell_snapshot& cell) const;

  // shard_owner_queue.cc
  void QueueTask(const task_ref& ref);
  // Queues a gang once all of its tasks are pending.
  void QueueGang(const job_record& job);
  // Queues the tasks whose backoff has ended.
  void QueueDelayedTasks();
  // Puts a task that did not fit back into the queue, with a backoff.
  void ReturnToQueue(const task_ref& ref);
  // Updates quotas, weights and the assumed use of services that no inventory
  // has shown yet.
  void UpdateTeams(const cell_snapshot& cell);
  std::vector<std::string> ExplainQueueWait(const task_ref& ref) const;

  // shard_owner_place.cc
  // Places single tasks in queue order up to the next gang, then that gang.
  // Returns false if there was no gang.
  bool PlacePendingTasks(const cell_snapshot& cell);
  // Returns the member to which the place request is sent, and subtracts the
  // task from its entry in `capacities`. Returns an empty string if no member
  // is suitable.
  std::string ChooseMember(const task_ref& ref,
                           std::vector<member_capacity>& capacities,
                           std::size_t& speculative_requests) const;
  // Updates the tasks of a place request with its response.
  void OnPlaceResponse(const std::string& member,
                       const wire::place_requestT& request,
                       const outcome<wire::place_responseT>& response);
  // Reserves capacity for all tasks of a gang, member by member, and starts
  // them if every task got some.
  void PlaceGang(const std::string& job_id, const cell_snapshot& cell);
  // Starts the reserved tasks. Returns false if nothing was sent.
  bool CommitGang(const std::string& job_id, const std::string& reservation,
                  const std::map<std::string, std::vector<std::string>>&
                      reserved_by_member);
  void ReleaseGangReservation(
      const std::string& reservation,
      const std::map<std::string, std::vector<std::string>>&
          reserved_by_member);
  wire::place_requestT MakeGangRequest(
      wire::place_mode mode, const std::string& reservation,
      const std::vector<std::string>& task_ids);

  // shard_owner_services.cc
  void ReconcileServices(const cell_snapshot& cell);
  // Adds or stops instances until `wanted` of them run on workers that are not
  // leaving.
  void ReconcileService(service_entry& service, std::uint32_t wanted,
                        const std::set<std::string_view>& leaving);
  void SendStopRequests(const cell_snapshot& cell);

  // shard_owner_inventory.cc
  // Requests inventories from all members while a scan is needed.
  void CollectInventories(const cell_snapshot& cell);
  void OnInventoryResponse(const std::string& member, const cell_snapshot& cell,
                           const wire::inventory_responseT& response);
  // Requeues the active tasks that no inventory contains.
  void FinishInventoryScan(const cell_snapshot& cell);
  bool IsInventoryScanComplete(const cell_snapshot& cell) const;

  const shard_owner_options options_;
  job_store store_;
  mutable std::mutex mutex_;
  std::condition_variable job_changed_;
  bool records_loaded_ = false;
  // False until the inventories of all partitions were complete once.
  bool inventory_was_complete_ = false;
  std::map<std::string, job_record, std::less<>> jobs_;
  std::map<std::string, service_entry, std::less<>> services_;
  std::set<std::string, std::less<>> pending_tasks_;
  // Holds single tasks by task id, gangs by job id, and the teams' resource
  // use.
  team_queue queue_;
  // Pending tasks by the end of their backoff.
  std::set<std::pair<time_point, std::string>> delayed_tasks_;
  std::shared_ptr<const cell_document> seen_document_;
  std::shared_ptr<const vm_list> seen_vms_;
  // Resources charged to each team for declared service instances that no
  // inventory has shown yet. They may be running.
  std::map<std::string, resource_vector, std::less<>> assumed_service_use_;
  std::set<std::string, std::less<>> uncommitted_jobs_;
  std::set<std::string, std::less<>> stopping_tasks_;
  // Running tasks whose job is unknown or which have ended, by member. They are
  // killed.
  std::map<std::string, std::set<std::string>> orphaned_tasks_;
  std::size_t active_task_count_ = 0;
  // While true, `StageJob` only adds the job to `batched_jobs_`.
  bool is_batching_ = false;
  std::set<std::string, std::less<>> batched_jobs_;
  inventory_scan inventory_scan_;
  std::map<std::string, ownership, std::less<>> seen_partitions_;
  random_source random_;
  wake_signal round_wake_;
  wake_signal commit_wake_;
  thread_group threads_;
};

}  // namespace apricotwheel

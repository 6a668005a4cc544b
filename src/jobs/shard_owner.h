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

#include "jobs/cell_calls.h"
#include "jobs/job_manager.h"
#include "jobs/job_metrics.h"
#include "jobs/job_store.h"
#include "kernel/random.h"
#include "kernel/thread_group.h"
#include "placement/team_queue.h"
#include "workers/wake_signal.h"

namespace apricotwheel {

// Task ids of service instances: `service/<name>/<index>`.
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

// The jobs and services of one shard under one epoch: their records, the
// pending queue, placement, and the take-over. Thread-safe.
class shard_owner {
 public:
  explicit shard_owner(shard_owner_options options);
  ~shard_owner();

  // Starts the threads that call `Round` and `Commit`.
  result<void> Start();
  void Stop();

  // One round: load, inventories, services, stops and placements.
  void RunRound();
  // Writes staged records now. Returns false if some could not be written.
  bool CommitStagedRecords();

  // `body` is that of POST /v1/jobs.
  job_api_response Submit(std::string_view body);
  job_api_response Get(std::string_view job_id, duration wait);
  job_api_response Cancel(std::string_view job_id);
  job_api_response ExplainJob(std::string_view job_id);
  job_api_response List();

  // Handles events of the workers owned by `member`; returns the ids whose end
  // is committed or needs no record.
  std::vector<std::string> OnTaskEvents(
      const std::string& member, std::span<const wire::running_taskT> events);

  std::uint64_t Epoch() const { return options_.epoch; }
  std::size_t PendingTaskCount() const;
  std::size_t ActiveTaskCount() const;
  // How often a record was staged for a commit so far.
  std::uint64_t StagedRecordCount() const { return store_.LastVersion(); }

 private:
  struct service_entry {
    workload_config config;
    std::map<std::uint32_t, managed_task> instances;
    std::uint32_t recent_failures = 0;  // In a row.
    time_point retry_at = time_point::min();
    std::vector<std::string> failed_on;
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
    bool IsNoLongerNeeded() const;
  };
  struct inventory_scan {
    bool requested = true;
    bool active = false;
    time_point started_at;
    time_point last_poll_at = time_point::min();
    std::set<std::string, std::less<>> complete_partitions;
    std::set<std::string, std::less<>> reported_tasks;
  };

  // shard_owner.cc
  task_ref FindTask(std::string_view task_id);
  void SetTaskState(const task_ref& ref, attempt_state state);
  void RequeueTask(const task_ref& ref, std::string_view reason,
                   duration delay);
  void EndTask(const task_ref& ref, attempt_state state);
  void OnAttemptFailed(const task_ref& ref, std::string_view message);
  void RestartGang(job_record& job, std::string_view reason);
  void FinishGangRestart(job_record& job);
  void StageJob(job_record& job);
  void SetTaskRunning(const task_ref& ref, const std::string& member,
                      const wire::running_taskT& event);
  bool LoadRecords();
  void QueueCommittedJob(std::string_view job_id);
  void QueueCommittedJobs();
  wire::taskT ToWireTask(const task_ref& ref) const;

  // shard_owner_events.cc
  bool ApplyEvent(const std::string& member, const wire::running_taskT& event,
                  std::vector<std::pair<std::string, std::string>>& to_commit);

  // shard_owner_api.cc
  job_api_response StoreSubmission(job_record job);
  std::optional<job_api_response> CheckFeasibility(
      const job_record& job, const cell_snapshot& cell) const;

  // shard_owner_queue.cc
  void QueueTask(const task_ref& ref);
  void QueueGang(const job_record& job);
  void QueueDelayedTasks();
  void ReturnToQueue(const task_ref& ref);
  void UpdateTeams(const cell_snapshot& cell);
  std::vector<std::string> ExplainQueueWait(const task_ref& ref) const;

  // shard_owner_place.cc
  // Places single tasks in the queue's order up to the next gang, then that
  // gang. Returns false if there was none.
  bool PlacePendingTasks(const cell_snapshot& cell);
  std::string ChooseMember(const task_ref& ref,
                           std::vector<member_capacity>& capacities,
                           std::size_t& speculative_requests) const;
  void OnPlaceResponse(const std::string& member,
                       const wire::place_requestT& request,
                       const outcome<wire::place_responseT>& response);
  void PlaceGang(const std::string& job_id, const cell_snapshot& cell);
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
  void ReconcileService(service_entry& service, std::uint32_t wanted,
                        const std::set<std::string_view>& leaving);
  void SendStopRequests(const cell_snapshot& cell);

  // shard_owner_inventory.cc
  void CollectInventories(const cell_snapshot& cell);
  void OnInventoryResponse(const std::string& member, const cell_snapshot& cell,
                           const wire::inventory_responseT& response);
  void FinishInventoryScan(const cell_snapshot& cell);
  bool IsInventoryScanComplete(const cell_snapshot& cell) const;

  const shard_owner_options options_;
  job_store store_;
  mutable std::mutex mutex_;
  std::condition_variable job_changed_;
  bool records_loaded_ = false;
  // False until one inventory was complete since the take-over.
  bool inventory_was_complete_ = false;
  std::map<std::string, job_record, std::less<>> jobs_;
  std::map<std::string, service_entry, std::less<>> services_;
  std::set<std::string, std::less<>> pending_tasks_;
  // Single tasks by task id and gangs by job id, with what the teams use.
  team_queue queue_;
  // Tasks that are queued again after a back-off of their own.
  std::set<std::pair<time_point, std::string>> delayed_tasks_;
  std::shared_ptr<const cell_document> seen_document_;
  std::shared_ptr<const vm_list> seen_vms_;
  // Charged for service instances that no inventory has shown yet, by team.
  std::map<std::string, resource_vector, std::less<>> assumed_service_use_;
  std::set<std::string, std::less<>> uncommitted_jobs_;  // Jobs.
  std::set<std::string, std::less<>> stopping_tasks_;    // Tasks.
  // Tasks that run without a job or after their end, by member.
  std::map<std::string, std::set<std::string>> orphaned_tasks_;
  std::size_t active_task_count_ = 0;
  bool is_batching_ = false;  // `StageJob` only collects the jobs in `batch_`.
  std::set<std::string, std::less<>> batched_jobs_;
  inventory_scan inventory_scan_;
  std::map<std::string, ownership, std::less<>> seen_partitions_;
  random_source random_;
  wake_signal round_wake_;
  wake_signal commit_wake_;
  thread_group threads_;
};

}  // namespace apricotwheel

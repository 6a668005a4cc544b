#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/random.h"
#include "placement/health_tracker.h"
#include "workers/wake_signal.h"
#include "workers/worker_lease.h"
#include "workers/worker_manager.h"

namespace apricotwheel {

struct worker_fleet_options {
  worker_lease_options lease;
  health_settings health;
  clock_ptr clock;
  log_sink log;
  std::uint64_t random_seed = 1;
};

// The content of one lease renewal.
struct renewal_request {
  std::int64_t expires_at_ms = 0;         // On the worker's clock.
  std::vector<std::string> acknowledged;  // Ended tasks it may forget.
};

// A call that a worker session makes to its worker on behalf of the fleet.
struct worker_command {
  enum class command_type { kStart, kStop, kThrottle };
  command_type type = command_type::kStart;
  task_spec spec;
  std::int64_t expires_at_ms = 0;     // For kStart.
  stop_mode mode = stop_mode::kKill;  // For kStop.
  std::int64_t cpu_milli = 0;         // For kThrottle.
};

// The workers that must have been claimed, or whose leases must have expired,
// before an inventory of this daemon is complete.
struct expected_workers {
  // Owned partitions with the workers that the VM list has there.
  std::map<std::string, std::vector<std::string>> partitions;
  // False if a peer may have a newer VM list with more workers.
  bool vm_list_is_current = true;
  // Partitions where a VM that is no longer listed may still run tasks.
  std::set<std::string> uncertain_partitions;
  // Of the owned partitions. A worker that is still held under an earlier epoch
  // may have run tasks of another owner since.
  std::map<std::string, std::uint64_t> epochs;
};

// Returns true if version `own_version` of the VM list is at least as new as
// the lists of all peers in `summaries`. `summaries` must hold at least one
// peer unless `peers`, the number of other members, is 0.
bool IsVmListCurrent(std::uint64_t own_version,
                     std::span<const peer_summary> summaries,
                     std::size_t peers);

// Holds the state of all owned workers: their tasks, reservations and capacity.
// It makes no calls itself: worker sessions execute its commands and report the
// results. Thread-safe, with one lock for the whole state.
class worker_fleet {
 public:
  explicit worker_fleet(worker_fleet_options options);

  // Adds a worker of an owned partition, or updates the VM record of a known
  // one. Before a worker is set with a new epoch, `ForgetWorker` must be called
  // for the old one. `wake` is signalled when there are commands for the
  // worker.
  void UpsertWorker(const vm_record& vm, std::string_view partition,
                    std::uint64_t epoch, std::shared_ptr<wake_signal> wake);
  // Stops placing tasks on a worker that was removed from the VM list.
  void MarkWorkerLeaving(std::string_view worker);
  // Removes a worker and its tasks without reporting events: the next owner of
  // the worker reports the tasks. Does nothing for another epoch.
  void ForgetWorker(std::string_view worker, std::uint64_t epoch);
  // Returns true if a worker that was removed from the VM list has no tasks:
  // it responds and lists none, or its lease has expired.
  bool CanForgetWorker(std::string_view worker) const;

  // Results of the calls that the worker's session made. `sent` and `received`
  // are the times of the call and of its response.
  void OnWorkerClaimed(std::string_view worker, const worker_snapshot& snapshot,
                       time_point received);
  // Returns the next renewal and records its expiry as sent.
  renewal_request PrepareRenewal(std::string_view worker);
  void OnLeaseRenewed(std::string_view worker,
                      const renewal_request& sent_request,
                      const worker_snapshot& snapshot, time_point sent,
                      time_point received);
  void OnWorkerUnreachable(std::string_view worker);
  // Returns the pending commands for the worker and marks them as sent.
  std::vector<worker_command> TakeCommands(std::string_view worker);
  void OnStartResponse(std::string_view worker, const worker_command& command,
                       const outcome<task_status>& response);
  // Returns true while a stop or a pre-emption waits for a task to end. The
  // regular renewal would report that end too late.
  bool NeedsFastRenewal(std::string_view worker) const;

  // Handlers of the peer requests, see worker_manager.h. `view_epochs` are the
  // shard epochs of the current cluster view. A request is refused if its epoch
  // is lower than that of the view or of any earlier request for the shard.
  using shard_epochs = std::array<std::uint64_t, kShardCount>;
  wire::place_responseT PlaceTasks(const wire::place_requestT& request,
                                   const shard_epochs& view_epochs);
  wire::stop_responseT StopTasks(const wire::stop_requestT& request,
                                 const shard_epochs& view_epochs);
  wire::inventory_responseT BuildInventory(
      const wire::inventory_requestT& request, const expected_workers& expected,
      const shard_epochs& view_epochs);

  // Ends expired reservations, pre-emptions that took too long, and the tasks
  // of workers whose lease has expired. Must be called every 100 ms or so.
  void ProcessTimeouts();

  // Returns the events that no shard owner has accepted yet.
  std::vector<wire::running_taskT> PendingEvents() const;
  // Removes the events in `sent` whose task ids are in `accepted`.
  void OnEventsAccepted(std::span<const wire::running_taskT> sent,
                        std::span<const std::string> accepted);
  // Sets a callback for new events. It is called with the lock held and must
  // not block.
  void SetEventsCallback(std::function<void()> on_events) {
    on_events_ = std::move(on_events);
  }

  // See worker_manager.h.
  std::optional<time_point> DispatchAuthorityExpiry(
      std::string_view task_id) const;
  std::vector<instance_record> Instances() const;
  std::vector<worker_status> Workers() const;
  std::vector<std::string> ExplainPlacement(const wire::taskT& task) const;
  void FillGossip(wire::gossipT& gossip) const;

 private:
  enum class task_phase {
    kReserved,
    kAwaitingPreemption,
    kStarting,
    kRunning,
    kEnded
  };
  // One attempt of a task on one worker.
  struct task_entry {
    task_spec spec;
    std::string policy;
    bool spread = false;
    std::vector<std::string> excluded_workers;
    std::string worker;
    task_phase phase = task_phase::kStarting;
    task_status status;
    bool start_sent = false;
    // Set while the effect of the start call is unknown: the start can still
    // take effect until the worker's clock passes this time.
    std::optional<std::int64_t> unconfirmed_start_expires_at_ms;
    // Task lists that were requested later than this contain the task.
    time_point start_confirmed_at = time_point::min();
    std::optional<stop_mode> requested_stop;
    bool stop_sent = false;
    bool on_worker_task_list = false;  // The worker's task list contains it.
    bool end_accepted = false;         // The shard owner has accepted its end.
    bool found_at_claim =
        false;  // It ran before this daemon claimed the worker.
    bool throttled = false;
    std::string reservation_id;
    std::vector<std::string> victims;
    // Of a reservation or a pre-emption.
    time_point deadline = time_point::max();
  };
  enum class worker_phase { kClaiming, kReady, kUnresponsive };
  struct worker_entry {
    vm_record vm;
    std::string partition;
    std::uint64_t epoch = 0;
    worker_phase phase = worker_phase::kClaiming;
    worker_lease lease{{}};
    time_point owned_since;  // When this daemon became the owner.
    // First failed call since the last successful one.
    std::optional<time_point> unreachable_since;
    worker_index cell_index = kNoWorker;
    // The entries of `tasks_` that belong to this worker.
    std::map<std::string, task_entry*, std::less<>> tasks;
    // Ended tasks that the worker may remove from its task list.
    std::set<std::string, std::less<>> ended_to_acknowledge;
    // Tasks that still run here after they were ended or placed elsewhere.
    std::set<std::string, std::less<>> tasks_to_kill;
    std::vector<worker_command> pending_throttles;
    std::shared_ptr<wake_signal> wake;
  };
  using task_map = std::map<std::string, task_entry, std::less<>>;
  using worker_map = std::map<std::string, worker_entry, std::less<>>;

  placement_request MakePlacementRequest(const task_entry& task) const;
  // Adds a pending event with the task's status. It replaces a pending event
  // of the same task.
  void AddEvent(const task_entry& task);
  // Frees the task's capacity and reports its end. `on_task_list` says whether
  // the worker's task list contains it.
  void EndTask(task_entry& task, task_state state, std::string_view message,
               bool on_task_list);
  task_entry& AddTask(std::string_view task_id, task_entry task);
  // Removes an ended task from all indexes.
  void RemoveEndedTask(task_map::iterator task);
  // Frees the task's capacity and removes it with its pending event.
  void DiscardTask(std::string_view task_id);
  // Tells the cell state whether the worker may get new tasks.
  void UpdateUsable(worker_entry& worker);
  // Updates the worker's tasks from its task list, which was requested at
  // `sent`.
  void ReconcileTasks(worker_entry& worker, const worker_snapshot& snapshot,
                      time_point sent, bool is_claim);
  void ReconcileListedTask(worker_entry& worker, const task_status& status,
                           bool is_claim);
  void ReconcileMissingTask(task_entry& task, const worker_snapshot& snapshot,
                            time_point sent);
  // Starts the tasks whose pre-emption victims have all ended.
  void StartTasksAfterPreemption(worker_entry& worker);
  // Throttles or stops one task that exceeds its declared resources while the
  // worker as a whole exceeds its capacity.
  void LimitOveruse(worker_entry& worker);
  // Checkpoints the batch and gang tasks of a leaving worker. Service instances
  // stay until their shard owner has replaced them.
  void DrainLeavingWorker(worker_entry& worker);
  // Requests a stop of a running task. A kill overrides a checkpoint.
  void RequestStop(task_entry& task, stop_mode mode);
  // Reserves capacity for the whole gang, or for as many of its tasks as fit.
  void ReserveTasks(const wire::place_requestT& request,
                    wire::place_responseT& response);
  std::unique_ptr<wire::task_placementT> PlaceTask(const wire::taskT& task);
  std::unique_ptr<wire::task_placementT> CommitReservation(
      const wire::place_requestT& request, const wire::taskT& task);
  task_entry MakeTaskEntry(const wire::taskT& task) const;
  // Returns true if `epoch` is lower than the highest known epoch of the shard;
  // otherwise records it as the highest.
  bool IsStaleShardEpoch(std::uint32_t shard, std::uint64_t epoch,
                         const shard_epochs& view_epochs);
  std::string WorkerStateName(const worker_entry& worker) const;
  // Ends all tasks of a worker whose lease has expired.
  void EndTasksOfExpiredLease(worker_entry& worker);
  // Returns true if no task lease that this or an earlier owner sent to the
  // worker can still be valid.
  bool IsLeaseExpired(const worker_entry& worker, time_point now) const;

  const worker_fleet_options options_;
  mutable std::mutex mutex_;
  std::unique_ptr<cell_state> cell_state_;
  mutable random_source random_;
  worker_map workers_;
  task_map tasks_;
  std::set<std::string>
      tasks_with_deadline_;              // Reserved or waiting for pre-emption.
  std::set<std::string> service_tasks_;  // Service instances.
  health_tracker health_;
  time_point next_health_cleanup_ = time_point::min();
  // Events that no shard owner has accepted yet, by task id.
  std::map<std::string, wire::running_taskT, std::less<>> pending_events_;
  shard_epochs highest_shard_epochs_{};  // The highest seen.
  std::function<void()> on_events_;
};

}  // namespace apricotwheel

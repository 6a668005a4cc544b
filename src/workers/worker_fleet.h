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

// What a session sends in one renewal.
struct renewal_request {
  std::int64_t expires_at_ms = 0;
  std::vector<std::string> acknowledged;
};

// One call that a session makes for the fleet.
struct worker_command {
  enum class command_type { kStart, kStop, kThrottle };
  command_type type = command_type::kStart;
  task_spec spec;
  std::int64_t expires_at_ms = 0;  // Of a start.
  stop_mode mode = stop_mode::kKill;
  std::int64_t cpu_milli = 0;  // Of a throttle.
};

// The workers that this daemon should know before its inventory is complete.
struct expected_workers {
  // The owned partitions with the workers that the VM list names there.
  std::map<std::string, std::vector<std::string>> partitions;
  // False if a newer VM list may name workers that this daemon's list lacks.
  bool vm_list_is_current = true;
  // Owned partitions of which a worker may run tasks without being named.
  std::set<std::string> uncertain_partitions;
};

// True if an own VM list of version `own_version` is at least as new as the
// lists of all peers in `summaries`, and one of `peers` peers was heard.
bool IsVmListCurrent(std::uint64_t own_version,
                     std::span<const peer_summary> summaries,
                     std::size_t peers);

// All owned workers with their tasks, reservations and capacity, under one
// lock. It makes no calls: sessions carry out its orders and report the
// results. Thread-safe.
class worker_fleet {
 public:
  explicit worker_fleet(worker_fleet_options options);

  // Adds a worker of an owned partition, or updates its leaving mark. A higher
  // epoch forgets what an earlier one knew. `wake` is signalled when there are
  // orders for the worker.
  void UpsertWorker(const vm_record& vm, std::string_view partition,
                    std::uint64_t epoch, std::shared_ptr<wake_signal> wake);
  // A worker that the VM list no longer names takes no new tasks.
  void MarkWorkerLeaving(std::string_view worker);
  // Forgets a worker without a report: its successor reports its tasks.
  void ForgetWorker(std::string_view worker, std::uint64_t epoch);
  // True if a worker that left the VM list certainly runs no task: it answered
  // and holds none, or its task lease has certainly expired.
  bool CanForgetWorker(std::string_view worker) const;

  // Called by the session of the worker.
  void OnWorkerClaimed(std::string_view worker, const worker_snapshot& snapshot,
                       time_point received);
  renewal_request PrepareRenewal(std::string_view worker);
  void OnLeaseRenewed(std::string_view worker,
                      const renewal_request& sent_request,
                      const worker_snapshot& snapshot, time_point sent,
                      time_point received);
  void OnWorkerUnreachable(std::string_view worker);
  std::vector<worker_command> TakeCommands(std::string_view worker);
  void OnStartResponse(std::string_view worker, const worker_command& command,
                       const outcome<task_status>& response);
  // True while a result is awaited that the next regular renewal would report
  // too late.
  bool NeedsFastRenewal(std::string_view worker) const;

  // The peer calls; see worker_manager.h. `view_epochs` are the shard epochs of
  // the current assignment, which fence as well as those in messages do.
  using shard_epochs = std::array<std::uint64_t, kShardCount>;
  wire::place_responseT PlaceTasks(const wire::place_requestT& request,
                                   const shard_epochs& view_epochs);
  wire::stop_responseT StopTasks(const wire::stop_requestT& request,
                                 const shard_epochs& view_epochs);
  wire::inventory_responseT BuildInventory(
      const wire::inventory_requestT& request, const expected_workers& expected,
      const shard_epochs& view_epochs);

  // Ends reservations and pre-emptions that are too old and reports the tasks
  // of workers whose lease has certainly expired. Called often.
  void ProcessTimeouts();

  // Events that no owner has accepted yet, and the answer to them.
  std::vector<wire::running_taskT> PendingEvents() const;
  void OnEventsAccepted(std::span<const wire::running_taskT> sent,
                        std::span<const std::string> accepted);
  // Called with the lock held when there are new events; must not block.
  void SetEventsCallback(std::function<void()> on_events) {
    on_events_ = std::move(on_events);
  }

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
  struct task_entry {
    task_spec spec;
    std::string policy;
    bool spread = false;
    std::vector<std::string> excluded_workers;
    std::string worker;
    task_phase phase = task_phase::kStarting;
    task_status status;
    bool start_sent = false;
    // A start with an unknown effect can still arrive until the worker's clock
    // passes this expiry.
    std::optional<std::int64_t> unconfirmed_start_expires_at_ms;
    // A list that was asked for after this moment shows the task.
    time_point start_confirmed_at = time_point::min();
    std::optional<stop_mode> requested_stop;
    bool stop_sent = false;
    bool on_worker_task_list = false;
    bool end_accepted = false;
    bool found_at_claim = false;
    bool throttled = false;
    std::string reservation_id;
    std::vector<std::string> victims;
    time_point deadline = time_point::max();  // Of a reservation or a room.
  };
  enum class worker_phase { kClaiming, kReady, kUnresponsive };
  struct worker_entry {
    vm_record vm;
    std::string partition;
    std::uint64_t epoch = 0;
    worker_phase phase = worker_phase::kClaiming;
    worker_lease lease{{}};
    time_point owned_since;
    std::optional<time_point> unreachable_since;
    worker_index cell_index = kNoWorker;
    // The entries of `tasks_` that belong to this worker.
    std::map<std::string, task_entry*, std::less<>> tasks;
    std::set<std::string, std::less<>> ended_to_acknowledge;
    std::set<std::string, std::less<>> tasks_to_kill;  // To be killed.
    std::vector<worker_command> pending_throttles;
    std::shared_ptr<wake_signal> wake;
  };
  using task_map = std::map<std::string, task_entry, std::less<>>;
  using worker_map = std::map<std::string, worker_entry, std::less<>>;

  placement_request MakePlacementRequest(const task_entry& task) const;
  void AddEvent(const task_entry& task);
  void EndTask(task_entry& task, task_state state, std::string_view message,
               bool on_task_list);
  task_entry& AddTask(std::string_view task_id, task_entry task);
  void RemoveEndedTask(task_map::iterator task);
  void DiscardTask(std::string_view task_id);
  void UpdateUsable(worker_entry& worker);
  void ReconcileTasks(worker_entry& worker, const worker_snapshot& snapshot,
                      time_point sent, bool is_claim);
  void ReconcileListedTask(worker_entry& worker, const task_status& status,
                           bool is_claim);
  void ReconcileMissingTask(task_entry& task, const worker_snapshot& snapshot,
                            time_point sent);
  void StartTasksAfterPreemption(worker_entry& worker);
  void LimitOveruse(worker_entry& worker);
  void DrainLeavingWorker(worker_entry& worker);
  void RequestStop(task_entry& task, stop_mode mode);
  void ReserveTasks(const wire::place_requestT& request,
                    wire::place_responseT& response);
  std::unique_ptr<wire::task_placementT> PlaceTask(const wire::taskT& task);
  std::unique_ptr<wire::task_placementT> CommitReservation(
      const wire::place_requestT& request, const wire::taskT& task);
  task_entry MakeTaskEntry(const wire::taskT& task) const;
  bool IsStaleShardEpoch(std::uint32_t shard, std::uint64_t epoch,
                         const shard_epochs& view_epochs);
  std::string WorkerStateName(const worker_entry& worker) const;
  void EndTasksOfExpiredLease(worker_entry& worker);
  bool IsLeaseExpired(const worker_entry& worker, time_point now) const;

  const worker_fleet_options options_;
  mutable std::mutex mutex_;
  std::unique_ptr<cell_state> cell_state_;
  mutable random_source random_;
  worker_map workers_;
  task_map tasks_;
  std::set<std::string>
      tasks_with_deadline_;              // Tasks that may have a deadline.
  std::set<std::string> service_tasks_;  // Tasks of services.
  health_tracker health_;
  time_point next_health_cleanup_ = time_point::min();
  std::map<std::string, wire::running_taskT, std::less<>> pending_events_;
  shard_epochs highest_shard_epochs_{};
  std::function<void()> on_events_;
};

}  // namespace apricotwheel

#include "workers/worker_fleet.h"

#include <boost/test/unit_test.hpp>

#include "workers/removed_vm_tracker.h"

namespace apricotwheel {
namespace {

// Runs a fleet against simulated workers, which are only their task lists.
struct fixture {
  clock_ptr clock = runtime_clock::Paused();
  worker_fleet fleet{[this] {
    worker_fleet_options options;
    options.clock = clock;
    return options;
  }()};
  std::map<std::string, worker_snapshot> workers;
  worker_fleet::shard_epochs epochs{};
  bool vm_list_is_current = true;
  std::set<std::string> uncertain_partitions;
  std::uint64_t partition_epoch = 1;

  void AddWorker(const std::string& id, vm_state state = vm_state::kLive) {
    fleet.UpsertWorker({id, "127.0.0.1:1", "a", "r", state, {4000, 8000, 0}},
                       "a/r", 1, nullptr);
  }
  void ClaimWorker(const std::string& id) {
    AddWorker(id);
    auto& worker = workers[id];
    worker.capacity = {4000, 8000, 0};
    worker.worker_clock_ms = NowMs();
    fleet.OnWorkerClaimed(id, worker, clock->Now());
  }
  std::int64_t NowMs() const {
    return std::chrono::duration_cast<milliseconds>(
               clock->Now().time_since_epoch())
        .count();
  }
  void RenewLease(const std::string& id) {
    const auto request = fleet.PrepareRenewal(id);
    auto& worker = workers[id];
    for (const auto& acknowledged_id : request.acknowledged) {
      std::erase_if(worker.tasks, [&](const auto& task) {
        return task.spec.task_id == acknowledged_id;
      });
    }
    worker.worker_clock_ms = NowMs();
    clock->Advance(milliseconds(1));
    fleet.OnLeaseRenewed(id, request, worker, clock->Now() - milliseconds(1),
                         clock->Now());
  }
  // Executes the pending commands. With `failure` each start call fails;
  // `takes_effect` says whether the worker starts the task nevertheless.
  std::vector<worker_command> ExecuteCommands(const std::string& id,
                                              std::optional<error> failure = {},
                                              bool takes_effect = true) {
    const auto commands = fleet.TakeCommands(id);
    for (const auto& command : commands) {
      if (command.type != worker_command::command_type::kStart) continue;
      task_status status;
      status.spec = command.spec;
      outcome<task_status> response;
      if (takes_effect) workers[id].tasks.push_back(status);
      if (failure) response.failure = *failure;
      if (!failure) response.value = status;
      fleet.OnStartResponse(id, command, response);
    }
    return commands;
  }
  wire::task_placementT Place(const std::string& task_id,
                              wire::place_mode mode = wire::place_mode::start,
                              std::int64_t cpu = 1000,
                              priority_class priority = priority_class::kBatch,
                              std::uint64_t shard_epoch = 1) {
    wire::place_requestT request;
    request.mode = mode;
    request.reservation_id = "r";
    request.expires_in_ms = 2000;
    wire::taskT task;
    task.task_id = task_id;
    task.job_id = task_id;
    task.kind = static_cast<std::uint8_t>(task_kind::kBatch);
    task.priority = static_cast<std::uint8_t>(priority);
    task.shard = 3;
    task.shard_epoch = shard_epoch;
    task.need = std::make_unique<wire::resources>(cpu, 100, 0);
    request.tasks.push_back(std::make_unique<wire::taskT>(task));
    const auto response = fleet.PlaceTasks(request, epochs);
    if (response.placements.empty()) return {};
    return *response.placements.front();
  }
  wire::inventory_responseT Inventory(std::uint64_t shard_epoch = 1) {
    wire::inventory_requestT request;
    request.shard = 3;
    request.shard_epoch = shard_epoch;
    std::vector<std::string> names;
    for (const auto& line : fleet.Workers()) names.push_back(line.worker);
    return fleet.BuildInventory(request,
                                {{{"a/r", names}},
                                 vm_list_is_current,
                                 uncertain_partitions,
                                 {{"a/r", partition_epoch}}},
                                epochs);
  }
  // Returns the state of the only pending event, or -1.
  int EventState() {
    const auto events = fleet.PendingEvents();
    return events.size() == 1 ? events.front().state : -1;
  }
  void AcceptEvents() {
    const auto events = fleet.PendingEvents();
    std::vector<std::string> ids;
    for (const auto& event : events) ids.push_back(event.spec->task_id);
    fleet.OnEventsAccepted(events, ids);
  }
};

const error kTimeoutError{error_kind::kTimeout, "no reply", ""};
constexpr int kFailed = static_cast<int>(task_state::kFailed);
constexpr int kRunningState = static_cast<int>(task_state::kRunning);

// The response to a start is lost and the worker did not start the task. The
// task must keep its worker and capacity until the start has certainly expired;
// ended earlier, it would be placed twice.
BOOST_FIXTURE_TEST_CASE(unknown_start_keeps_the_task, fixture) {
  ClaimWorker("w1");
  ClaimWorker("w2");
  const auto first = Place("t/0");
  BOOST_TEST((first.status == wire::place_status::placed));
  ExecuteCommands(first.worker, kTimeoutError, false);
  BOOST_TEST(Place("t/0").worker == first.worker);
  RenewLease(first.worker);
  BOOST_TEST(EventState() == -1);
  BOOST_TEST(Inventory().tasks.size() == 1u);
  // After its expiry the start can no longer take effect.
  clock->Advance(milliseconds(10'500));
  RenewLease(first.worker);
  BOOST_TEST(EventState() == kFailed);
}

// The response to a start is truncated, but the worker started the task. Taking
// that for a start without effect would place the task twice.
BOOST_FIXTURE_TEST_CASE(cut_start_reply_keeps_the_task, fixture) {
  ClaimWorker("w1");
  Place("t/0");
  ExecuteCommands("w1", error{error_kind::kCorrupt, "cut short", ""}, true);
  BOOST_TEST(EventState() == -1);
  BOOST_TEST(Inventory().tasks.size() == 1u);
  RenewLease("w1");
  BOOST_TEST(EventState() == kRunningState);
}

// A task is placed again on a worker whose list still contains its ended first
// attempt. That entry must not end the second attempt, and the start must wait
// until the worker has removed it, or the worker would return the first
// attempt.
BOOST_FIXTURE_TEST_CASE(earlier_attempt_does_not_end_the_next, fixture) {
  ClaimWorker("w1");
  Place("t/0");
  ExecuteCommands("w1");
  RenewLease("w1");
  AcceptEvents();
  fleet.OnWorkerUnreachable("w1");
  clock->Advance(milliseconds(11'000));
  fleet.ProcessTimeouts();
  AcceptEvents();
  // The worker responds again, with an empty task list at first.
  workers["w1"].tasks.clear();
  RenewLease("w1");
  BOOST_TEST((Place("t/0").status == wire::place_status::placed));
  task_status earlier;
  earlier.spec.task_id = "t/0";
  earlier.state = task_state::kFailed;
  workers["w1"].tasks.push_back(earlier);
  RenewLease("w1");
  BOOST_TEST(EventState() == -1);
  BOOST_TEST(ExecuteCommands("w1").empty());
  RenewLease("w1");
  BOOST_TEST(ExecuteCommands("w1").size() == 1u);
  BOOST_TEST(EventState() == kRunningState);
}

// The response to a start is lost, but the task runs. The worker's task list
// must settle the start, or a running task is reported as failed.
BOOST_FIXTURE_TEST_CASE(unknown_start_is_settled_by_the_list, fixture) {
  ClaimWorker("w1");
  Place("t/0");
  ExecuteCommands("w1", kTimeoutError, true);
  RenewLease("w1");
  BOOST_TEST(EventState() == kRunningState);
}

// The end of a task is acknowledged to the worker only after the shard owner
// has accepted it; otherwise the result can be lost. While a start call of the
// task may still arrive, the worker must keep the entry, or it would run the
// task again.
BOOST_FIXTURE_TEST_CASE(end_is_acknowledged_after_the_commit, fixture) {
  ClaimWorker("w1");
  Place("t/0");
  ExecuteCommands("w1", kTimeoutError, true);
  RenewLease("w1");
  workers["w1"].tasks.front().state = task_state::kFinished;
  RenewLease("w1");
  RenewLease("w1");
  BOOST_TEST(workers["w1"].tasks.size() == 1u);
  AcceptEvents();
  RenewLease("w1");
  BOOST_TEST(workers["w1"].tasks.size() == 1u);
  clock->Advance(milliseconds(10'500));
  RenewLease("w1");
  RenewLease("w1");
  BOOST_TEST(workers["w1"].tasks.empty());
  BOOST_TEST(Inventory().tasks.empty());
}

// A worker stops responding and comes back after its lease expired. It must get
// no new tasks, its tasks must not be reported as failed before the lease has
// expired, and a task that still runs afterwards must be stopped.
BOOST_FIXTURE_TEST_CASE(unresponsive_worker_comes_back, fixture) {
  ClaimWorker("w1");
  Place("t/0");
  ExecuteCommands("w1");
  RenewLease("w1");
  AcceptEvents();
  fleet.OnWorkerUnreachable("w1");
  BOOST_TEST((Place("t/1").status == wire::place_status::wait));
  clock->Advance(milliseconds(10'400));
  fleet.ProcessTimeouts();
  BOOST_TEST(EventState() == -1);
  clock->Advance(milliseconds(200));
  fleet.ProcessTimeouts();
  BOOST_TEST(fleet.PendingEvents().at(0).message == "lease expired");
  RenewLease("w1");
  const auto commands = ExecuteCommands("w1");
  BOOST_TEST(commands.size() == 1u);
  BOOST_TEST((commands.at(0).type == worker_command::command_type::kStop));
}

// A shard owner that was superseded must not place tasks any more. The
// inventory request of its successor fences it, and so does the epoch in the
// cluster view.
BOOST_FIXTURE_TEST_CASE(shard_epoch_fences, fixture) {
  ClaimWorker("w1");
  BOOST_TEST(Inventory(2).partitions.at(0)->complete);
  BOOST_TEST((Place("t/0").status == wire::place_status::refused));
  BOOST_TEST(Inventory(1).partitions.empty());
  epochs[3] = 5;
  const auto below_view =
      Place("t/0", wire::place_mode::start, 1000, priority_class::kBatch, 4);
  BOOST_TEST((below_view.status == wire::place_status::refused));
}

// An unclaimed worker may run tasks of an earlier owner. The inventory must not
// be complete until the lease of those tasks has expired, or they run twice.
BOOST_FIXTURE_TEST_CASE(inventory_waits_for_unclaimed_workers, fixture) {
  ClaimWorker("w1");
  AddWorker("w2");
  BOOST_TEST(!Inventory().partitions.at(0)->complete);
  clock->Advance(milliseconds(20'000));
  BOOST_TEST(!Inventory().partitions.at(0)->complete);
  fleet.OnWorkerUnreachable("w2");
  clock->Advance(milliseconds(10'400));
  BOOST_TEST(!Inventory().partitions.at(0)->complete);
  clock->Advance(milliseconds(200));
  BOOST_TEST(Inventory().partitions.at(0)->complete);
}

// Guards against an inventory without the tasks of an owner in between, from a
// daemon that lost a partition and got it back before its sessions noticed.
BOOST_FIXTURE_TEST_CASE(inventory_waits_for_claims_of_the_epoch, fixture) {
  ClaimWorker("w1");
  ClaimWorker("w2");
  fleet.OnWorkerUnreachable("w2");
  clock->Advance(milliseconds(10'600));
  BOOST_TEST(Inventory().partitions.at(0)->complete);
  partition_epoch = 3;
  BOOST_TEST(!Inventory().partitions.at(0)->complete);
  BOOST_TEST(Inventory().partitions.at(0)->epoch == 3u);
}

// Guards against a successor that cannot tell which ownership the end of a task
// belongs to.
BOOST_FIXTURE_TEST_CASE(events_name_the_epoch_of_the_partition, fixture) {
  ClaimWorker("w1");
  Place("t/0");
  ExecuteCommands("w1");
  BOOST_TEST(fleet.PendingEvents().at(0).partition_epoch == 1u);
}

// A daemon whose VM list is older than that of a peer may not know all workers.
// Its inventory must not be complete then.
BOOST_FIXTURE_TEST_CASE(stale_vm_list_gives_no_complete_inventory, fixture) {
  ClaimWorker("w1");
  vm_list_is_current = false;
  BOOST_TEST(!Inventory().partitions.at(0)->complete);
  vm_list_is_current = true;
  BOOST_TEST(Inventory().partitions.at(0)->complete);
  std::vector<peer_summary> summaries(2);
  summaries[0].gossip.vm_list_version = 4;
  summaries[1].gossip.vm_list_version = 7;
  BOOST_TEST(!IsVmListCurrent(6, summaries, 2));
  BOOST_TEST(IsVmListCurrent(7, summaries, 2));
  BOOST_TEST(!IsVmListCurrent(7, {}, 2));
  BOOST_TEST(IsVmListCurrent(7, {}, 0));
}

// A worker is removed from the VM list while tasks of an earlier owner may run
// there. It must be kept until their lease has expired.
BOOST_FIXTURE_TEST_CASE(removed_worker_is_kept_for_its_lease, fixture) {
  AddWorker("w1");
  BOOST_TEST(!fleet.CanForgetWorker("w1"));
  fleet.OnWorkerUnreachable("w1");
  clock->Advance(milliseconds(10'400));
  BOOST_TEST(!fleet.CanForgetWorker("w1"));
  clock->Advance(milliseconds(200));
  BOOST_TEST(fleet.CanForgetWorker("w1"));
  ClaimWorker("w2");
  BOOST_TEST(fleet.CanForgetWorker("w2"));
  fleet.OnWorkerUnreachable("w2");
  BOOST_TEST(!fleet.CanForgetWorker("w2"));
}

// A VM is removed from the VM list before this daemon takes the partition.
// Tasks may still run there, so the inventory must not be complete until their
// lease has expired.
BOOST_FIXTURE_TEST_CASE(removed_vm_delays_the_inventory, fixture) {
  ClaimWorker("w1");
  removed_vm_tracker removed_vms(milliseconds(10'500));
  vm_list list;
  list.vms.push_back({"w1", "", "a", "r", vm_state::kLive, {}});
  list.vms.push_back({"w2", "", "a", "r", vm_state::kLive, {}});
  removed_vms.Update(list, clock->Now());
  BOOST_TEST(removed_vms.PartitionsOfRemovedVms(clock->Now()).empty());
  list.vms.pop_back();
  removed_vms.Update(list, clock->Now());
  clock->Advance(milliseconds(10'400));
  removed_vms.Update(list, clock->Now());
  uncertain_partitions = removed_vms.PartitionsOfRemovedVms(clock->Now());
  BOOST_TEST(!Inventory().partitions.at(0)->complete);
  clock->Advance(milliseconds(200));
  uncertain_partitions = removed_vms.PartitionsOfRemovedVms(clock->Now());
  BOOST_TEST(Inventory().partitions.at(0)->complete);
}

// A reservation that is not committed in time must free its capacity, and a
// commit after its expiry must start nothing.
BOOST_FIXTURE_TEST_CASE(reservation_expires, fixture) {
  ClaimWorker("w1");
  BOOST_TEST((Place("g/0", wire::place_mode::reserve, 4000).status ==
              wire::place_status::reserved));
  BOOST_TEST((Place("t/0").status == wire::place_status::wait));
  clock->Advance(milliseconds(2000));
  BOOST_TEST((Place("g/0", wire::place_mode::commit, 4000).status ==
              wire::place_status::refused));
  BOOST_TEST((Place("t/0").status == wire::place_status::placed));
}

// An urgent task pre-empts a batch task. It must not start before that task has
// ended, which would overload the VM; and a task that does not checkpoint in
// time must be killed, or the urgent task waits without a bound.
BOOST_FIXTURE_TEST_CASE(urgent_starts_when_the_victim_ended, fixture) {
  ClaimWorker("w1");
  Place("b/0", wire::place_mode::start, 4000);
  ExecuteCommands("w1");
  RenewLease("w1");
  AcceptEvents();
  BOOST_TEST(
      (Place("u/0", wire::place_mode::start, 1000, priority_class::kUrgent)
           .status == wire::place_status::preempting));
  const auto stops = ExecuteCommands("w1");
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST((stops[0].mode == stop_mode::kCheckpoint));
  RenewLease("w1");
  clock->Advance(milliseconds(1300));
  fleet.ProcessTimeouts();
  const auto kills = ExecuteCommands("w1");
  BOOST_REQUIRE(kills.size() == 1u);
  BOOST_TEST((kills[0].mode == stop_mode::kKill));
  workers["w1"].tasks.front().state = task_state::kStopped;
  RenewLease("w1");
  const auto starts = ExecuteCommands("w1");
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST(starts[0].spec.task_id == "u/0");
}

// A worker that fails tasks of several jobs must get no more tasks while it is
// in quarantine, and only one at a time in its probation.
BOOST_FIXTURE_TEST_CASE(failing_worker_is_quarantined, fixture) {
  ClaimWorker("w1");
  for (const std::string id : {"a/0", "b/0", "c/0"}) {
    BOOST_TEST((Place(id).status == wire::place_status::placed));
    ExecuteCommands("w1");
    workers["w1"].tasks.back().state = task_state::kFailed;
    RenewLease("w1");
    AcceptEvents();
    RenewLease("w1");
  }
  BOOST_TEST(fleet.Workers().at(0).state == "quarantined");
  BOOST_TEST((Place("d/0").status == wire::place_status::wait));
  clock->Advance(milliseconds(61'000));
  RenewLease("w1");
  fleet.ProcessTimeouts();
  BOOST_TEST((Place("d/0").status == wire::place_status::placed));
  BOOST_TEST((Place("e/0").status == wire::place_status::wait));
}

// A renewal acknowledges the end of a task and removes it. If the worker's
// index kept its pointer, the next commands would read freed memory.
BOOST_FIXTURE_TEST_CASE(acknowledged_task_leaves_the_index, fixture) {
  ClaimWorker("w1");
  Place("t/0");
  ExecuteCommands("w1");
  RenewLease("w1");
  workers["w1"].tasks.front().state = task_state::kFinished;
  RenewLease("w1");
  AcceptEvents();
  BOOST_TEST(fleet.Workers().at(0).tasks == 1u);
  RenewLease("w1");
  BOOST_TEST(fleet.Workers().at(0).tasks == 0u);
  BOOST_TEST(fleet.CanForgetWorker("w1"));
}

// A leaving VM must get no new tasks, and its batch tasks must be checkpointed.
BOOST_FIXTURE_TEST_CASE(leaving_vm_is_vacated, fixture) {
  ClaimWorker("w1");
  Place("b/0");
  ExecuteCommands("w1");
  RenewLease("w1");
  AcceptEvents();
  Place("b/1");
  AddWorker("w1", vm_state::kLeaving);
  BOOST_TEST(EventState() == kFailed);
  const auto commands = ExecuteCommands("w1");
  BOOST_REQUIRE(commands.size() == 1u);
  BOOST_TEST((commands[0].mode == stop_mode::kCheckpoint));
  BOOST_TEST((Place("b/2").status == wire::place_status::wait));
}

}  // namespace
}  // namespace apricotwheel

// An owner of a partition that is cut off together with a worker, and its
// successor.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "workers/worker_fleet.h"

namespace apricotwheel {
namespace {

constexpr auto kStep = milliseconds(500);

// Two fleets that own the same partition, one after the other. The worker "w1"
// is a clock and one lease.
struct cut_rig {
  clock_ptr clock = runtime_clock::Paused();
  worker_fleet earlier{Options()};
  worker_fleet later{Options()};
  std::int64_t lease_expires_at_ms = 0;
  worker_snapshot worker;
  worker_fleet::shard_epochs shard_epochs{};

  worker_fleet_options Options() const {
    worker_fleet_options options;
    options.clock = clock;
    return options;
  }
  static vm_record Vm() {
    return {"w1", "127.0.0.1:1", "a", "r", vm_state::kLive, {4000, 8000, 0}};
  }
  std::int64_t NowMs() const {
    return std::chrono::duration_cast<milliseconds>(
               clock->Now().time_since_epoch())
        .count();
  }
  bool IsTaskRunning() const { return NowMs() < lease_expires_at_ms; }

  // The earlier owner claims the worker and starts a task there.
  void StartTask() {
    earlier.UpsertWorker(Vm(), "a/r", 1, nullptr);
    worker.capacity = {4000, 8000, 0};
    worker.worker_clock_ms = NowMs();
    earlier.OnWorkerClaimed("w1", worker, clock->Now());
    wire::place_requestT request;
    wire::taskT task;
    task.task_id = "t/0";
    task.job_id = "t";
    task.shard_epoch = 1;
    task.need = std::make_unique<wire::resources>(1000, 100, 0);
    request.tasks.push_back(std::make_unique<wire::taskT>(task));
    earlier.PlaceTasks(request, shard_epochs);
    for (const auto& command : earlier.TakeCommands("w1")) {
      task_status status;
      status.spec = command.spec;
      worker.tasks.push_back(status);
      lease_expires_at_ms = command.expires_at_ms;
      earlier.OnStartResponse("w1", command, outcome<task_status>{status, {}});
    }
    BOOST_REQUIRE(IsTaskRunning());
  }
  // The earlier owner reaches the worker, which has seen no later epoch.
  void RenewFromEarlier() {
    const auto request = earlier.PrepareRenewal("w1");
    lease_expires_at_ms = std::max(lease_expires_at_ms, request.expires_at_ms);
    worker.worker_clock_ms = NowMs();
    earlier.OnLeaseRenewed("w1", request, worker, clock->Now(), clock->Now());
  }
  bool IsLaterInventoryComplete() {
    wire::inventory_requestT request;
    request.shard_epoch = 2;
    const auto response = later.BuildInventory(
        request, {{{"a/r", {"w1"}}}, true, {}, {{"a/r", 2}}}, shard_epochs);
    return response.partitions.at(0)->complete;
  }
};

// Guards against a task that runs twice because an owner that is cut off with a
// worker goes on renewing its leases, while the successor takes the worker for
// free after one lease.
BOOST_FIXTURE_TEST_CASE(no_inventory_is_complete_while_a_task_runs, cut_rig) {
  StartTask();
  later.UpsertWorker(Vm(), "a/r", 2, nullptr);
  later.OnWorkerUnreachable("w1");
  for (int i = 0; i < 120; ++i) {
    clock->Advance(kStep);
    RenewFromEarlier();
    later.OnWorkerUnreachable("w1");
    later.ProcessTimeouts();
    const bool is_taken_for_free = IsLaterInventoryComplete();
    BOOST_REQUIRE(!(is_taken_for_free && IsTaskRunning()));
    if (is_taken_for_free) break;
  }
  // Work must not stop for good either.
  BOOST_TEST(IsLaterInventoryComplete());
}

}  // namespace
}  // namespace apricotwheel

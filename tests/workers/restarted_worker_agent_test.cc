// A worker agent that starts again under its VM id, while the fleet computes
// with the clock of the agent before.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "workers/worker_fleet.h"

namespace apricotwheel {
namespace {

constexpr auto kStep = milliseconds(500);
const std::string kTaskId = "t/0";
constexpr std::int64_t kUptimeMs = 1'000'000;  // Of the agent before.

// One agent process as docs/contracts/worker.md has it: a clock and at most
// one task with its lease.
struct agent {
  std::int64_t clock_offset_ms = 0;
  std::optional<task_status> task;
  std::int64_t lease_expires_at_ms = 0;
};

struct restart_rig {
  clock_ptr clock = runtime_clock::Paused();
  worker_fleet fleet{[this] {
    worker_fleet_options options;
    options.clock = clock;
    return options;
  }()};
  worker_fleet::shard_epochs shard_epochs{};
  std::int64_t started_at_ms = NowMs();
  agent process{kUptimeMs, {}, 0};

  std::int64_t NowMs() const {
    return std::chrono::duration_cast<milliseconds>(
               clock->Now().time_since_epoch())
        .count();
  }
  std::int64_t AgentClockMs() const {
    return NowMs() - started_at_ms + process.clock_offset_ms;
  }
  bool IsTaskRunning() const {
    return process.task && process.task->state == task_state::kRunning &&
           AgentClockMs() < process.lease_expires_at_ms;
  }
  worker_snapshot Snapshot() const {
    worker_snapshot snapshot;
    snapshot.worker_clock_ms = AgentClockMs();
    snapshot.capacity = {4000, 8000, 0};
    if (process.task) {
      snapshot.tasks.push_back(*process.task);
      if (process.task->state == task_state::kRunning && !IsTaskRunning()) {
        snapshot.tasks.back().state = task_state::kStopped;
      }
    }
    return snapshot;
  }
  void ClaimWorker() {
    fleet.UpsertWorker(
        {"w1", "127.0.0.1:1", "a", "r", vm_state::kLive, {4000, 8000, 0}},
        "a/r", 1, nullptr);
    fleet.OnWorkerClaimed("w1", Snapshot(), clock->Now());
  }
  // Places the task and returns its start, which has not been sent yet.
  worker_command PrepareStart() {
    wire::place_requestT request;
    wire::taskT task;
    task.task_id = kTaskId;
    task.job_id = "t";
    task.shard_epoch = 1;
    task.need = std::make_unique<wire::resources>(1000, 100, 0);
    request.tasks.push_back(std::make_unique<wire::taskT>(task));
    fleet.PlaceTasks(request, shard_epochs);
    const auto commands = fleet.TakeCommands("w1");
    BOOST_REQUIRE(commands.size() == 1u);
    return commands.front();
  }
  // Replaces the process by one whose clock is at `clock_ms`. Its predecessor's
  // task has ended with it.
  void RestartAgent(std::int64_t clock_ms) {
    clock->Advance(kStep);
    process = agent{clock_ms - (NowMs() - started_at_ms), {}, 0};
  }
  // Handles a start as requirements 2, 4 and 5 say.
  void HandleStart(const worker_command& command) {
    if (AgentClockMs() >= command.expires_at_ms || process.task) return;
    process.task.emplace().spec = command.spec;
    process.lease_expires_at_ms = command.expires_at_ms;
  }
  void StartTask() {
    const auto start = PrepareStart();
    HandleStart(start);
    BOOST_REQUIRE(IsTaskRunning());
    fleet.OnStartResponse("w1", start, outcome<task_status>{*process.task, {}});
  }
  void HandleRenewal(const renewal_request& request) {
    if (IsTaskRunning()) {
      process.lease_expires_at_ms =
          std::max(process.lease_expires_at_ms, request.expires_at_ms);
    } else if (process.task &&
               std::ranges::count(request.acknowledged, kTaskId) > 0) {
      process.task.reset();
    }
  }
  void RenewLease() {
    const auto request = fleet.PrepareRenewal("w1");
    HandleRenewal(request);
    fleet.OnLeaseRenewed("w1", request, Snapshot(), clock->Now(), clock->Now());
  }
  void AcceptEvents() {
    fleet.OnEventsAccepted(fleet.PendingEvents(), std::vector{kTaskId});
  }
  // Returns true once the fleet has reported the end of the task, after which
  // the shard owner starts it elsewhere.
  bool IsTaskEnded() const {
    return std::ranges::any_of(fleet.PendingEvents(), [](const auto& event) {
      return event.state != static_cast<int>(task_state::kRunning);
    });
  }
  // The fleet does not reach the worker until it reports the end of the task.
  void CutUntilTaskEnds() {
    for (int i = 0; i < 120 && !IsTaskEnded(); ++i) {
      clock->Advance(kStep);
      fleet.OnWorkerUnreachable("w1");
      fleet.ProcessTimeouts();
    }
  }
};

const error kTimeoutError{error_kind::kTimeout, "no reply", ""};

// Guards against a check that fails without a restart, too.
BOOST_FIXTURE_TEST_CASE(task_of_one_process_has_ended_when_it_counts_as_ended,
                        restart_rig) {
  ClaimWorker();
  StartTask();
  RenewLease();
  CutUntilTaskEnds();
  BOOST_TEST(IsTaskEnded());
  BOOST_TEST(!IsTaskRunning());
}

// Guards against a check that fails for any restart: the expiry in the start
// bounds a run on a clock that goes on.
BOOST_FIXTURE_TEST_CASE(start_answered_by_an_agent_whose_clock_goes_on,
                        restart_rig) {
  ClaimWorker();
  const auto start = PrepareStart();
  RestartAgent(kUptimeMs + 500);
  HandleStart(start);
  BOOST_REQUIRE(IsTaskRunning());
  fleet.OnStartResponse("w1", start, outcome<task_status>{*process.task, {}});
  RenewLease();
  CutUntilTaskEnds();
  BOOST_TEST(IsTaskEnded());
  BOOST_TEST(!IsTaskRunning());
}

// Guards against a task that runs twice because its lost start still takes
// effect on a clock that is ahead, where it counts as expired at once.
BOOST_FIXTURE_TEST_CASE(lost_start_expires_on_a_clock_that_is_ahead,
                        restart_rig) {
  ClaimWorker();
  const auto start = PrepareStart();
  fleet.OnStartResponse("w1", start, outcome<task_status>{{}, kTimeoutError});
  RestartAgent(2 * kUptimeMs);
  RenewLease();
  BOOST_TEST(IsTaskEnded());
  HandleStart(start);
  BOOST_TEST(!IsTaskRunning());
}

// Guards against a task that runs twice because the lease in its start is a
// time on the clock of the agent before, which the next agent reaches much
// later than the fleet computes.
BOOST_FIXTURE_TEST_CASE(start_answered_by_the_next_agent, restart_rig) {
  ClaimWorker();
  const auto start = PrepareStart();
  RestartAgent(0);
  HandleStart(start);
  BOOST_REQUIRE(IsTaskRunning());
  fleet.OnStartResponse("w1", start, outcome<task_status>{*process.task, {}});
  RenewLease();
  CutUntilTaskEnds();
  // Work must not stop for good either.
  BOOST_TEST(IsTaskEnded());
  BOOST_TEST(!(IsTaskEnded() && IsTaskRunning()));
}

// Guards against a task that runs twice because a start that got no response is
// handled by the next agent after the fleet has counted it as expired.
BOOST_FIXTURE_TEST_CASE(start_handled_late_by_the_next_agent, restart_rig) {
  ClaimWorker();
  const auto start = PrepareStart();
  RestartAgent(0);
  fleet.OnStartResponse("w1", start, outcome<task_status>{{}, kTimeoutError});
  CutUntilTaskEnds();
  BOOST_TEST(IsTaskEnded());
  HandleStart(start);
  BOOST_TEST(!IsTaskRunning());
}

// Guards against a task that waits for the uptime of the agent before: its
// start was lost, and the expiry is compared with the clock of the next agent.
BOOST_FIXTURE_TEST_CASE(lost_start_is_settled_after_a_restart, restart_rig) {
  ClaimWorker();
  const auto start = PrepareStart();
  fleet.OnStartResponse("w1", start, outcome<task_status>{{}, kTimeoutError});
  RestartAgent(0);
  for (int i = 0; i < 120 && !IsTaskEnded(); ++i) {
    clock->Advance(kStep);
    RenewLease();
  }
  BOOST_TEST(IsTaskEnded());
}

// Guards against a run that ends as finished and starts again because an
// acknowledgement of the attempt before, meant for the agent before, removes
// its end.
BOOST_FIXTURE_TEST_CASE(acknowledgement_handled_late_by_the_next_agent,
                        restart_rig) {
  ClaimWorker();
  StartTask();
  process.task->state = task_state::kCheckpointed;
  clock->Advance(kStep);
  RenewLease();
  AcceptEvents();
  const auto late_renewal = fleet.PrepareRenewal("w1");
  BOOST_REQUIRE(late_renewal.acknowledged == std::vector{kTaskId});
  fleet.OnWorkerUnreachable("w1");
  RestartAgent(kUptimeMs + 1000);
  RenewLease();
  StartTask();
  process.task->state = task_state::kFinished;
  HandleRenewal(late_renewal);
  clock->Advance(kStep);
  RenewLease();
  const auto events = fleet.PendingEvents();
  BOOST_REQUIRE(events.size() == 1u);
  BOOST_TEST(events.front().state == static_cast<int>(task_state::kFinished));
}

}  // namespace
}  // namespace apricotwheel

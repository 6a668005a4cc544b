#include "pools/pool_owner.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "tests/graph/scheduler_rig.h"
#include "tests/pools/fake_agent.h"
#include "tests/pools/fake_store.h"

namespace apricotwheel {
namespace {

using testing::commit_fault;
using testing::fake_agent;
using testing::fake_store;
using testing::MakeJob;
using testing::MakeStep;

constexpr resource_vector kSmall{1000, 1024, 0};
constexpr auto kTimeout = std::chrono::seconds(5);
constexpr auto kConfirmationInterval = milliseconds(500);
// Nothing listens there.
constexpr const char* kClosedAddress = "127.0.0.1:1";
const std::string kOwnerKey = "owners/pool";

struct rig {
  fake_store store;
  std::unique_ptr<kv_client> kv = store.Client();
  clock_ptr clock;
  duration task_lease;
  fake_agent agent{runtime_clock::Running()};
  fake_agent second_agent{runtime_clock::Running()};  // Of the worker "second".
  platform_services platform;
  std::atomic<int> superseded_count = 0;
  std::uint64_t epoch = 0;
  pool_metrics metrics{std::make_shared<prometheus::Registry>()};
  std::unique_ptr<pool_owner> owner;

  explicit rig(clock_ptr owner_clock = runtime_clock::Running(),
               duration lease = milliseconds(6000))
      : clock(std::move(owner_clock)), task_lease(lease) {
    platform.connect_agent = [this](const pool_worker& worker) {
      if (worker.id == "second") return second_agent.Link();
      auto link = agent.Link();
      if (worker.id == "gone") {
        link->poll = [](const poll_request&) -> result<worker_report> {
          return Fail(error_kind::kUnavailable, "refused", "wait");
        };
      }
      return link;
    };
    StartOwner();
  }
  ~rig() { owner->Stop(); }

  // Starts an owner. Later calls replace the owner by its successor.
  void StartOwner() {
    if (owner) owner->Stop();
    epoch = store.Put(kOwnerKey, "owner");
    pool_owner_options options;
    options.pool = "pool";
    options.epoch = epoch;
    options.owner_key = kOwnerKey;
    options.member_id = "member";
    options.confirmation_interval = kConfirmationInterval;
    options.task_lease = task_lease;
    options.kv = kv.get();
    options.metrics = &metrics;
    options.platform = &platform;
    options.members = [] { return std::vector<std::string>{"member"}; };
    options.on_superseded = [this] { ++superseded_count; };
    options.clock = clock;
    owner = std::make_unique<pool_owner>(std::move(options));
    BOOST_REQUIRE(Attempt([&] { return owner->Start(); }));
    owner->SetWorkers({{"w1", WorkerOf("w1", "")}});
  }

  static pool_worker WorkerOf(const std::string& id,
                              const std::string& address) {
    pool_worker worker;
    worker.id = id;
    worker.pool = "pool";
    worker.address = address;
    worker.capacity = {4000, 16'384, 0};
    worker.incarnation = 1;
    return worker;
  }

  time_point Deadline() const { return clock->Now() + duration(kTimeout); }
  template <class Predicate>
  bool Eventually(Predicate condition) {
    // The clock of the owner may be paused.
    const auto running = runtime_clock::Running();
    const auto until = running->Now() + duration(kTimeout);
    while (!condition() && running->Now() < until) {
      running->SleepFor(milliseconds(2));
    }
    return condition();
  }
  job_call_response Submit(const std::string& id, std::uint32_t tasks = 1) {
    return owner->Submit(MakeJob(id, {MakeStep(tasks, kSmall)}), Deadline());
  }
};

double PassCount(rig& cell) {
  return static_cast<double>(
      cell.metrics.pass_seconds.Collect().histogram.sample_count);
}

// Guards against a scheduling pass for each event: the owner of 252 busy
// workers made 900 passes a second, each of which walks all workers and jobs.
BOOST_AUTO_TEST_CASE(events_close_together_share_a_pass) {
  constexpr int kJobs = 20;
  constexpr auto kStep = milliseconds(10);
  const auto clock = runtime_clock::Paused();
  rig cell(clock);
  cell.Submit("first");
  BOOST_TEST(cell.Eventually([&] {
    clock->Advance(kStep);
    return cell.agent.RunCount() == 1;
  }));
  // The report of the start is handled before the count begins.
  runtime_clock::Running()->SleepFor(milliseconds(100));
  const double before = PassCount(cell);
  for (int i = 0; i < kJobs; ++i) {
    cell.Submit("job-" + std::to_string(i));
    runtime_clock::Running()->SleepFor(milliseconds(2));
  }
  BOOST_TEST(PassCount(cell) - before <= 1);
  clock->Advance(kStep);
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 4; }));
  BOOST_TEST(PassCount(cell) - before <= 3);
}

BOOST_AUTO_TEST_CASE(a_job_runs_to_its_end) {
  rig cell;
  BOOST_TEST((cell.Submit("job", 2).status == job_call_status::kAccepted));
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 2; }));
  cell.agent.EndAllRuns(run_outcome::kDone);
  BOOST_TEST(cell.Eventually(
      [&] { return cell.owner->State("job").state == job_state::kCompleted; }));
  BOOST_TEST(
      cell.Eventually([&] { return cell.agent.AcknowledgedEnd() == 2; }));
}

// Guards against a pool that moves because the store is slow: while the worker
// list is stored, the owner takes no decisions.
BOOST_AUTO_TEST_CASE(a_slow_store_is_no_lack_of_processor_time) {
  constexpr auto kStoreDelay = milliseconds(400);
  rig cell;
  BOOST_TEST((cell.Submit("job").status == job_call_status::kAccepted));
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 1; }));
  cell.owner->TakeMeanDecisionDelay();
  cell.store.SetDelay(kStoreDelay);
  cell.owner->SetWorkers(
      {{"w1", rig::WorkerOf("w1", "")}, {"w2", rig::WorkerOf("w2", "")}});
  cell.clock->SleepFor(kStoreDelay / 4);
  cell.agent.EndAllRuns(run_outcome::kDone);
  duration longest{};
  BOOST_TEST(cell.Eventually([&] {
    longest = std::max(longest, cell.owner->TakeMeanDecisionDelay());
    return cell.owner->State("job").state == job_state::kCompleted;
  }));
  BOOST_TEST((longest < kStoreDelay / 4));
}

// Guards against starts above a capacity that has shrunk: the listing was not
// applied as long as the worker list with a new worker could not be stored.
BOOST_AUTO_TEST_CASE(a_smaller_capacity_needs_no_store) {
  rig cell;
  BOOST_TEST((cell.Submit("job", 5).status == job_call_status::kAccepted));
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 4; }));
  cell.store.FailNext(commit_fault::kUnavailable, 10'000);
  pool_worker smaller = rig::WorkerOf("w1", "");
  smaller.capacity.cpu_milli = 1000;
  cell.owner->SetWorkers({{"w1", smaller}, {"w2", rig::WorkerOf("w2", "")}});
  cell.clock->SleepFor(milliseconds(50));
  cell.agent.EndOneRun(run_outcome::kDone);
  // The owner gives up storing the list after 3 s and runs a pass.
  cell.clock->SleepFor(milliseconds(3500));
  BOOST_TEST(cell.agent.RunCount() == 3);
}

// Guards against loaded jobs that wait for ever for a worker that left before a
// takeover, and against jobs that do not wait for it: that discovery does not
// list it and nothing listens at the stored address may be a cut.
BOOST_AUTO_TEST_CASE(
    a_worker_that_left_before_a_takeover_blocks_jobs_for_a_time) {
  constexpr auto kLease = milliseconds(1500);
  const duration span = AuthoritySpan(kLease, kConfirmationInterval);
  rig cell(runtime_clock::Running(), kLease);
  cell.owner->SetWorkers({{"gone", rig::WorkerOf("gone", kClosedAddress)}});
  BOOST_TEST(cell.Eventually([&] {
    return cell.store.Value("apricotwheel/rosters/pool").find("gone") !=
           std::string::npos;
  }));
  BOOST_TEST((cell.Submit("job").status == job_call_status::kAccepted));
  const auto taken_at = cell.clock->Now();
  cell.StartOwner();
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 1; }));
  BOOST_TEST((cell.clock->Now() - taken_at >= span));
  BOOST_TEST((cell.clock->Now() - taken_at < span + milliseconds(1000)));
}

// Guards against taking a refused connection for the exit of the worker. A cut
// by resets refused connections to a worker that ran on; its tasks were started
// again at once, and its own runs were neither counted nor stopped afterwards.
BOOST_AUTO_TEST_CASE(tasks_of_a_worker_that_refuses_connections_run_once) {
  constexpr auto kCut = milliseconds(1500);
  rig cell;
  cell.owner->SetWorkers({{"w1", rig::WorkerOf("w1", kClosedAddress)}});
  BOOST_TEST((cell.Submit("job").status == job_call_status::kAccepted));
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 1; }));
  const auto run = cell.agent.LastRunNumber();
  cell.agent.RejectCalls(error_kind::kUnavailable);
  cell.clock->SleepFor(kCut);
  cell.agent.RejectCalls(std::nullopt);
  cell.clock->SleepFor(kCut);
  BOOST_TEST(cell.agent.RunCount() == 1);
  BOOST_TEST(cell.agent.LastRunNumber() == run);
  cell.agent.EndAllRuns(run_outcome::kDone);
  BOOST_TEST(cell.Eventually(
      [&] { return cell.owner->State("job").state == job_state::kCompleted; }));
}

// Guards against two runs of a task at once, and against a start after an end
// that was acknowledged: an owner that was cut off by resets took all of its
// workers for exited, and started their tasks again when it was back.
BOOST_AUTO_TEST_CASE(an_owner_cut_off_from_all_workers_starts_nothing_again) {
  constexpr auto kCut = milliseconds(1500);
  constexpr std::uint32_t kTasks = 8;  // Both workers are full.
  rig cell;
  cell.owner->SetWorkers({{"w1", rig::WorkerOf("w1", kClosedAddress)},
                          {"second", rig::WorkerOf("second", kClosedAddress)}});
  BOOST_TEST((cell.Submit("job", kTasks).status == job_call_status::kAccepted));
  BOOST_TEST(cell.Eventually([&] {
    return cell.agent.RunCount() + cell.second_agent.RunCount() == kTasks;
  }));
  cell.agent.RejectCalls(error_kind::kUnavailable);
  cell.second_agent.RejectCalls(error_kind::kUnavailable);
  cell.clock->SleepFor(kCut);
  cell.agent.EndAllRuns(run_outcome::kDone);
  cell.agent.RejectCalls(std::nullopt);
  cell.second_agent.RejectCalls(std::nullopt);
  cell.clock->SleepFor(kCut);
  BOOST_TEST(cell.agent.RunCount() == 0);
  BOOST_TEST(cell.second_agent.RunCount() == kTasks / 2);
  cell.second_agent.EndAllRuns(run_outcome::kDone);
  BOOST_TEST(cell.Eventually(
      [&] { return cell.owner->State("job").state == job_state::kCompleted; }));
}

// Guards against tasks that crash one worker after the other without limit: the
// workers came back under other ids at their addresses, so that neither a new
// incarnation nor a refused connection showed the crash. It is also proof, so
// that the leases need not expire.
BOOST_AUTO_TEST_CASE(a_worker_whose_address_is_reused_has_crashed) {
  constexpr auto kBelowLease = milliseconds(3000);
  for (const error_kind failure :
       {error_kind::kUnavailable, error_kind::kNotFound}) {
    rig cell;
    const pool_worker first = rig::WorkerOf("w1", kClosedAddress);
    cell.owner->SetWorkers({{"w1", first}});
    BOOST_TEST((cell.Submit("job").status == job_call_status::kAccepted));
    BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 1; }));
    cell.agent.RejectCalls(failure);
    pool_worker later = rig::WorkerOf("second", kClosedAddress);
    later.incarnation = first.incarnation + 1;
    const auto started_at = cell.clock->Now();
    cell.owner->SetWorkers({{"w1", first}, {"second", later}});
    BOOST_TEST(
        cell.Eventually([&] { return cell.second_agent.RunCount() == 1; }));
    BOOST_TEST((cell.clock->Now() - started_at < kBelowLease));
    BOOST_TEST(cell.metrics.worker_crashes.Value() == 1);
  }
}

// The same if discovery lists no other worker at the address, because it lags
// or the address went elsewhere.
BOOST_AUTO_TEST_CASE(a_worker_at_whose_address_another_answers_has_crashed) {
  constexpr auto kBelowLease = milliseconds(3000);
  rig cell;
  const pool_worker first = rig::WorkerOf("w1", "");
  cell.owner->SetWorkers({{"w1", first}});
  BOOST_TEST((cell.Submit("job").status == job_call_status::kAccepted));
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 1; }));
  cell.owner->SetWorkers(
      {{"w1", first}, {"second", rig::WorkerOf("second", "")}});
  const auto started_at = cell.clock->Now();
  cell.agent.RejectCalls(error_kind::kNotFound);
  BOOST_TEST(
      cell.Eventually([&] { return cell.second_agent.RunCount() == 1; }));
  BOOST_TEST((cell.clock->Now() - started_at < kBelowLease));
  BOOST_TEST(cell.metrics.worker_crashes.Value() == 1);
}

// Guards against taking a missing entry for the exit of a draining worker. The
// entry had expired in an outage of the store, and the tasks of the worker,
// which ran on, were started elsewhere at once.
BOOST_AUTO_TEST_CASE(tasks_of_a_draining_worker_without_an_entry_run_once) {
  constexpr auto kAbsence = milliseconds(1000);
  rig cell;
  BOOST_TEST((cell.Submit("job").status == job_call_status::kAccepted));
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 1; }));
  pool_worker draining = rig::WorkerOf("w1", "");
  draining.is_draining = true;
  const pool_worker second = rig::WorkerOf("second", "");
  cell.owner->SetWorkers({{"w1", draining}, {"second", second}});
  cell.clock->SleepFor(kAbsence);
  cell.owner->SetWorkers({{"second", second}});
  cell.clock->SleepFor(kAbsence);
  BOOST_TEST(cell.second_agent.RunCount() == 0);
  cell.owner->SetWorkers({{"w1", draining}, {"second", second}});
  cell.clock->SleepFor(kAbsence);
  BOOST_TEST(cell.agent.RunCount() == 1);
  BOOST_TEST(cell.second_agent.RunCount() == 0);
  cell.agent.EndAllRuns(run_outcome::kDone);
  BOOST_TEST(cell.Eventually(
      [&] { return cell.owner->State("job").state == job_state::kCompleted; }));
}

// Guards against showing a result before it is stored. While the store rejected
// an owner, it showed a job as completed; its successor did not know of the
// ends on a worker that had left, and ran a task again.
BOOST_AUTO_TEST_CASE(a_result_is_shown_once_it_is_stored) {
  rig cell;
  BOOST_TEST((cell.Submit("job", 2).status == job_call_status::kAccepted));
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 2; }));
  cell.store.SetUnresponsive(true);
  cell.agent.EndAllRuns(run_outcome::kDone);
  cell.clock->SleepFor(milliseconds(300));
  BOOST_TEST((cell.owner->State("job").state == job_state::kActive));
  cell.store.SetUnresponsive(false);
  BOOST_TEST(cell.Eventually(
      [&] { return cell.owner->State("job").state == job_state::kCompleted; }));
}

// Guards against a job that fails in its own partition by the word of a host
// that has not stored the failure: the host may have a successor.
BOOST_AUTO_TEST_CASE(a_host_reports_a_failure_once_it_is_stored) {
  rig cell;
  job_submission loan = MakeJob("job", {MakeStep(1, kSmall)});
  loan.queue.max_attempts = 1;
  loan.guest = guest_tasks{"pool~1", {{0, 0, 0, 0}}};
  const auto host = [&] { return cell.owner->Host(loan, cell.Deadline()); };
  BOOST_TEST((cell.owner->Submit(loan, cell.Deadline()).status ==
              job_call_status::kAccepted));
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 1; }));
  cell.store.SetUnresponsive(true);
  cell.agent.EndAllRuns(run_outcome::kFailed);
  cell.clock->SleepFor(milliseconds(300));
  BOOST_TEST((host().state == job_state::kActive));
  cell.store.SetUnresponsive(false);
  BOOST_TEST(
      cell.Eventually([&] { return host().state == job_state::kFailed; }));
}

// Guards against stop orders of a cancelled job that are not sent: the worker
// id was read from an order that had been moved.
BOOST_AUTO_TEST_CASE(a_cancelled_job_is_stopped_on_its_worker) {
  rig cell;
  cell.Submit("job", 2);
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 2; }));
  const auto response = cell.owner->Cancel("job", cell.Deadline());
  BOOST_TEST((response.status == job_call_status::kCancelled));
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 0; }));
  BOOST_TEST((cell.owner->State("job").state == job_state::kCancelled));
  // The response means that the cancellation is stored.
  BOOST_TEST(cell.store.Value(ProgressKey("pool", "job")).find("cancelled") !=
             std::string::npos);
}

// Guards against a cancellation without an answer although its result was
// stored: it waited until the progress of all other jobs was stored too.
BOOST_AUTO_TEST_CASE(a_cancellation_waits_only_for_its_own_result) {
  rig cell;
  cell.Submit("job");
  BOOST_TEST((cell.owner->Cancel("job", cell.Deadline()).status ==
              job_call_status::kCancelled));
  cell.Submit("other", 2);
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 2; }));
  cell.store.SetUnresponsive(true);
  cell.agent.EndAllRuns(run_outcome::kDone);
  cell.clock->SleepFor(milliseconds(300));
  const auto repeated = cell.owner->Cancel(
      "job", cell.clock->Now() + duration(milliseconds(300)));
  BOOST_TEST((repeated.status == job_call_status::kCancelled));
  cell.store.SetUnresponsive(false);
}

BOOST_AUTO_TEST_CASE(an_unknown_job_is_absent) {
  rig cell;
  cell.Submit("job");
  BOOST_TEST((cell.owner->State("other").status == job_call_status::kAbsent));
  BOOST_TEST((cell.owner->Cancel("other", cell.Deadline()).status ==
              job_call_status::kAbsent));
}

// The next owner adopts the running tasks and starts none twice.
BOOST_AUTO_TEST_CASE(a_successor_adopts_running_tasks) {
  rig cell;
  cell.Submit("job", 3);
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 3; }));
  cell.StartOwner();
  BOOST_TEST(cell.Eventually([&] {
    return cell.owner->State("job").status == job_call_status::kState;
  }));
  cell.Submit("next");
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 4; }));
  cell.agent.EndAllRuns(run_outcome::kDone);
  BOOST_TEST(cell.Eventually(
      [&] { return cell.owner->State("job").state == job_state::kCompleted; }));
  BOOST_TEST(cell.agent.RunCount() == 0);
}

// Guards against a pool that nobody owns for good: the first write of a new
// owner got no response and was applied late, after the owner had read the
// journal again. It took the conflict for a successor's and gave the pool up.
BOOST_AUTO_TEST_CASE(an_owner_loads_after_its_own_late_write) {
  rig cell;
  cell.Submit("job");
  BOOST_TEST(cell.Eventually([&] { return cell.agent.RunCount() == 1; }));
  int applied = 0;
  cell.owner->Stop();
  const std::string journal = "apricotwheel/journals/pool";
  cell.store.AfterNextGetOf(journal, [&] {
    cell.store.FailNext(commit_fault::kDelayed);
    cell.store.AfterNextGetOf(journal,
                              [&] { applied = cell.store.ApplyDelayed(); });
  });
  cell.StartOwner();
  BOOST_TEST(cell.Eventually([&] {
    return cell.owner->State("job").status == job_call_status::kState;
  }));
  BOOST_TEST(applied == 1);
  BOOST_TEST(cell.superseded_count == 0);
  BOOST_TEST((cell.Submit("next").status == job_call_status::kAccepted));
}

// An owner that is succeeded while it loads reports that.
BOOST_AUTO_TEST_CASE(an_owner_that_is_succeeded_while_it_loads_gives_up) {
  rig cell;
  cell.owner->Stop();
  cell.store.AfterNextGet([&] { cell.store.Put(kOwnerKey, "successor"); });
  cell.StartOwner();
  BOOST_TEST(cell.Eventually([&] { return cell.superseded_count > 0; }));
  BOOST_TEST((cell.Submit("job").status != job_call_status::kAccepted));
}

// An owner whose worker obeys a higher epoch reports that it is superseded.
BOOST_AUTO_TEST_CASE(a_refused_epoch_ends_the_ownership) {
  rig cell;
  cell.agent.ObeyEpoch(cell.epoch + 100);
  cell.Submit("job");
  BOOST_TEST(cell.Eventually([&] { return cell.superseded_count > 0; }));
  BOOST_TEST(cell.agent.RunCount() == 0);
}

// A pool of one worker with work for over ten seconds, of which the agent ends
// some at a time.
struct overloaded_rig : rig {
  static constexpr int kJobs = 30;
  static constexpr std::uint32_t kTasksPerJob = 50;

  overloaded_rig() {
    for (int i = 0; i < kJobs; ++i) {
      BOOST_TEST((Submit("job-" + std::to_string(i), kTasksPerJob).status ==
                  job_call_status::kAccepted));
    }
  }
  // Submits jobs until one is refused, and returns its response. Null if none
  // is refused in time.
  std::optional<job_call_response> SubmitUntilRefused() {
    constexpr auto kInterval = milliseconds(50);
    const auto until = Deadline();
    for (int i = 0; clock->Now() < until; ++i) {
      clock->SleepFor(kInterval);
      agent.EndAllRuns(run_outcome::kDone);
      refused_id = "probe-" + std::to_string(i);
      const auto response = Submit(refused_id);
      if (response.status == job_call_status::kRefused) return response;
    }
    return std::nullopt;
  }

  std::string refused_id;
};

// Guards against an owner that accepts what it cannot serve: the objective is
// 3 s, and the work ahead of the job takes more than three times as long. The
// refused job is not stored.
BOOST_FIXTURE_TEST_CASE(a_job_that_would_be_too_late_is_refused,
                        overloaded_rig) {
  const auto response = SubmitUntilRefused();
  BOOST_REQUIRE(response);
  BOOST_TEST(response->retry_after_ms >= 1000);
  BOOST_TEST(response->retry_after_ms <= 2000);
  BOOST_TEST(!response->reason.empty());
  BOOST_TEST(metrics.overload_refusals.Value() == 1);
  BOOST_TEST(!store.Has(JobKey("pool", refused_id)));
  BOOST_TEST((owner->State(refused_id).status == job_call_status::kAbsent));
}

// Guards against refusals that are not true or not meant: a repeated submission
// of a job that is stored, jobs with lasting tasks, and scheduled jobs.
BOOST_FIXTURE_TEST_CASE(an_overloaded_owner_accepts_what_has_to_be,
                        overloaded_rig) {
  BOOST_REQUIRE(SubmitUntilRefused());
  BOOST_TEST((Submit("job-7").status == job_call_status::kAccepted));
  job_submission lasting = MakeJob("lasting", {MakeStep(2, kSmall)});
  lasting.graph.steps.front().is_service = true;
  BOOST_TEST((owner->Submit(lasting, Deadline()).status ==
              job_call_status::kAccepted));
  job_submission scheduled = MakeJob("scheduled", {MakeStep(2, kSmall)});
  scheduled.graph.schedule = {3, WallClockMs() + 60'000, 1000};
  BOOST_TEST((owner->Submit(scheduled, Deadline()).status ==
              job_call_status::kAccepted));
  BOOST_TEST((Submit("another").status == job_call_status::kRefused));
}

// During a planned stop the owner accepts no jobs, and the accepted ones are
// stored.
BOOST_AUTO_TEST_CASE(a_quiesced_owner_accepts_no_jobs) {
  rig cell;
  cell.Submit("job");
  cell.owner->Quiesce(cell.Deadline());
  BOOST_TEST((cell.Submit("late").status == job_call_status::kUnavailable));
  BOOST_TEST(!cell.store.Has(JobKey("pool", "late")));
  BOOST_TEST(cell.store.Has(JobKey("pool", "job")));
}

}  // namespace
}  // namespace apricotwheel

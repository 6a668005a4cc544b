#include <boost/test/unit_test.hpp>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel {
namespace {

using testing::MakeJob;
using testing::MakeStep;
using testing::scheduler_rig;

constexpr resource_vector kSmall{1000, 1024, 0};
constexpr resource_vector kWorker{4000, 16'384, 0};
constexpr auto kCalmTime = std::chrono::seconds(60);
const task_key kTask{"job", 0, 0, 0};

reported_run RunOf(std::uint64_t number) {
  reported_run run;
  run.task = kTask;
  run.run = number;
  return run;
}

void StartNothing(scheduler_rig& rig, const start_order& order,
                  start_result result) {
  rig.scheduler.OnStartResult(order, result, rig.now);
  rig.AdvanceClock(milliseconds(1));
}

// Lets passes and reports go on until a start is carried out.
bool StartsWithin(scheduler_rig& rig, duration limit) {
  const time_point end = rig.now + limit;
  const std::size_t before = rig.starts.size();
  while (rig.now < end && rig.starts.size() == before) {
    rig.DecideAndCarryOut();
    rig.ReportAll();
    rig.AdvanceClock(milliseconds(100));
  }
  return rig.starts.size() > before;
}

// The leases of w1 count as expired while run 1 goes on there, run 2 is refused
// by w2, and w1 lists run 1 again.
scheduler_rig RigWithOldRunAdopted(start_result refusal, bool is_service) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  graph_step step = MakeStep(1, kSmall);
  step.is_service = is_service;
  rig.scheduler.AdmitJob(MakeJob("job", {step}), rig.now);
  rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(rig.CountRunningTasks(), 1);
  rig.scheduler.ExpireWorkerLeases("w1", false, rig.now);
  rig.AddWorker("w2", kWorker);
  const auto decisions = rig.Decide();
  BOOST_REQUIRE_EQUAL(decisions.starts.size(), 1);
  BOOST_REQUIRE_EQUAL(decisions.starts[0].run, 2);
  StartNothing(rig, decisions.starts[0], refusal);
  rig.ReportWorker("w1");
  return rig;
}

// Guards against a task that never starts again: it was placed under an adopted
// run whose number is lower than that of a run which was refused later, and the
// end of the adopted run did not count.
BOOST_AUTO_TEST_CASE(a_task_starts_again_after_an_adopted_run_has_ended) {
  for (const auto refusal :
       {start_result::kNoRoom, start_result::kUnhealthy,
        start_result::kOutdatedRun, start_result::kUnreachable}) {
    for (const auto outcome : {run_outcome::kLeaseExpired, run_outcome::kFailed,
                               run_outcome::kStopped}) {
      for (const bool is_service : {false, true}) {
        scheduler_rig rig = RigWithOldRunAdopted(refusal, is_service);
        rig.EndRun("w1", kTask, outcome);
        rig.ReportWorker("w1");
        BOOST_TEST_CONTEXT(ToString(refusal) << ", " << ToString(outcome)) {
          BOOST_TEST(StartsWithin(rig, kCalmTime));
        }
      }
    }
  }
}

// The same if the adopted run is not listed any more.
BOOST_AUTO_TEST_CASE(a_task_starts_again_after_an_adopted_run_is_missing) {
  scheduler_rig rig = RigWithOldRunAdopted(start_result::kNoRoom, false);
  rig.agents["w1"].running.clear();
  rig.AdvanceClock(milliseconds(10));
  rig.ReportWorker("w1");
  BOOST_TEST(StartsWithin(rig, kCalmTime));
}

// Guards against a suspect that keeps a worker to itself for good: its survival
// did not count while a higher run number than that of the adopted run was
// known.
BOOST_AUTO_TEST_CASE(a_suspect_under_an_adopted_run_is_cleared) {
  std::size_t cleared = 0;
  pool_scheduler_options options;
  options.log = [&](const log_event& event) {
    cleared += event.kind.name == std::string_view("graph_task_cleared");
  };
  scheduler_rig rig(std::move(options));
  rig.AddWorker("w1", kWorker);
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(1, kSmall)}), rig.now);
  rig.DecideAndCarryOut();
  rig.ReportWorker("w1");
  // The worker crashes under run 1.
  rig.agents["w1"].running.clear();
  rig.agents["w1"].info.incarnation = 2;
  rig.scheduler.SetWorker(rig.agents["w1"].info, rig.now);
  rig.ReportWorker("w1");
  rig.AdvanceClock(milliseconds(1500));
  BOOST_REQUIRE(StartsWithin(rig, kCalmTime));
  BOOST_REQUIRE_EQUAL(rig.agents["w1"].running.at(kTask).run, 2);
  rig.scheduler.ExpireWorkerLeases("w1", false, rig.now);
  rig.AddWorker("w2", kWorker);
  const auto decisions = rig.Decide();
  BOOST_REQUIRE_EQUAL(decisions.starts.size(), 1);
  StartNothing(rig, decisions.starts[0], start_result::kNoRoom);
  rig.ReportWorker("w1");
  BOOST_TEST(!StartsWithin(rig, std::chrono::seconds(10)));
  BOOST_TEST(cleared == 1);
}

scheduler_rig SuccessorWithTwoWorkers() {
  pool_scheduler_options options;
  options.run_number_base = 1000;
  options.earlier_workers = {"w1", "w2"};
  options.earlier_leases_expire_at =
      time_point(std::chrono::hours(1)) + std::chrono::seconds(9);
  scheduler_rig rig(std::move(options));
  rig.AddWorker("w1", kWorker, false);
  rig.AddWorker("w2", kWorker, false);
  const job_submission job = MakeJob("job", {MakeStep(1, kSmall)});
  job_progress progress = InitialProgress(job.graph);
  progress.state = job_state::kActive;
  progress.has_started = true;
  rig.scheduler.RestoreJob(job, std::move(progress), rig.now);
  rig.agents["w1"].running[kTask] = RunOf(5);
  rig.agents["w2"].running[kTask] = RunOf(7);
  return rig;
}

// The same at a successor that learns of a run with a higher number after it
// has adopted one with a lower number.
BOOST_AUTO_TEST_CASE(a_successor_starts_a_task_again_after_two_listed_runs) {
  for (const bool has_ended : {true, false}) {
    scheduler_rig rig = SuccessorWithTwoWorkers();
    if (has_ended) rig.EndRun("w2", kTask, run_outcome::kLeaseExpired);
    rig.ReportWorker("w1");
    rig.ReportWorker("w2");
    // Stops run 7 if it is still listed.
    rig.DecideAndCarryOut();
    rig.ReportWorker("w2");
    rig.EndRun("w1", kTask, run_outcome::kLeaseExpired);
    rig.ReportWorker("w1");
    BOOST_TEST_CONTEXT((has_ended ? "ended" : "stopped")) {
      BOOST_TEST(StartsWithin(rig, kCalmTime));
    }
  }
}

// Guards against a task that runs twice: its adopted run has ended, and another
// run of it is still being stopped on another worker.
BOOST_AUTO_TEST_CASE(a_task_waits_for_the_end_of_each_of_its_runs) {
  scheduler_rig rig = SuccessorWithTwoWorkers();
  // The best fit for the task.
  rig.AddWorker("w3", kSmall);
  rig.ReportWorker("w1");
  rig.ReportWorker("w2");
  rig.EndRun("w1", kTask, run_outcome::kFailed);
  rig.ReportWorker("w1");
  const auto decisions = rig.Decide();
  BOOST_TEST(decisions.starts.empty());
  BOOST_REQUIRE_EQUAL(decisions.stops.size(), 1);
  rig.EndRun("w2", kTask, run_outcome::kStopped);
  rig.ReportWorker("w2");
  BOOST_TEST(StartsWithin(rig, kCalmTime));
}

}  // namespace
}  // namespace apricotwheel

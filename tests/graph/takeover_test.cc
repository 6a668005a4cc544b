#include <boost/test/unit_test.hpp>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel {
namespace {

using testing::MakeJob;
using testing::MakeStep;
using testing::RunsAt;
using testing::scheduler_rig;

constexpr resource_vector kSmall{1000, 1024, 0};
constexpr resource_vector kWorker{4000, 16'384, 0};
constexpr std::uint64_t kEarlierRuns = 1000;

pool_scheduler_options Successor(std::set<std::string> earlier_workers) {
  pool_scheduler_options options;
  options.run_number_base = kEarlierRuns;
  options.earlier_leases_expire_at =
      time_point(std::chrono::hours(1)) + std::chrono::seconds(9);
  options.earlier_workers = std::move(earlier_workers);
  return options;
}

void Restore(scheduler_rig& rig, const job_submission& job,
             std::vector<std::uint64_t> failed_runs = {}) {
  job_progress progress = InitialProgress(job.graph);
  progress.state = job_state::kActive;
  progress.has_started = true;
  progress.occurrences[0][0].failed_runs[0] = std::move(failed_runs);
  rig.scheduler.RestoreJob(job, std::move(progress), rig.now);
}

reported_run RunOf(const std::string& job, std::uint32_t index,
                   std::uint64_t number) {
  reported_run run;
  run.task = {job, 0, 0, index};
  run.run = number;
  return run;
}

// Guards against a task that runs twice because a successor starts it while a
// worker that may run it for the earlier owner has not reported.
BOOST_AUTO_TEST_CASE(loaded_jobs_wait_for_all_earlier_workers) {
  scheduler_rig rig(Successor({"w1", "w2"}));
  rig.AddWorker("w1", kWorker);
  rig.AddWorker("w2", kWorker, false);
  Restore(rig, MakeJob("job", {MakeStep(1, kSmall)}));
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
  rig.agents["w2"].running[{"job", 0, 0, 0}] = RunOf("job", 0, 5);
  rig.ReportWorker("w2");
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
  rig.EndAll(run_outcome::kDone);
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kCompleted));
}

// The same for a worker that discovery no longer lists: tasks of loaded jobs
// wait until its leases have certainly expired. New jobs must not wait.
BOOST_AUTO_TEST_CASE(
    a_missing_worker_delays_loaded_jobs_until_its_leases_expire) {
  scheduler_rig rig(Successor({"w1", "gone"}));
  rig.AddWorker("w1", kWorker);
  Restore(rig, MakeJob("loaded", {MakeStep(1, kSmall)}));
  rig.scheduler.AdmitJob(MakeJob("fresh", {MakeStep(1, kSmall)}), rig.now);
  const auto decisions = rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(decisions.starts.size(), 1);
  BOOST_TEST(decisions.starts[0].task.job_id == "fresh");
  BOOST_TEST((rig.scheduler.NextDecisionAt(rig.now) <=
              time_point(std::chrono::hours(1)) + std::chrono::seconds(9)));
  rig.AdvanceClock(std::chrono::seconds(10));
  const auto later = rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(later.starts.size(), 1);
  BOOST_TEST(later.starts[0].run > kEarlierRuns);
}

// The same for a worker that discovery drops during the takeover. Discovery
// drops workers after a few missed heartbeats, even if they are only cut off
// from it and still run tasks of the earlier owner.
BOOST_AUTO_TEST_CASE(a_delisted_worker_still_delays_loaded_jobs) {
  scheduler_rig rig(Successor({"w1", "w2"}));
  rig.AddWorker("w1", kWorker);
  rig.AddWorker("w2", kWorker, false);
  Restore(rig, MakeJob("job", {MakeStep(1, kSmall)}));
  rig.scheduler.RemoveWorker("w2");
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
  BOOST_TEST(rig.scheduler.MayHaveRuns("w2", rig.now));
  // It reports although it is not listed.
  rig.agents["w2"].running[{"job", 0, 0, 0}] = RunOf("job", 0, 5);
  rig.ReportWorker("w2");
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
  BOOST_TEST(rig.scheduler.CountRuns("w2") == 1);
  rig.EndAll(run_outcome::kDone);
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kCompleted));
}

// Guards against an unnecessary wait for leases when an owner and a worker are
// killed at about the same time: discovery has not listed the worker for some
// seconds, and its address refuses connections.
BOOST_AUTO_TEST_CASE(an_exited_worker_does_not_delay_loaded_jobs) {
  scheduler_rig rig(Successor({"w1", "w2"}));
  rig.AddWorker("w1", kWorker);
  rig.AddWorker("w2", kWorker, false);
  Restore(rig, MakeJob("job", {MakeStep(1, kSmall)}));
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
  rig.scheduler.ExpireWorkerLeases("w2", false, rig.now);
  BOOST_TEST(rig.DecideAndCarryOut().starts.size() == 1);
}

// Guards against an attempt too many after a takeover. An owner without a
// connection to the store cannot store a failure but starts the next run. If
// the successor first receives the report with the newer run, it must still
// count the failure of the older one.
BOOST_AUTO_TEST_CASE(unacknowledged_failures_count_in_any_order) {
  scheduler_rig rig(Successor({"w1", "w2"}));
  rig.AddWorker("w1", kWorker, false);
  rig.AddWorker("w2", kWorker, false);
  Restore(rig, MakeJob("job", {MakeStep(1, kSmall)}), {1});
  rig.agents["w2"].running[{"job", 0, 0, 0}] = RunOf("job", 0, 3);
  rig.agents["w1"].running[{"job", 0, 0, 0}] = RunOf("job", 0, 2);
  rig.EndRun("w1", {"job", 0, 0, 0}, run_outcome::kFailed);
  rig.ReportWorker("w2");
  rig.ReportWorker("w1");
  rig.EndRun("w2", {"job", 0, 0, 0}, run_outcome::kFailed);
  rig.ReportWorker("w2");
  rig.AdvanceClock(std::chrono::seconds(10));
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kFailed));
}

// Guards against a failure that is counted twice, so that a job fails too
// early. In a rolling restart, an owner may store a failure and exit before it
// acknowledges the end; the worker then lists the end again to the successor.
BOOST_AUTO_TEST_CASE(a_stored_failure_is_not_counted_again) {
  scheduler_rig rig(Successor({"w1"}));
  rig.AddWorker("w1", kWorker, false);
  Restore(rig, MakeJob("job", {MakeStep(1, kSmall)}), {1, 2});
  rig.agents["w1"].running[{"job", 0, 0, 0}] = RunOf("job", 0, 2);
  rig.EndRun("w1", {"job", 0, 0, 0}, run_outcome::kFailed);
  rig.ReportWorker("w1");
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kActive));
  BOOST_TEST(rig.DecideAndCarryOut().starts.size() == 1);
}

// Guards against an attempt of a gang that counts as several failures because
// several members failed in it.
BOOST_AUTO_TEST_CASE(an_attempt_of_a_gang_fails_once) {
  scheduler_rig rig(Successor({"w1"}));
  rig.AddWorker("w1", kWorker, false);
  graph_step gang = MakeStep(3, kSmall);
  gang.is_gang = true;
  Restore(rig, MakeJob("gang", {gang}));
  for (std::uint32_t i = 0; i < 3; ++i) {
    rig.agents["w1"].running[{"gang", 0, 0, i}] = RunOf("gang", i, 7);
    rig.EndRun("w1", {"gang", 0, 0, i}, run_outcome::kFailed);
  }
  rig.ReportWorker("w1");
  BOOST_TEST((rig.scheduler.FindJobState("gang") == job_state::kActive));
  const auto batch = rig.StoreProgress();
  BOOST_REQUIRE_EQUAL(batch.jobs.size(), 1);
  BOOST_TEST(
      RunsAt(batch.jobs[0].progress.occurrences[0][0].failed_runs, 0).size() ==
      1);
}

// Guards against a completed task that runs again because the earlier owner did
// not store its end.
BOOST_AUTO_TEST_CASE(unacknowledged_results_are_taken_over) {
  scheduler_rig rig(Successor({"w1"}));
  rig.AddWorker("w1", kWorker, false);
  Restore(rig, MakeJob("job", {MakeStep(2, kSmall)}));
  rig.agents["w1"].running[{"job", 0, 0, 0}] = RunOf("job", 0, 1);
  rig.EndRun("w1", {"job", 0, 0, 0}, run_outcome::kDone);
  rig.ReportWorker("w1");
  const auto decisions = rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(decisions.starts.size(), 1);
  BOOST_TEST(decisions.starts[0].task.index == 1);
}

// Guards against runs of unknown jobs that go on forever, and against tasks
// that are placed beside such a run, whose resource use is unknown.
BOOST_AUTO_TEST_CASE(runs_of_unknown_jobs_are_stopped) {
  scheduler_rig rig(Successor({"w1"}));
  rig.AddWorker("w1", kWorker, false);
  rig.agents["w1"].running[{"nobody", 0, 0, 0}] = RunOf("nobody", 0, 1);
  rig.ReportWorker("w1");
  rig.scheduler.AdmitJob(MakeJob("fresh", {MakeStep(1, kSmall)}), rig.now);
  const auto decisions = rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(decisions.stops.size(), 1);
  BOOST_TEST(decisions.starts.empty());
  rig.ReportWorker("w1");
  BOOST_TEST(rig.DecideAndCarryOut().starts.size() == 1);
}

// Guards against a gang that stays incomplete because the earlier owner started
// only some members. They are stopped and the whole gang starts again.
BOOST_AUTO_TEST_CASE(a_partly_started_gang_is_restarted) {
  scheduler_rig rig(Successor({"w1"}));
  rig.AddWorker("w1", kWorker, false);
  graph_step gang = MakeStep(2, kSmall);
  gang.is_gang = true;
  Restore(rig, MakeJob("gang", {gang}));
  rig.agents["w1"].running[{"gang", 0, 0, 0}] = RunOf("gang", 0, 7);
  rig.ReportWorker("w1");
  rig.DecideAndCarryOut();
  rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(rig.stops.size(), 1);
  rig.ReportWorker("w1");
  const auto again = rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(again.starts.size(), 2);
  BOOST_TEST(again.starts[0].run == again.starts[1].run);
}

// Guards against refusals after a takeover on a pool with room: loaded jobs
// that wait for a silent worker were taken for a backlog that the pool cannot
// drain.
BOOST_AUTO_TEST_CASE(loaded_jobs_that_must_wait_are_no_overload) {
  constexpr int kLoadedJobs = 100;
  constexpr int kPasses = 300;
  constexpr int kPassesPerNewJob = 10;
  scheduler_rig rig(Successor({"w1", "silent"}));
  rig.AddWorker("w1", {100'000, 65'536, 0});
  for (int i = 0; i < kLoadedJobs; ++i) {
    Restore(rig, MakeJob("job" + std::to_string(i), {MakeStep(10, kSmall)}));
  }
  const auto new_job = MakeJob("new", {MakeStep(1, kSmall)});
  for (int i = 0; i < kPasses; ++i) {
    rig.AdvanceClock(milliseconds(10));
    if (i % kPassesPerNewJob == 0) {
      rig.scheduler.AdmitJob(
          MakeJob("new" + std::to_string(i), {MakeStep(1, kSmall)}), rig.now);
    }
    rig.DecideAndCarryOut();
    rig.EndAll(run_outcome::kDone);
    BOOST_REQUIRE(!rig.scheduler.FindOverload(new_job, rig.now));
  }
}

// Guards against a daemon that follows a deleted job after a takeover: a job
// whose only start had ended with its worker, unanswered, was moved to another
// partition, and the list of jobs with crashed tasks kept its address (review
// case 9).
BOOST_AUTO_TEST_CASE(a_job_that_was_ordered_before_is_not_moved) {
  scheduler_rig rig(Successor({}));
  rig.AddWorker("w1", kWorker);
  for (const char* id : {"crashed", "untouched"}) {
    const job_submission job = MakeJob(id, {MakeStep(1, kSmall)});
    job_progress progress = InitialProgress(job.graph);
    if (job.id == "crashed") progress.occurrences[0][0].excused_runs[0] = {5};
    rig.scheduler.RestoreJob(job, std::move(progress), rig.now);
  }
  const auto held = rig.scheduler.HoldJobs(
      100, 100, [](std::string_view) { return true; }, rig.now);
  BOOST_REQUIRE_EQUAL(held.size(), 1);
  BOOST_TEST(held[0].id == "untouched");
  rig.scheduler.RemoveMovedJob("untouched");
  rig.scheduler.RemoveMovedJob("crashed");
  BOOST_TEST(rig.scheduler.Audit().deleted_jobs == 0);
  rig.Decide();
}

}  // namespace
}  // namespace apricotwheel

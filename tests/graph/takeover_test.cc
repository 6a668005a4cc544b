#include <boost/test/unit_test.hpp>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel {
namespace {

using testing::JobOf;
using testing::scheduler_rig;
using testing::StepOf;

constexpr resource_vector kSmall{1000, 1024, 0};
constexpr resource_vector kWorker{4000, 16'384, 0};
constexpr std::uint64_t kEarlierRuns = 1000;

pool_scheduler_options Successor(std::set<std::string> earlier_workers) {
  pool_scheduler_options options;
  options.run_base = kEarlierRuns;
  options.lapsed_at =
      time_point(std::chrono::hours(1)) + std::chrono::seconds(9);
  options.earlier_workers = std::move(earlier_workers);
  return options;
}

void Restore(scheduler_rig& rig, const job_submission& job,
             std::vector<std::uint64_t> failed_runs = {}) {
  job_progress progress = FreshProgress(job.graph);
  progress.state = job_state::kActive;
  progress.has_started = true;
  progress.occurrences[0][0].failed_runs[0] = std::move(failed_runs);
  rig.scheduler.Restore(job, std::move(progress), rig.now);
}

reported_run RunOf(const std::string& job, std::uint32_t index,
                   std::uint64_t number) {
  reported_run run;
  run.task = {job, 0, 0, index};
  run.run = number;
  return run;
}

// A successor starts no task of an earlier owner's job while a worker that may
// run it has not answered.
BOOST_AUTO_TEST_CASE(loaded_jobs_wait_for_all_earlier_workers) {
  scheduler_rig rig(Successor({"w1", "w2"}));
  rig.AddWorker("w1", kWorker);
  rig.AddWorker("w2", kWorker, false);
  Restore(rig, JobOf("job", {StepOf(1, kSmall)}));
  BOOST_TEST(rig.Step().starts.empty());
  rig.agents["w2"].running[{"job", 0, 0, 0}] = RunOf("job", 0, 5);
  rig.Report("w2");
  BOOST_TEST(rig.Step().starts.empty());
  rig.EndAll(run_end::kDone);
  BOOST_TEST((rig.scheduler.StateOf("job") == job_state::kCompleted));
}

// A worker that an earlier owner used and discovery no longer names holds them
// up until its leases have surely ended.
BOOST_AUTO_TEST_CASE(a_missing_worker_holds_up_loaded_jobs_until_it_lapsed) {
  scheduler_rig rig(Successor({"w1", "gone"}));
  rig.AddWorker("w1", kWorker);
  Restore(rig, JobOf("loaded", {StepOf(1, kSmall)}));
  rig.scheduler.Admit(JobOf("fresh", {StepOf(1, kSmall)}), rig.now);
  const auto made = rig.Step();
  BOOST_REQUIRE_EQUAL(made.starts.size(), 1);
  BOOST_TEST(made.starts[0].task.job_id == "fresh");
  BOOST_TEST((rig.scheduler.NextDue(rig.now) <=
              time_point(std::chrono::hours(1)) + std::chrono::seconds(9)));
  rig.Pass(std::chrono::seconds(10));
  const auto later = rig.Step();
  BOOST_REQUIRE_EQUAL(later.starts.size(), 1);
  BOOST_TEST(later.starts[0].run > kEarlierRuns);
}

// Discovery drops a worker after a few missed heartbeats, also one that is cut
// off and goes on running what the earlier owner ordered.
BOOST_AUTO_TEST_CASE(a_worker_that_is_delisted_still_holds_up_loaded_jobs) {
  scheduler_rig rig(Successor({"w1", "w2"}));
  rig.AddWorker("w1", kWorker);
  rig.AddWorker("w2", kWorker, false);
  Restore(rig, JobOf("job", {StepOf(1, kSmall)}));
  rig.scheduler.RemoveWorker("w2");
  BOOST_TEST(rig.Step().starts.empty());
  BOOST_TEST(rig.scheduler.MayRunOn("w2", rig.now));
  // It answers after all, without being listed.
  rig.agents["w2"].running[{"job", 0, 0, 0}] = RunOf("job", 0, 5);
  rig.Report("w2");
  BOOST_TEST(rig.Step().starts.empty());
  BOOST_TEST(rig.scheduler.RunsOn("w2") == 1);
  rig.EndAll(run_end::kDone);
  BOOST_TEST((rig.scheduler.StateOf("job") == job_state::kCompleted));
}

// Pattern: an owner and a worker are killed within the same second. Nothing
// listens at the worker's address, so nothing runs there, and the jobs that the
// owner left need not wait for the leases.
BOOST_AUTO_TEST_CASE(a_worker_that_has_exited_settles_at_once) {
  scheduler_rig rig(Successor({"w1", "w2"}));
  rig.AddWorker("w1", kWorker);
  rig.AddWorker("w2", kWorker, false);
  Restore(rig, JobOf("job", {StepOf(1, kSmall)}));
  BOOST_TEST(rig.Step().starts.empty());
  rig.scheduler.Lapsed("w2", rig.now);
  BOOST_TEST(rig.Step().starts.size() == 1);
}

// Found on a day on which an owner lost the store: it could not store the end
// of a failed run and had started the next one; the successor heard of the
// newer run first, did not count the failure and started a fourth.
BOOST_AUTO_TEST_CASE(unacknowledged_failures_count_in_any_order) {
  scheduler_rig rig(Successor({"w1", "w2"}));
  rig.AddWorker("w1", kWorker, false);
  rig.AddWorker("w2", kWorker, false);
  Restore(rig, JobOf("job", {StepOf(1, kSmall)}), {1});
  rig.agents["w2"].running[{"job", 0, 0, 0}] = RunOf("job", 0, 3);
  rig.agents["w1"].running[{"job", 0, 0, 0}] = RunOf("job", 0, 2);
  rig.End("w1", {"job", 0, 0, 0}, run_end::kFailed);
  rig.Report("w2");
  rig.Report("w1");
  rig.End("w2", {"job", 0, 0, 0}, run_end::kFailed);
  rig.Report("w2");
  rig.Pass(std::chrono::seconds(10));
  BOOST_TEST(rig.Step().starts.empty());
  BOOST_TEST((rig.scheduler.StateOf("job") == job_state::kFailed));
}

// Found on a day of rolling restarts: an earlier owner had stored a failure and
// ended before it acknowledged it; the worker listed it again, its successor
// counted it again, and the job was shown as failed too soon.
BOOST_AUTO_TEST_CASE(a_stored_failure_is_not_counted_again) {
  scheduler_rig rig(Successor({"w1"}));
  rig.AddWorker("w1", kWorker, false);
  Restore(rig, JobOf("job", {StepOf(1, kSmall)}), {1, 2});
  rig.agents["w1"].running[{"job", 0, 0, 0}] = RunOf("job", 0, 2);
  rig.End("w1", {"job", 0, 0, 0}, run_end::kFailed);
  rig.Report("w1");
  BOOST_TEST((rig.scheduler.StateOf("job") == job_state::kActive));
  BOOST_TEST(rig.Step().starts.size() == 1);
}

// Several members of a gang may fail in one attempt, which is one failure.
BOOST_AUTO_TEST_CASE(an_attempt_of_a_gang_fails_once) {
  scheduler_rig rig(Successor({"w1"}));
  rig.AddWorker("w1", kWorker, false);
  graph_step gang = StepOf(3, kSmall);
  gang.is_gang = true;
  Restore(rig, JobOf("gang", {gang}));
  for (std::uint32_t at = 0; at < 3; ++at) {
    rig.agents["w1"].running[{"gang", 0, 0, at}] = RunOf("gang", at, 7);
    rig.End("w1", {"gang", 0, 0, at}, run_end::kFailed);
  }
  rig.Report("w1");
  BOOST_TEST((rig.scheduler.StateOf("gang") == job_state::kActive));
  const auto batch = rig.Store();
  BOOST_REQUIRE_EQUAL(batch.jobs.size(), 1);
  BOOST_TEST(batch.jobs[0].progress.occurrences[0][0].failed_runs[0].size() ==
             1);
}

// A "done" that the earlier owner did not store counts for its successor.
BOOST_AUTO_TEST_CASE(unacknowledged_results_are_taken_over) {
  scheduler_rig rig(Successor({"w1"}));
  rig.AddWorker("w1", kWorker, false);
  Restore(rig, JobOf("job", {StepOf(2, kSmall)}));
  rig.agents["w1"].running[{"job", 0, 0, 0}] = RunOf("job", 0, 1);
  rig.End("w1", {"job", 0, 0, 0}, run_end::kDone);
  rig.Report("w1");
  const auto made = rig.Step();
  BOOST_REQUIRE_EQUAL(made.starts.size(), 1);
  BOOST_TEST(made.starts[0].task.index == 1);
}

// Runs of jobs that are unknown or over are stopped, and no work goes to the
// worker while an unknown run takes room there.
BOOST_AUTO_TEST_CASE(stray_runs_are_stopped) {
  scheduler_rig rig(Successor({"w1"}));
  rig.AddWorker("w1", kWorker, false);
  rig.agents["w1"].running[{"nobody", 0, 0, 0}] = RunOf("nobody", 0, 1);
  rig.Report("w1");
  rig.scheduler.Admit(JobOf("fresh", {StepOf(1, kSmall)}), rig.now);
  const auto made = rig.Step();
  BOOST_REQUIRE_EQUAL(made.stops.size(), 1);
  BOOST_TEST(made.starts.empty());
  rig.Report("w1");
  BOOST_TEST(rig.Step().starts.size() == 1);
}

// A gang of which the earlier owner started only a part is stopped and started
// again whole.
BOOST_AUTO_TEST_CASE(a_gang_that_was_started_in_part_is_started_anew) {
  scheduler_rig rig(Successor({"w1"}));
  rig.AddWorker("w1", kWorker, false);
  graph_step gang = StepOf(2, kSmall);
  gang.is_gang = true;
  Restore(rig, JobOf("gang", {gang}));
  rig.agents["w1"].running[{"gang", 0, 0, 0}] = RunOf("gang", 0, 7);
  rig.Report("w1");
  rig.Step();
  rig.Step();
  BOOST_REQUIRE_EQUAL(rig.stops.size(), 1);
  rig.Report("w1");
  const auto again = rig.Step();
  BOOST_REQUIRE_EQUAL(again.starts.size(), 2);
  BOOST_TEST(again.starts[0].run == again.starts[1].run);
}

}  // namespace
}  // namespace apricotwheel

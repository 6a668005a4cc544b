#include "graph/pool_scheduler.h"

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

// Guards against a step that starts before all tasks of the steps that it
// depends on are done, and against a job that completes early.
BOOST_AUTO_TEST_CASE(steps_follow_their_order) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.scheduler.AdmitJob(
      MakeJob("job", {MakeStep(2, kSmall), MakeStep(1, kSmall, {0})}), rig.now);
  rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(rig.starts.size(), 2);
  rig.EndRun("w1", rig.starts[0].task, run_outcome::kDone);
  rig.ReportWorker("w1");
  rig.DecideAndCarryOut();
  BOOST_TEST(rig.starts.size() == 2);
  rig.EndRun("w1", rig.starts[1].task, run_outcome::kDone);
  rig.ReportWorker("w1");
  rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(rig.starts.size(), 3);
  BOOST_TEST(rig.starts[2].task.step == 1);
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kActive));
  rig.EndAll(run_outcome::kDone);
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kCompleted));
}

// Guards against resources that are given away before a stopped run has ended.
// A confirmed stop is not enough; the worker must list the end.
BOOST_AUTO_TEST_CASE(stopping_runs_keep_their_resources) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.scheduler.AdmitJob(MakeJob("first", {MakeStep(4, kSmall)}), rig.now);
  rig.DecideAndCarryOut();
  rig.scheduler.AdmitJob(MakeJob("second", {MakeStep(4, kSmall)}), rig.now);
  BOOST_TEST(rig.scheduler.CancelJob("first", rig.now));
  const auto decisions = rig.Decide();
  BOOST_TEST(decisions.stops.size() == 4);
  BOOST_TEST(decisions.starts.empty());
  for (const auto& order : decisions.stops) {
    rig.scheduler.OnStopResult(order, true, rig.now);
  }
  BOOST_TEST(rig.Decide().starts.empty());
  rig.EndRun("w1", decisions.stops[0].task, run_outcome::kStopped);
  rig.ReportWorker("w1");
  BOOST_TEST(rig.Decide().starts.size() == 1);
}

// Guards against a run of a cancelled job that goes on because a stop order
// failed, and against stop orders after its end.
BOOST_AUTO_TEST_CASE(a_failed_stop_is_repeated) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(1, kSmall)}), rig.now);
  rig.DecideAndCarryOut();
  rig.scheduler.CancelJob("job", rig.now);
  const auto first = rig.Decide();
  BOOST_REQUIRE_EQUAL(first.stops.size(), 1);
  rig.scheduler.OnStopResult(first.stops[0], false, rig.now);
  rig.AdvanceClock(milliseconds(500));
  const auto second = rig.Decide();
  BOOST_REQUIRE_EQUAL(second.stops.size(), 1);
  rig.scheduler.OnStopResult(second.stops[0], true, rig.now);
  rig.EndAll(run_outcome::kStopped);
  rig.AdvanceClock(std::chrono::seconds(5));
  BOOST_TEST(rig.Decide().stops.empty());
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kCancelled));
}

// Guards against a gang that is started in part when only some members fit. All
// members start together under one run number.
BOOST_AUTO_TEST_CASE(a_gang_starts_whole) {
  scheduler_rig rig;
  rig.AddWorker("w1", {8000, 16'384, 2});
  graph_step gang = MakeStep(2, {1000, 1024, 2});
  gang.is_gang = true;
  rig.scheduler.AdmitJob(MakeJob("gang", {gang}), rig.now);
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
  rig.AddWorker("w2", {8000, 16'384, 2});
  rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(rig.starts.size(), 2);
  BOOST_TEST(rig.starts[0].run == rig.starts[1].run);
}

// Guards against a gang that goes on without a failed member. The attempt fails
// once; the next one has a higher run number and one checkpoint for all
// members.
BOOST_AUTO_TEST_CASE(a_gang_fails_and_restarts_as_a_whole) {
  scheduler_rig rig;
  rig.AddWorker("w1", {8000, 16'384, 2});
  rig.AddWorker("w2", {8000, 16'384, 2});
  graph_step gang = MakeStep(2, {1000, 1024, 2});
  gang.is_gang = true;
  rig.scheduler.AdmitJob(MakeJob("gang", {gang}), rig.now);
  rig.DecideAndCarryOut();
  const auto first = rig.starts;
  rig.EndRun(first[0].worker, first[0].task, run_outcome::kFailed, "a");
  rig.ReportWorker(first[0].worker);
  BOOST_TEST(rig.Decide().starts.empty());
  rig.EndRun(first[1].worker, first[1].task, run_outcome::kGangMemberEnded,
             "b");
  rig.ReportWorker(first[1].worker);
  const auto again = rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(again.starts.size(), 2);
  BOOST_TEST(again.starts[0].run == again.starts[1].run);
  BOOST_TEST(again.starts[0].run > first[0].run);
  BOOST_TEST(again.starts[0].checkpoint == again.starts[1].checkpoint);
  const auto batch = rig.StoreProgress();
  BOOST_REQUIRE_EQUAL(batch.jobs.size(), 1);
  BOOST_TEST(
      RunsAt(batch.jobs[0].progress.occurrences[0][0].failed_runs, 0).size() ==
      1);
}

// Guards against a completed gang that runs again because the ends of some
// members were lost. The members finish together, so one end is enough.
BOOST_AUTO_TEST_CASE(one_done_member_completes_a_gang) {
  scheduler_rig rig;
  rig.AddWorker("w1", {8000, 16'384, 2});
  rig.AddWorker("w2", {8000, 16'384, 2});
  graph_step gang = MakeStep(2, {1000, 1024, 2});
  gang.is_gang = true;
  rig.scheduler.AdmitJob(MakeJob("gang", {gang}), rig.now);
  rig.DecideAndCarryOut();
  rig.EndRun(rig.starts[1].worker, rig.starts[1].task, run_outcome::kDone);
  rig.ReportWorker(rig.starts[1].worker);
  BOOST_TEST((rig.scheduler.FindJobState("gang") == job_state::kCompleted));
  BOOST_TEST(rig.DecideAndCarryOut().stops.empty());
}

BOOST_AUTO_TEST_CASE(a_step_bounds_its_tasks_on_one_worker) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  graph_step step = MakeStep(3, kSmall);
  step.max_per_worker = 2;
  rig.scheduler.AdmitJob(MakeJob("job", {step}), rig.now);
  BOOST_TEST(rig.DecideAndCarryOut().starts.size() == 2);
  rig.AddWorker("w2", kWorker);
  const auto decisions = rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(decisions.starts.size(), 1);
  BOOST_TEST(decisions.starts[0].worker == "w2");
}

BOOST_AUTO_TEST_CASE(a_job_fails_after_its_last_attempt) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(1, kSmall)}), rig.now);
  for (int attempt = 1; attempt <= 3; ++attempt) {
    BOOST_TEST((rig.scheduler.FindJobState("job") != job_state::kFailed));
    rig.AdvanceClock(std::chrono::seconds(10));
    rig.DecideAndCarryOut();
    BOOST_TEST(rig.starts.size() == static_cast<std::size_t>(attempt));
    rig.EndAll(run_outcome::kFailed);
  }
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kFailed));
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
}

// Guards against interrupted runs that count as failed attempts, and against
// the loss of their checkpoints.
BOOST_AUTO_TEST_CASE(interrupted_work_resumes_from_its_checkpoint) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(1, kSmall)}), rig.now);
  for (int attempt = 0; attempt < 5; ++attempt) {
    const auto decisions = rig.DecideAndCarryOut();
    BOOST_REQUIRE_EQUAL(decisions.starts.size(), 1);
    BOOST_TEST(decisions.starts[0].checkpoint ==
               (attempt == 0 ? "" : "saved" + std::to_string(attempt)));
    rig.EndRun("w1", decisions.starts[0].task, run_outcome::kLeaseExpired,
               "saved" + std::to_string(attempt + 1));
    rig.ReportWorker("w1");
  }
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kActive));
}

// Guards against a service task that is not started again after it ended, or
// that fails its job after `max_attempts` failures.
BOOST_AUTO_TEST_CASE(service_tasks_are_restarted) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  graph_step step = MakeStep(1, kSmall);
  step.is_service = true;
  rig.scheduler.AdmitJob(MakeJob("job", {step}), rig.now);
  for (const run_outcome outcome :
       {run_outcome::kDone, run_outcome::kFailed, run_outcome::kFailed,
        run_outcome::kFailed, run_outcome::kFailed}) {
    rig.AdvanceClock(std::chrono::seconds(10));
    BOOST_TEST(rig.DecideAndCarryOut().starts.size() == 1);
    rig.EndAll(outcome);
  }
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kActive));
}

// Guards against two runs of a task after a start order without a response,
// which the worker may still carry out. The task is placed again only after the
// worker has confirmed a stop and reported without the run.
BOOST_AUTO_TEST_CASE(a_start_without_a_response_is_stopped_before_the_next) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.AddWorker("w2", kWorker);
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(1, kSmall)}), rig.now);
  const auto decisions = rig.Decide();
  BOOST_REQUIRE_EQUAL(decisions.starts.size(), 1);
  rig.scheduler.OnStartResult(decisions.starts[0], start_result::kUnknown,
                              rig.now);
  const auto stop = rig.Decide();
  BOOST_REQUIRE_EQUAL(stop.stops.size(), 1);
  BOOST_TEST(stop.starts.empty());
  // Before the stop is confirmed, a report without the run proves nothing.
  rig.ReportAll();
  BOOST_TEST(rig.Decide().starts.empty());
  rig.scheduler.OnStopResult(stop.stops[0], true, rig.now);
  rig.AdvanceClock(milliseconds(1));
  rig.ReportAll();
  const auto again = rig.Decide();
  BOOST_REQUIRE_EQUAL(again.starts.size(), 1);
  BOOST_TEST(again.starts[0].run > decisions.starts[0].run);
}

// Guards against tasks of an unreachable worker that are placed again while
// their leases may be valid, and against late results of the expired runs.
BOOST_AUTO_TEST_CASE(the_result_of_an_expired_run_is_ignored) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(1, kSmall)}), rig.now);
  rig.DecideAndCarryOut();
  rig.AddWorker("w2", kWorker);
  rig.AdvanceClock(std::chrono::seconds(3));
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
  rig.scheduler.ExpireWorkerLeases("w1", false, rig.now);
  const auto again = rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(again.starts.size(), 1);
  BOOST_TEST(again.starts[0].worker == "w2");
  rig.EndRun("w1", rig.starts[0].task, run_outcome::kDone);
  rig.ReportWorker("w1");
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kActive));
  rig.EndAll(run_outcome::kDone);
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kCompleted));
}

// Guards against a task that runs again although it has ended: the worker ran
// on after its leases had counted as expired, and its end was acknowledged and
// dropped while the task still waited.
BOOST_AUTO_TEST_CASE(the_end_of_an_expired_run_counts_while_its_task_waits) {
  for (const bool is_gang : {false, true}) {
    scheduler_rig rig;
    rig.AddWorker("w1", kWorker);
    graph_step step = MakeStep(is_gang ? 2 : 1, kSmall);
    step.is_gang = is_gang;
    rig.scheduler.AdmitJob(MakeJob("job", {step}), rig.now);
    rig.DecideAndCarryOut();
    rig.scheduler.ExpireWorkerLeases("w1", false, rig.now);
    rig.EndRun("w1", rig.starts[0].task, run_outcome::kDone);
    rig.ReportWorker("w1");
    BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kCompleted));
  }
}

// Guards against starts after the last attempt: the failure of a run whose
// leases had counted as expired was acknowledged and not counted.
BOOST_AUTO_TEST_CASE(the_failure_of_an_expired_run_counts) {
  for (const bool is_placed_again : {false, true}) {
    scheduler_rig rig;
    rig.AddWorker("w1", kWorker);
    job_submission job = MakeJob("job", {MakeStep(1, kSmall)});
    job.queue.max_attempts = 1;
    rig.scheduler.AdmitJob(job, rig.now);
    rig.DecideAndCarryOut();
    rig.scheduler.ExpireWorkerLeases("w1", false, rig.now);
    if (is_placed_again) {
      rig.AddWorker("w2", kWorker);
      BOOST_REQUIRE_EQUAL(rig.DecideAndCarryOut().starts.size(), 1);
    }
    rig.EndRun("w1", rig.starts[0].task, run_outcome::kFailed);
    rig.ReportWorker("w1");
    BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kFailed));
  }
}

// Guards against runs that use a worker although the scheduler does not count
// them: a worker whose leases had counted as expired listed its runs again, and
// they were neither adopted nor stopped.
BOOST_AUTO_TEST_CASE(a_run_that_outlives_its_lease_is_adopted_or_stopped) {
  for (const bool is_placed_again : {false, true}) {
    scheduler_rig rig;
    rig.AddWorker("w1", kWorker);
    rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(1, kWorker)}), rig.now);
    rig.DecideAndCarryOut();
    rig.scheduler.ExpireWorkerLeases("w1", false, rig.now);
    if (is_placed_again) {
      rig.AddWorker("w2", kWorker);
      BOOST_REQUIRE_EQUAL(rig.DecideAndCarryOut().starts.size(), 1);
    }
    rig.ReportWorker("w1");
    BOOST_TEST(rig.scheduler.CountRuns("w1") == 1);
    rig.scheduler.AdmitJob(MakeJob("next", {MakeStep(1, kWorker)}), rig.now);
    const auto decisions = rig.DecideAndCarryOut();
    BOOST_TEST(decisions.starts.empty());
    BOOST_TEST(decisions.stops.size() == (is_placed_again ? 1 : 0));
    rig.ReportWorker("w1");
    rig.EndAll(run_outcome::kDone);
    BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kCompleted));
  }
}

// Guards against a gang of which one member goes on alone after its leases had
// counted as expired: its other members had been stopped.
BOOST_AUTO_TEST_CASE(a_gang_member_that_outlives_its_lease_is_stopped) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.AddWorker("w2", kWorker);
  graph_step gang = MakeStep(2, kWorker);
  gang.is_gang = true;
  rig.scheduler.AdmitJob(MakeJob("job", {gang}), rig.now);
  BOOST_REQUIRE_EQUAL(rig.DecideAndCarryOut().starts.size(), 2);
  rig.scheduler.ExpireWorkerLeases("w1", false, rig.now);
  rig.ReportWorker("w1");
  rig.DecideAndCarryOut();
  BOOST_TEST(rig.CountRunningTasks() == 0);
  rig.ReportAll();
  BOOST_TEST(rig.DecideAndCarryOut().starts.size() == 2);
}

// Guards against tasks that run twice when a worker restarts. Discovery may
// list the new incarnation before its first report, and a start order may
// already have reached the new agent, so that tasks move only after the report.
BOOST_AUTO_TEST_CASE(a_restarted_worker_reports_before_its_tasks_move) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(2, kSmall)}), rig.now);
  rig.DecideAndCarryOut();
  rig.AddWorker("w2", kWorker);
  auto& restarted = rig.agents["w1"];
  restarted.info.incarnation = 2;
  restarted.running.erase(rig.starts[0].task);
  restarted.last_end_sequence = 0;
  rig.scheduler.SetWorker(restarted.info, rig.now);
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
  rig.ReportWorker("w1");
  const auto decisions = rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(decisions.starts.size(), 1);
  BOOST_TEST((decisions.starts[0].task == rig.starts[0].task));
  BOOST_TEST(rig.CountRunningTasks() == 2);
}

// Guards against ends that are acknowledged before the progress is stored. The
// worker drops acknowledged ends, so a crash of the owner would lose them.
BOOST_AUTO_TEST_CASE(ends_are_acknowledged_after_they_are_stored) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(2, kSmall)}), rig.now);
  rig.DecideAndCarryOut();
  rig.StoreProgress();
  rig.EndRun("w1", rig.starts[0].task, run_outcome::kDone);
  rig.ReportWorker("w1");
  BOOST_TEST(rig.scheduler.LastStoredEnd("w1") == 0);
  BOOST_TEST(rig.scheduler.HasUnstoredEnds("w1"));
  progress_batch failed = rig.scheduler.TakeProgress();
  rig.scheduler.OnProgressNotStored(failed);
  BOOST_TEST(rig.scheduler.LastStoredEnd("w1") == 0);
  const auto batch = rig.StoreProgress();
  BOOST_REQUIRE_EQUAL(batch.jobs.size(), 1);
  BOOST_TEST(batch.jobs[0].progress.occurrences[0][0].done[0]);
  BOOST_TEST(rig.scheduler.LastStoredEnd("w1") == 1);
}

// Guards against a job that runs twice because its submission arrives again,
// also after its end.
BOOST_AUTO_TEST_CASE(a_repeated_submission_is_one_job) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  const auto job = MakeJob("job", {MakeStep(1, kSmall)});
  rig.scheduler.AdmitJob(job, rig.now);
  rig.DecideAndCarryOut();
  rig.scheduler.AdmitJob(job, rig.now);
  rig.DecideAndCarryOut();
  rig.EndAll(run_outcome::kDone);
  rig.scheduler.AdmitJob(job, rig.now);
  rig.DecideAndCarryOut();
  BOOST_TEST(rig.starts.size() == 1);
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kCompleted));
}

// Guards against occurrences of a schedule that start before their due times by
// the wall clock, and against a job that completes before its last occurrence.
BOOST_AUTO_TEST_CASE(occurrences_wait_until_they_are_due) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  auto job = MakeJob("job", {MakeStep(1, kSmall)});
  job.graph.schedule = {2, 10'000, 5000};
  rig.scheduler.AdmitJob(job, rig.now);
  BOOST_TEST(rig.DecideAndCarryOut(9999).starts.empty());
  BOOST_TEST(rig.DecideAndCarryOut(10'000).starts.size() == 1);
  rig.EndAll(run_outcome::kDone);
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kActive));
  BOOST_TEST(rig.DecideAndCarryOut(14'999).starts.empty());
  const auto second = rig.DecideAndCarryOut(15'000);
  BOOST_REQUIRE_EQUAL(second.starts.size(), 1);
  BOOST_TEST(second.starts[0].task.occurrence == 1);
  rig.EndAll(run_outcome::kDone);
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kCompleted));
}

// Guards against tasks with `uses_leftover` on a worker that runs a task with a
// latency target.
BOOST_AUTO_TEST_CASE(leftover_tasks_avoid_workers_with_serving_tasks) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  graph_step serving = MakeStep(1, kSmall);
  serving.is_service = true;
  serving.latency_target_ms = 50;
  graph_step leftover = MakeStep(1, kSmall);
  leftover.uses_leftover = true;
  rig.scheduler.AdmitJob(MakeJob("serving", {serving}), rig.now);
  rig.DecideAndCarryOut();
  rig.scheduler.AdmitJob(MakeJob("leftover", {leftover}), rig.now);
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
  rig.AddWorker("w2", kWorker);
  const auto decisions = rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(decisions.starts.size(), 1);
  BOOST_TEST(decisions.starts[0].worker == "w2");
}

BOOST_AUTO_TEST_CASE(a_draining_worker_gets_no_work) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.agents["w1"].info.is_draining = true;
  rig.scheduler.SetWorker(rig.agents["w1"].info, rig.now);
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(1, kSmall)}), rig.now);
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
}

// Guards against finished jobs that are dropped before the end of the retention
// period, or that are kept in memory or in the store after it.
BOOST_AUTO_TEST_CASE(finished_jobs_are_forgotten_after_their_retention) {
  pool_scheduler_options options;
  options.retention = std::chrono::seconds(100);
  scheduler_rig rig(options);
  rig.AddWorker("w1", kWorker);
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(1, kSmall)}), rig.now);
  rig.DecideAndCarryOut();
  rig.EndAll(run_outcome::kDone);
  rig.StoreProgress();
  rig.AdvanceClock(std::chrono::seconds(99));
  rig.DecideAndCarryOut();
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kCompleted));
  rig.AdvanceClock(std::chrono::seconds(2));
  rig.DecideAndCarryOut();
  BOOST_TEST(!rig.scheduler.FindJobState("job").has_value());
  const auto deletions = rig.StoreProgress().jobs_to_delete;
  BOOST_REQUIRE_EQUAL(deletions.size(), 1);
  BOOST_TEST(deletions[0].job_id == "job");
  BOOST_TEST(!deletions[0].is_guest);
}

// Guards against memory that finished jobs keep, and against a release while
// runs still refer to the job.
BOOST_AUTO_TEST_CASE(finished_jobs_release_their_graphs) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(2, kSmall)}), rig.now);
  rig.DecideAndCarryOut();
  const std::size_t open_bytes = rig.scheduler.JobMemoryBytes();
  BOOST_TEST(rig.scheduler.CancelJob("job", rig.now));
  rig.StoreProgress();
  rig.AdvanceClock(std::chrono::seconds(2));
  rig.Decide();
  BOOST_TEST(rig.scheduler.JobMemoryBytes() == open_bytes);
  rig.EndAll(run_outcome::kStopped);
  rig.StoreProgress();
  rig.AdvanceClock(std::chrono::seconds(2));
  rig.Decide();
  BOOST_TEST(rig.scheduler.JobMemoryBytes() < open_bytes);
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kCancelled));
  // A late copy of a start is stopped like a run of any finished job.
  rig.agents["w1"].running[{"job", 0, 0, 1}] = {{"job", 0, 0, 1}, 7, {}, 0, 0};
  rig.ReportWorker("w1");
  rig.stops.clear();
  rig.Decide();
  BOOST_TEST(rig.stops.size() == 1U);
}

// Guards against starts that are ordered faster than the owner can send them.
// Hundreds queued on a link of 10 Mbit/s, and workers refused them since their
// tickets had expired on the way.
BOOST_AUTO_TEST_CASE(starts_without_an_answer_are_limited) {
  constexpr int kWorkers = 252;
  constexpr std::size_t kMaxStarts = 100;
  constexpr resource_vector kCapacity{16'000, 65'536, 0};
  scheduler_rig rig;
  for (int i = 0; i < kWorkers; ++i) {
    rig.AddWorker("w" + std::to_string(i), kCapacity);
  }
  rig.scheduler.AdmitJob(MakeJob("wide", {MakeStep(1000, {1000, 1024, 0})}),
                         rig.now);
  const auto first = rig.Decide();
  BOOST_TEST(first.starts.size() == kMaxStarts);
  BOOST_TEST(rig.Decide().starts.empty());
  BOOST_TEST(
      (rig.scheduler.NextDecisionAt(rig.now) <= rig.now + milliseconds(10)));
  // Answers make room for as many starts.
  for (std::size_t i = 0; i < 40; ++i) rig.CarryOutStart(first.starts[i]);
  BOOST_TEST(rig.Decide().starts.size() == 40);
  // Silent workers do not hold up the others.
  rig.AdvanceClock(milliseconds(301));
  BOOST_TEST(rig.Decide().starts.size() == kMaxStarts);
}

// Guards against lasting tasks that do not run, and steps that ask for no
// approval, for as long as urgent starts use up the limit.
BOOST_AUTO_TEST_CASE(the_limit_of_starts_holds_up_no_lasting_task) {
  constexpr int kWorkers = 252;
  constexpr resource_vector kCapacity{16'000, 65'536, 0};
  scheduler_rig rig;
  for (int i = 0; i < kWorkers; ++i) {
    rig.AddWorker("w" + std::to_string(i), kCapacity);
  }
  rig.scheduler.AdmitJob(
      MakeJob("urgent", {MakeStep(1000, {1000, 1024, 0})}, 0), rig.now);
  rig.Decide();
  auto lasting = MakeJob("lasting", {MakeStep(3, {1000, 1024, 0})}, 1);
  lasting.graph.steps[0].is_service = true;
  rig.scheduler.AdmitJob(lasting, rig.now);
  auto advised = MakeJob("advised", {MakeStep(3, {1000, 1024, 0})}, 2);
  advised.queue.advisor = advisor_settings{20'000, 300, milliseconds(1500)};
  rig.scheduler.AdmitJob(advised, rig.now);
  const auto decisions = rig.Decide();
  BOOST_REQUIRE_EQUAL(decisions.starts.size(), 3);
  BOOST_TEST(decisions.starts[0].task.job_id == "lasting");
  BOOST_REQUIRE_EQUAL(decisions.approvals.size(), 1);
  BOOST_TEST(decisions.approvals[0].job_id == "advised");
}

}  // namespace
}  // namespace apricotwheel

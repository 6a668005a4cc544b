// Tasks that other partitions of the pool run.
#include <boost/test/unit_test.hpp>
#include <set>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel {
namespace {

using testing::MakeJob;
using testing::MakeStep;
using testing::scheduler_rig;

constexpr resource_vector kSmall{1000, 1024, 0};
constexpr resource_vector kWorker{4000, 16'384, 0};
constexpr auto kStrandedTime = milliseconds(2100);
const std::vector<std::string> kOthers{"pool~1"};

// Lasting tasks of which a worker runs one.
job_submission SpreadJob(std::uint32_t tasks) {
  graph_step step = MakeStep(tasks, kSmall);
  step.is_service = true;
  step.max_per_worker = 1;
  return MakeJob("wide", {step});
}

// A pool of two workers with a job of three such tasks, after a while.
struct lending_rig : scheduler_rig {
  lending_rig() {
    AddWorker("w1", kWorker);
    AddWorker("w2", kWorker);
    scheduler.AdmitJob(SpreadJob(3), now);
    DecideAndCarryOut();
    ReportAll();
  }
  std::size_t LendAfter(duration span) {
    scheduler.LendTasks(kOthers, now);
    AdvanceClock(span);
    DecideAndCarryOut();
    return scheduler.LendTasks(kOthers, now);
  }
};

// Guards against a task that never runs because each worker of its partition
// has one of its step.
BOOST_FIXTURE_TEST_CASE(a_task_without_a_worker_is_lent, lending_rig) {
  BOOST_TEST(CountRunningTasks() == 2U);
  BOOST_TEST(LendAfter(milliseconds(1000)) == 0U);
  AdvanceClock(kStrandedTime);
  BOOST_TEST(scheduler.LendTasks(kOthers, now) == 1U);
  // A successor would not know of it yet.
  BOOST_TEST(scheduler.Loans().empty());
  StoreProgress();
  const auto loans = scheduler.Loans();
  BOOST_REQUIRE_EQUAL(loans.size(), 1);
  BOOST_TEST(loans[0].partition == "pool~1");
  BOOST_TEST(loans[0].job.queue.pool == "pool~1");
  BOOST_TEST(loans[0].job.guest->home == "pool");
  BOOST_REQUIRE_EQUAL(loans[0].job.guest->tasks.size(), 1);
  BOOST_TEST(loans[0].job.guest->tasks[0].index == 2U);
  BOOST_TEST(scheduler.Audit().findings.empty());
  // It runs nowhere else from now on.
  AddWorker("w3", kWorker);
  BOOST_TEST(DecideAndCarryOut().starts.empty());
}

BOOST_FIXTURE_TEST_CASE(a_worker_that_is_not_claimed_may_take_it, lending_rig) {
  AddWorker("w3", kWorker, false);
  BOOST_TEST(LendAfter(kStrandedTime) == 0U);
  ReportWorker("w3");
  DecideAndCarryOut();
  BOOST_TEST(CountRunningTasks() == 3U);
  BOOST_TEST(LendAfter(kStrandedTime) == 0U);
}

// Guards against a successor that runs a lent task a second time.
BOOST_FIXTURE_TEST_CASE(a_successor_knows_what_is_lent, lending_rig) {
  LendAfter(kStrandedTime);
  const progress_batch batch = StoreProgress();
  const job_submission job = SpreadJob(3);
  const auto stored = Attempt([&] {
    return DecodeProgress(EncodeProgress(batch.jobs[0].progress), job.graph);
  });
  BOOST_REQUIRE(stored);
  scheduler_rig next;
  next.scheduler.RestoreJob(job, *stored, next.now);
  for (const char* id : {"w1", "w2", "w3"}) next.AddWorker(id, kWorker);
  BOOST_TEST(next.DecideAndCarryOut().starts.size() == 2U);
  BOOST_TEST(next.scheduler.Loans().size() == 1U);
  BOOST_TEST(next.scheduler.Audit().findings.empty());
}

BOOST_FIXTURE_TEST_CASE(only_the_lent_tasks_run_at_the_host, lending_rig) {
  LendAfter(kStrandedTime);
  StoreProgress();
  const auto sent = Attempt([&] {
    return DecodeSubmission(EncodeSubmission(scheduler.Loans().front().job));
  });
  BOOST_REQUIRE(sent);
  scheduler_rig host;
  for (const char* id : {"v1", "v2", "v3"}) host.AddWorker(id, kWorker);
  BOOST_TEST(!host.scheduler.ExtendGuest(*sent));
  host.scheduler.AdmitJob(*sent, host.now);
  const auto first = host.DecideAndCarryOut().starts;
  BOOST_REQUIRE_EQUAL(first.size(), 1);
  BOOST_TEST(first[0].task.index == 2U);
  BOOST_TEST(host.scheduler.CountPendingJobs("queue") == 0U);
  // The call is repeated, later with another task.
  job_submission more = *sent;
  BOOST_TEST(host.scheduler.ExtendGuest(more));
  BOOST_TEST(host.DecideAndCarryOut().starts.empty());
  more.guest->tasks.push_back({0, 0, 1, 7});
  BOOST_TEST(host.scheduler.ExtendGuest(more));
  const auto added = host.DecideAndCarryOut().starts;
  BOOST_REQUIRE_EQUAL(added.size(), 1);
  BOOST_TEST(added[0].task.index == 1U);
  BOOST_TEST(added[0].run == 8U);
  BOOST_TEST(host.scheduler.Audit().findings.empty());
  // The host's successor runs both.
  const progress_batch batch = host.StoreProgress();
  scheduler_rig next;
  const auto stored = Attempt([&] {
    return DecodeProgress(EncodeProgress(batch.jobs[0].progress), sent->graph);
  });
  BOOST_REQUIRE(stored);
  next.scheduler.RestoreJob(*sent, *stored, next.now);
  next.AddWorker("v1", kWorker);
  next.AddWorker("v2", kWorker);
  BOOST_TEST(next.DecideAndCarryOut().starts.size() == 2U);
  // The job ends in its own partition.
  BOOST_REQUIRE_EQUAL(host.scheduler.GuestJobs().size(), 1);
  host.scheduler.CancelJob("wide", host.now);
  host.DecideAndCarryOut();
  BOOST_TEST(host.CountRunningTasks() == 0U);
  BOOST_TEST(host.scheduler.GuestJobs().empty());
}

// Guards against a second run of a task that the host's earlier owner started
// before it had stored that the task is lent to it.
BOOST_FIXTURE_TEST_CASE(an_added_task_waits_for_the_end_of_its_run,
                        lending_rig) {
  LendAfter(kStrandedTime);
  StoreProgress();
  const job_submission sent = scheduler.Loans().front().job;
  scheduler_rig next;
  next.scheduler.RestoreJob(sent, InitialProgress(sent), next.now);
  next.AddWorker("v1", kWorker, false);
  reported_run earlier;
  earlier.task = {"wide", 0, 0, 1};
  earlier.run = 100;
  next.agents["v1"].running[earlier.task] = earlier;
  next.ReportWorker("v1");
  next.AddWorker("v2", kWorker);
  next.AddWorker("v3", kWorker);
  job_submission more = sent;
  more.guest->tasks.push_back({0, 0, 1, 0});
  BOOST_TEST(next.scheduler.ExtendGuest(more));
  const pool_decisions first = next.Decide();
  for (const start_order& order : first.starts) {
    BOOST_TEST(order.task.index != 1U);
  }
  BOOST_REQUIRE_EQUAL(first.stops.size(), 1);
  next.EndRun("v1", earlier.task, run_outcome::kStopped);
  next.scheduler.OnStopResult(first.stops[0], true, next.now);
  next.ReportWorker("v1");
  const auto second = next.DecideAndCarryOut().starts;
  BOOST_REQUIRE_EQUAL(second.size(), 1);
  BOOST_TEST(second[0].task.index == 1U);
  BOOST_TEST(second[0].run > earlier.run);
}

// Guards against tasks that wait for as long as a listed worker is cut off from
// the owner.
BOOST_FIXTURE_TEST_CASE(a_worker_that_stays_silent_does_not_hold_up_loans,
                        lending_rig) {
  AddWorker("w3", kWorker, false);
  BOOST_TEST(LendAfter(milliseconds(10'000)) == 1U);
}

// Guards against loans that all go to the first of the other partitions.
BOOST_FIXTURE_TEST_CASE(later_loans_go_to_other_partitions, lending_rig) {
  const std::vector<std::string> others{"pool~1", "pool~2"};
  const auto lend = [&] {
    scheduler.LendTasks(others, now);
    AdvanceClock(kStrandedTime);
    return scheduler.LendTasks(others, now);
  };
  BOOST_TEST(lend() == 1U);
  job_submission later = SpreadJob(3);
  later.id = "later";
  scheduler.AdmitJob(later, now);
  DecideAndCarryOut();
  ReportAll();
  BOOST_TEST(lend() == 1U);
  StoreProgress();
  std::set<std::string> targets;
  for (const task_loan& loan : scheduler.Loans()) {
    targets.insert(loan.partition);
  }
  BOOST_TEST(targets.size() == 2U);
}

// Guards against a gang that is split among partitions and never starts.
BOOST_FIXTURE_TEST_CASE(gangs_are_not_lent, scheduler_rig) {
  AddWorker("w1", kWorker);
  AddWorker("w2", kWorker);
  job_submission job = SpreadJob(3);
  job.graph.steps[0].is_gang = true;
  scheduler.AdmitJob(job, now);
  DecideAndCarryOut();
  scheduler.LendTasks(kOthers, now);
  AdvanceClock(kStrandedTime);
  BOOST_TEST(scheduler.LendTasks(kOthers, now) == 0U);
}

// Guards against a job that stays active although the host has given its tasks
// up.
BOOST_FIXTURE_TEST_CASE(a_job_fails_with_its_lent_tasks, lending_rig) {
  LendAfter(kStrandedTime);
  StoreProgress();
  scheduler.OnLoanStarted("wide");
  BOOST_TEST((scheduler.FindJobState("wide") == job_state::kActive));
  scheduler.OnLoanFailed("wide", now);
  BOOST_TEST((scheduler.FindJobState("wide") == job_state::kFailed));
  DecideAndCarryOut();
  BOOST_TEST(CountRunningTasks() == 0U);
  BOOST_TEST(scheduler.Loans().empty());
}

// Guards against records of another writer that name tasks out of range.
BOOST_AUTO_TEST_CASE(records_with_unknown_tasks_are_rejected) {
  job_submission job = SpreadJob(3);
  job.guest = guest_tasks{"pool", {{0, 0, 3, 1}}};
  BOOST_TEST(!Attempt([&] { return DecodeSubmission(EncodeSubmission(job)); }));
  job.guest->tasks = {{1, 0, 0, 1}};
  BOOST_TEST(!Attempt([&] { return DecodeSubmission(EncodeSubmission(job)); }));
  job_progress progress = InitialProgress(job.graph);
  progress.occurrences[0][0].lent[3] = "pool~1";
  BOOST_TEST(!Attempt(
      [&] { return DecodeProgress(EncodeProgress(progress), job.graph); }));
}

}  // namespace
}  // namespace apricotwheel

// Tasks that other partitions of the pool run.
#include <boost/test/unit_test.hpp>

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
  BOOST_TEST(loans[0].first == "pool~1");
  BOOST_TEST(loans[0].second.queue.pool == "pool~1");
  BOOST_TEST(loans[0].second.guest->home == "pool");
  BOOST_REQUIRE_EQUAL(loans[0].second.guest->tasks.size(), 1);
  BOOST_TEST(loans[0].second.guest->tasks[0].index == 2U);
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
    return DecodeSubmission(EncodeSubmission(scheduler.Loans().front().second));
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

#include <boost/test/unit_test.hpp>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel {
namespace {

using testing::MakeJob;
using testing::MakeStep;
using testing::scheduler_rig;

constexpr resource_vector kWorker{8000, 16'384, 2};
// As in pool_overdue.cc.
constexpr auto kOverdueWait = milliseconds(20'000);
constexpr int kUrgent = 1;
constexpr int kNotUrgent = 2;
// One that takes both workers of a case.
job_submission MakeGang(std::string id, int priority) {
  graph_step gang = MakeStep(2, {1000, 1024, 2});
  gang.is_gang = true;
  return MakeJob(std::move(id), {gang}, priority);
}

scheduler_rig MakeRig() {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.AddWorker("w2", kWorker);
  return rig;
}

// Returns the job that a pass starts, which must be exactly one.
std::string StartedJob(scheduler_rig& rig) {
  const auto starts = rig.DecideAndCarryOut().starts;
  BOOST_REQUIRE_EQUAL(starts.size(), 2);
  BOOST_TEST(starts[0].task.job_id == starts[1].task.job_id);
  return starts[0].task.job_id;
}

// Guards against gangs that are overtaken by each newer one of a more urgent
// queue.
BOOST_AUTO_TEST_CASE(an_overdue_gang_goes_before_an_urgent_one) {
  scheduler_rig rig = MakeRig();
  rig.scheduler.AdmitJob(MakeGang("first", kUrgent), rig.now);
  BOOST_TEST(StartedJob(rig) == "first");
  rig.scheduler.AdmitJob(MakeGang("old", kNotUrgent), rig.now);
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
  rig.AdvanceClock(kOverdueWait);
  rig.scheduler.AdmitJob(MakeGang("new", kUrgent), rig.now);
  rig.EndAll(run_outcome::kDone);
  BOOST_TEST(StartedJob(rig) == "old");
}

// Guards against passes that come late: nothing else need happen when a gang
// becomes overdue.
BOOST_AUTO_TEST_CASE(a_pass_is_due_when_a_gang_becomes_overdue) {
  scheduler_rig rig = MakeRig();
  rig.scheduler.AdmitJob(MakeGang("first", kUrgent), rig.now);
  BOOST_TEST(StartedJob(rig) == "first");
  const time_point admitted_at = rig.now;
  rig.scheduler.AdmitJob(MakeGang("old", kNotUrgent), admitted_at);
  rig.Decide();
  BOOST_TEST(
      (rig.scheduler.NextDecisionAt(rig.now) <= admitted_at + kOverdueWait));
}

// Guards against a gang that keeps its age over a run, and so goes before those
// that have waited longer.
BOOST_AUTO_TEST_CASE(a_gang_that_ran_waits_anew) {
  scheduler_rig rig = MakeRig();
  rig.scheduler.AdmitJob(MakeGang("first", kUrgent), rig.now);
  BOOST_TEST(StartedJob(rig) == "first");
  const auto runs = rig.starts;
  rig.AdvanceClock(milliseconds(5000));
  rig.scheduler.AdmitJob(MakeGang("second", kNotUrgent), rig.now);
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
  rig.AdvanceClock(kOverdueWait);
  rig.EndRun(runs[0].worker, runs[0].task, run_outcome::kFailed);
  rig.EndRun(runs[1].worker, runs[1].task, run_outcome::kGangMemberEnded);
  rig.ReportAll();
  BOOST_TEST(StartedJob(rig) == "second");
}

// Guards against gangs that count as new after each change of owner.
BOOST_AUTO_TEST_CASE(a_gang_keeps_its_age_over_a_takeover) {
  scheduler_rig rig = MakeRig();
  const job_submission old = MakeGang("old", kNotUrgent);
  rig.scheduler.RestoreJob(old, InitialProgress(old.graph),
                           rig.now - kOverdueWait);
  rig.scheduler.AdmitJob(MakeGang("new", kUrgent), rig.now);
  BOOST_TEST(StartedJob(rig) == "old");
}

// Guards against the order of the queue being given up for all overdue steps at
// once: only the oldest of these takes both workers.
BOOST_AUTO_TEST_CASE(the_oldest_overdue_gang_is_first) {
  scheduler_rig rig = MakeRig();
  rig.scheduler.AdmitJob(MakeGang("first", kUrgent), rig.now);
  BOOST_TEST(StartedJob(rig) == "first");
  rig.scheduler.AdmitJob(MakeGang("oldest", kNotUrgent), rig.now);
  rig.AdvanceClock(milliseconds(1000));
  rig.scheduler.AdmitJob(MakeGang("later", kNotUrgent), rig.now);
  rig.AdvanceClock(kOverdueWait);
  rig.scheduler.AdmitJob(MakeGang("new", kUrgent), rig.now);
  for (const char* expected : {"oldest", "later", "new"}) {
    rig.EndAll(run_outcome::kDone);
    BOOST_TEST(StartedJob(rig) == expected);
  }
}

}  // namespace
}  // namespace apricotwheel

#include <boost/test/unit_test.hpp>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel {
namespace {

using testing::JobOf;
using testing::scheduler_rig;
using testing::StepOf;

constexpr resource_vector kSmall{1000, 1024, 0};
constexpr resource_vector kWorker{1000, 16'384, 0};
constexpr auto kLifetime = milliseconds(1500);

job_submission AdvisedJob(const std::string& id) {
  auto job = JobOf(id, {StepOf(1, kSmall)});
  job.queue.advisor = advisor_terms{20'000, 300, kLifetime};
  return job;
}

void Answer(scheduler_rig& rig, const approval_request& request,
            std::vector<approved_worker> approved) {
  rig.scheduler.ApprovalsArrived(request, approved, true, rig.now, rig.now);
}

// The first call names every worker that may ever run the step; tasks start
// only where the advisor allowed it, with its ticket.
BOOST_AUTO_TEST_CASE(tasks_start_only_where_they_are_approved) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.AddWorker("w2", kWorker);
  rig.scheduler.Admit(AdvisedJob("job"), rig.now);
  BOOST_TEST(rig.Step().starts.empty());
  BOOST_REQUIRE_EQUAL(rig.approvals.size(), 1);
  BOOST_TEST(rig.approvals[0].workers.size() == 2);
  BOOST_TEST(rig.Decide().approvals.empty());
  Answer(rig, rig.approvals[0], {{"w2", "ticket"}});
  const auto made = rig.Step();
  BOOST_REQUIRE_EQUAL(made.starts.size(), 1);
  BOOST_TEST(made.starts[0].worker == "w2");
  BOOST_TEST(made.starts[0].ticket == "ticket");
}

// An approval does not change but its ticket ages: when room appears later,
// only the approved workers are named again.
BOOST_AUTO_TEST_CASE(stale_tickets_are_renewed_for_approved_workers) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.AddWorker("w2", kWorker);
  rig.AddWorker("w3", kWorker);
  rig.scheduler.Admit(AdvisedJob("first"), rig.now);
  rig.Step();
  Answer(rig, rig.approvals[0], {{"w1", "t1"}});
  rig.Step();
  rig.scheduler.Admit(AdvisedJob("second"), rig.now);
  rig.Step();
  Answer(rig, rig.approvals[1], {{"w1", "t2"}});
  rig.Pass(std::chrono::seconds(3));
  BOOST_TEST(rig.Step().approvals.empty());  // No approved worker has room.
  rig.EndAll(run_end::kDone);
  const auto renewal = rig.Step();
  BOOST_TEST(renewal.starts.empty());
  BOOST_REQUIRE_EQUAL(renewal.approvals.size(), 1);
  BOOST_REQUIRE_EQUAL(renewal.approvals[0].workers.size(), 1);
  BOOST_TEST(renewal.approvals[0].workers[0].id == "w1");
  Answer(rig, renewal.approvals[0], {{"w1", "t3"}});
  const auto made = rig.Step();
  BOOST_REQUIRE_EQUAL(made.starts.size(), 1);
  BOOST_TEST(made.starts[0].ticket == "t3");
}

// A worker that refuses the ticket is asked about again, not tried again.
BOOST_AUTO_TEST_CASE(a_refused_ticket_is_renewed) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.scheduler.Admit(AdvisedJob("job"), rig.now);
  rig.Step();
  Answer(rig, rig.approvals[0], {{"w1", "t1"}});
  const auto made = rig.Decide();
  BOOST_REQUIRE_EQUAL(made.starts.size(), 1);
  rig.scheduler.StartAnswered(made.starts[0], start_answer::kNoTicket, rig.now);
  const auto next = rig.Decide();
  BOOST_TEST(next.starts.empty());
  BOOST_TEST(next.approvals.size() == 1);
}

// A failed call is repeated after a pause.
BOOST_AUTO_TEST_CASE(a_failed_call_is_repeated) {
  scheduler_rig rig;
  rig.AddWorker("w1", kWorker);
  rig.scheduler.Admit(AdvisedJob("job"), rig.now);
  rig.Step();
  rig.scheduler.ApprovalsArrived(rig.approvals[0], {}, false, rig.now, rig.now);
  BOOST_TEST(rig.Decide().approvals.empty());
  BOOST_TEST((rig.scheduler.NextDue(rig.now) < time_point::max()));
  rig.Pass(milliseconds(200));
  BOOST_TEST(rig.Decide().approvals.size() == 1);
}

}  // namespace
}  // namespace apricotwheel

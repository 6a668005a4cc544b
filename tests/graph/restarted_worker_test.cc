// Workers that restart under their ids while starts are on the way to them. The
// next agent of a worker executes whatever reaches it.
#include <boost/test/unit_test.hpp>
#include <string>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel {
namespace {

using testing::MakeJob;
using testing::MakeStep;
using testing::scheduler_rig;

constexpr resource_vector kSmall{1000, 1024, 0};
constexpr resource_vector kWorker{4000, 16'384, 0};
constexpr auto kCallTime = milliseconds(2);
// Above the time for which a start of an earlier agent is awaited.
constexpr auto kLongTime = milliseconds(10'000);

// A worker w1 with a start on the way, and a worker w2 to which the task could
// go.
struct restart_rig : scheduler_rig {
  start_order order;

  explicit restart_rig(std::uint32_t tasks = 1, bool is_gang = false) {
    AddWorker("w1", kWorker);
    graph_step step = MakeStep(tasks, kSmall);
    step.is_gang = is_gang;
    scheduler.AdmitJob(MakeJob("job", {step}), now);
    order = Decide().starts.at(0);
    AddWorker("w2", kWorker);
  }

  // Nothing of the earlier agent remains, also no number of an end.
  void Restart(const std::string& id) {
    agent& target = agents[id];
    target.running.clear();
    target.ended.clear();
    target.last_end_sequence = 0;
    ++target.info.incarnation;
  }
  // Executes an order on the worker without an answer to the owner.
  void ExecuteUnanswered(const start_order& late) {
    reported_run run;
    run.task = late.task;
    run.run = late.run;
    agents[late.worker].running[late.task] = run;
  }
  std::size_t CountRuns(const task_key& task) const {
    std::size_t count = 0;
    for (const auto& [id, target] : agents) count += target.running.count(task);
    return count;
  }
  // Lets passes and reports go on. Returns the highest number of runs of the
  // task that existed at the same time.
  std::size_t CountRunsDuring(duration span) {
    std::size_t most = CountRuns(order.task);
    const time_point end = now + span;
    while (now < end) {
      DecideAndCarryOut();
      most = std::max(most, CountRuns(order.task));
      ReportAll();
      AdvanceClock(milliseconds(100));
    }
    return most;
  }
};

// Guards against a task that runs twice: the report of the next agent counted
// as the proof that a start without an answer has no effect. The task started
// elsewhere, and then the next agent executed the first start.
BOOST_AUTO_TEST_CASE(a_start_without_an_answer_may_reach_the_next_agent) {
  for (const bool is_answer_lost : {false, true}) {
    restart_rig rig;
    if (is_answer_lost) {
      rig.scheduler.OnStartResult(rig.order, start_result::kUnknown, rig.now);
    }
    rig.Restart("w1");
    rig.ReportWorker("w1");
    const auto decisions = rig.Decide();
    BOOST_TEST(decisions.starts.empty());
    rig.ExecuteUnanswered(rig.order);
    for (const stop_order& stop : decisions.stops) {
      rig.EndRun(stop.worker, stop.task, run_outcome::kStopped);
      rig.scheduler.OnStopResult(stop, true, rig.now);
    }
    BOOST_TEST(rig.CountRunsDuring(kLongTime) == 1);
    BOOST_TEST(rig.CountRuns(rig.order.task) == 1);
  }
}

// Guards against the same where nothing reaches the next agent: its
// confirmation of a stop settles the start, and the task starts again.
BOOST_AUTO_TEST_CASE(a_start_that_reaches_nobody_is_settled_by_a_stop) {
  restart_rig rig;
  rig.Restart("w1");
  rig.ReportWorker("w1");
  BOOST_TEST(rig.Decide().starts.empty());
  rig.ReportWorker("w1");
  // A report without the run proves nothing before the stop is confirmed.
  BOOST_TEST(rig.Decide().starts.empty());
  rig.scheduler.OnStopResult({"w1", rig.order.task, rig.order.run}, true,
                             rig.now);
  rig.scheduler.OnStartResult(rig.order, start_result::kUnknown, rig.now);
  rig.AdvanceClock(milliseconds(1));
  BOOST_TEST(rig.CountRunsDuring(kLongTime) == 1);
  BOOST_TEST(rig.CountRuns(rig.order.task) == 1);
}

// Guards against the same where the worker restarts twice: the agent after the
// next one knows of no stop either.
BOOST_AUTO_TEST_CASE(a_start_may_reach_the_agent_after_the_next) {
  restart_rig rig;
  rig.scheduler.OnStartResult(rig.order, start_result::kUnknown, rig.now);
  const time_point lost_at = rig.now;
  for (int restarts = 0; restarts < 2; ++restarts) {
    rig.Restart("w1");
    BOOST_TEST(rig.CountRunsDuring(milliseconds(500)) == 0);
  }
  rig.ExecuteUnanswered(rig.order);
  BOOST_TEST(rig.CountRunsDuring(milliseconds(500)) == 1);
  // After the stop it goes on elsewhere, once no copy can arrive any more.
  rig.Restart("w1");
  while (rig.now < lost_at + kMaxCallDelay) {
    rig.ReportAll();
    BOOST_TEST(rig.Decide().starts.empty());
    rig.scheduler.OnStopResult({"w1", rig.order.task, rig.order.run}, true,
                               rig.now);
    rig.AdvanceClock(milliseconds(100));
  }
  rig.ReportAll();
  BOOST_TEST(rig.CountRunsDuring(milliseconds(200)) == 1);
}

// Guards against a task that runs twice because of a copy of its start: the
// first one got no response, the second started the run, and the agent that
// had it has restarted.
BOOST_AUTO_TEST_CASE(a_lost_copy_of_a_start_may_reach_the_next_agent) {
  restart_rig rig;
  start_order repeated = rig.order;
  repeated.has_lost_copies = true;
  rig.CarryOutStart(repeated);
  rig.ReportWorker("w1");
  rig.Restart("w1");
  rig.ReportWorker("w1");
  BOOST_TEST(rig.Decide().starts.empty());
  rig.ExecuteUnanswered(rig.order);
  BOOST_TEST(rig.CountRunsDuring(kLongTime) == 1);
}

// Guards against a task that runs twice: the next agent answered its start
// right after it had made its first report, which ended the run.
BOOST_AUTO_TEST_CASE(a_start_is_answered_after_the_report_was_made) {
  for (const bool is_lost_before : {false, true}) {
    restart_rig rig;
    const auto requested_at = rig.now;
    if (is_lost_before) rig.CarryOutStart(rig.order);
    rig.Restart("w1");
    const worker_report report = rig.MakeReport("w1");
    if (!is_lost_before) {
      rig.AdvanceClock(kCallTime);
      rig.CarryOutStart(rig.order);
    }
    rig.scheduler.ApplyReport("w1", report, requested_at, rig.now);
    rig.AdvanceClock(kCallTime);
    BOOST_TEST(rig.Decide().starts.empty());
    BOOST_TEST(rig.CountRunsDuring(kLongTime) == 1);
    // The next agent goes on with the first run if it has that.
    const auto& running = rig.agents["w1"].running;
    const auto run = running.find(rig.order.task);
    const bool has_first_run =
        run != running.end() && run->second.run == rig.order.run;
    BOOST_TEST(has_first_run == !is_lost_before);
  }
}

// Guards against the loss of a result: the run of a late start is done before
// the next agent reports for the first time.
BOOST_AUTO_TEST_CASE(a_result_in_the_first_report_of_an_agent_counts) {
  restart_rig rig;
  rig.Restart("w1");
  rig.ExecuteUnanswered(rig.order);
  rig.EndRun("w1", rig.order.task, run_outcome::kDone);
  rig.ReportWorker("w1");
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kCompleted));
}

// Guards against needless waits: a run that the earlier agent certainly had is
// lost with it, and its task starts again at once.
BOOST_AUTO_TEST_CASE(a_run_of_the_earlier_agent_starts_again_at_once) {
  for (const bool is_reported : {false, true}) {
    restart_rig rig;
    rig.CarryOutStart(rig.order);
    if (is_reported) rig.ReportWorker("w1");
    rig.Restart("w1");
    rig.ReportWorker("w1");
    BOOST_TEST(rig.Decide().starts.size() == 1);
  }
}

// Guards against a task that runs twice: its worker fell silent before it
// answered the start, and the leases of the agent that was known then counted
// as the end of what a next agent executes.
BOOST_AUTO_TEST_CASE(a_start_to_a_silent_worker_outlasts_the_leases) {
  restart_rig rig;
  rig.scheduler.AdmitJob(MakeJob("known", {MakeStep(1, kSmall)}), rig.now);
  const start_order known = rig.Decide().starts.at(0);
  rig.CarryOutStart(known);
  rig.ReportAll();
  rig.scheduler.OnStartResult(rig.order, start_result::kUnknown, rig.now);
  rig.scheduler.ExpireWorkerLeases("w1", false, rig.now, true);
  rig.scheduler.ExpireWorkerLeases("w2", false, rig.now, true);
  rig.AddWorker("w3", kWorker);
  // What the earlier agent had certainly starts again, the other task waits.
  const auto starts = rig.Decide().starts;
  BOOST_REQUIRE_EQUAL(starts.size(), 1);
  BOOST_TEST((starts[0].task == known.task));
  rig.scheduler.ExpireWorkerLeases("w1", false, rig.now, false);
  BOOST_TEST(rig.Decide().starts.size() == 1);
}

// Guards against the same for a run that is stopped after that answer: it was
// dropped without its stop.
BOOST_AUTO_TEST_CASE(a_start_is_answered_after_the_report_and_stopped) {
  restart_rig rig;
  const auto requested_at = rig.now;
  rig.Restart("w1");
  const worker_report report = rig.MakeReport("w1");
  rig.AdvanceClock(kCallTime);
  rig.CarryOutStart(rig.order);
  rig.scheduler.CancelJob("job", rig.now);
  rig.scheduler.ApplyReport("w1", report, requested_at, rig.now);
  BOOST_TEST(rig.Decide().stops.size() == 1);
}

// Guards against members of a gang that hold their room while another one may
// still start late.
BOOST_AUTO_TEST_CASE(a_late_start_stops_the_rest_of_its_gang) {
  restart_rig rig(2, true);
  start_order other = rig.order;
  other.task.index = 1 - rig.order.task.index;
  rig.CarryOutStart(other);
  rig.ReportAll();
  rig.scheduler.OnStartResult(rig.order, start_result::kUnknown, rig.now);
  rig.Restart("w1");
  rig.ReportWorker("w1");
  std::size_t members = 0;
  for (const stop_order& stop : rig.Decide().stops) {
    members += stop.task == rig.order.task ? 1 : 0;
  }
  BOOST_TEST(members == 1);
}

// Guards against a crash that is counted twice: for the leases and again for
// the starts that outlast them.
BOOST_AUTO_TEST_CASE(an_exit_counts_once) {
  restart_rig rig;
  rig.scheduler.OnStartResult(rig.order, start_result::kUnknown, rig.now);
  rig.scheduler.ExpireWorkerLeases("w1", true, rig.now, true);
  rig.scheduler.ExpireWorkerLeases("w1", true, rig.now, false);
  BOOST_TEST(rig.scheduler.WorkersCrashed() == 1);
}

// Guards against a gang of which some members run twice.
BOOST_AUTO_TEST_CASE(a_gang_waits_for_a_start_that_may_come_late) {
  restart_rig rig(2, true);
  rig.Restart("w1");
  rig.ReportWorker("w1");
  BOOST_TEST(rig.Decide().starts.empty());
  rig.ExecuteUnanswered(rig.order);
  BOOST_TEST(rig.CountRunsDuring(kLongTime) == 1);
}

}  // namespace
}  // namespace apricotwheel

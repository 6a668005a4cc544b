#include <boost/test/unit_test.hpp>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel {
namespace {

using testing::MakeJob;
using testing::MakeStep;
using testing::scheduler_rig;

constexpr resource_vector kSmall{1000, 1024, 0};
constexpr resource_vector kWorker{4000, 16'384, 0};
constexpr auto kLongWait = std::chrono::seconds(11);

struct logged_event {
  std::string name;
  std::map<std::string, std::string, std::less<>> fields;
};

pool_scheduler_options Logging(std::vector<logged_event>& events) {
  pool_scheduler_options options;
  options.log = [&events](const log_event& event) {
    logged_event& added = events.emplace_back();
    added.name = event.kind.name;
    for (const auto& field : event.fields)
      added.fields[field.key] = field.value;
  };
  return options;
}

std::vector<logged_event> EventsNamed(const std::vector<logged_event>& events,
                                      std::string_view name) {
  std::vector<logged_event> found;
  for (const logged_event& event : events) {
    if (event.name == name) found.push_back(event);
  }
  return found;
}

// The reason that a job has waited for in the last report.
std::string ReasonOf(scheduler_rig& rig, std::vector<logged_event>& events,
                     const std::string& job) {
  rig.AdvanceClock(kLongWait);
  events.clear();
  rig.Decide();
  for (const auto& event : EventsNamed(events, "graph_step_waiting")) {
    if (event.fields.at("job") == job) return event.fields.at("reason");
  }
  return {};
}

// Guards against waits that the logs cannot tell apart.
BOOST_AUTO_TEST_CASE(the_reason_for_a_long_wait_is_logged) {
  std::vector<logged_event> events;
  scheduler_rig rig(Logging(events));
  rig.AddWorker("w1", kSmall);
  rig.scheduler.AdmitJob(MakeJob("large", {MakeStep(1, kWorker)}), rig.now);
  BOOST_TEST(ReasonOf(rig, events, "large") == "no_room");

  job_submission approved = MakeJob("approved", {MakeStep(1, kSmall)});
  approved.queue.advisor = advisor_settings{50'000, 1000, milliseconds(2000)};
  rig.scheduler.AdmitJob(approved, rig.now);
  BOOST_TEST(ReasonOf(rig, events, "approved") == "call_in_flight");
}

BOOST_AUTO_TEST_CASE(a_wait_for_a_takeover_is_logged) {
  std::vector<logged_event> events;
  auto options = Logging(events);
  options.earlier_workers = {"gone"};
  options.earlier_leases_expire_at =
      time_point(std::chrono::hours(1)) + std::chrono::minutes(1);
  scheduler_rig rig(std::move(options));
  rig.AddWorker("w1", kWorker);
  const job_submission job = MakeJob("job", {MakeStep(1, kSmall)});
  rig.scheduler.RestoreJob(job, InitialProgress(job.graph), rig.now);
  BOOST_TEST(ReasonOf(rig, events, "job") == "takeover");
}

// Guards against tasks that wait for a run whose stop is never settled, without
// a line that says so.
BOOST_AUTO_TEST_CASE(a_wait_for_an_earlier_run_is_logged) {
  std::vector<logged_event> events;
  scheduler_rig rig(Logging(events));
  rig.AddWorker("w1", kWorker);
  rig.AddWorker("w2", kWorker);
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(1, kSmall)}), rig.now);
  const auto decisions = rig.Decide();
  BOOST_REQUIRE_EQUAL(decisions.starts.size(), 1);
  // A run of the task that an earlier owner ordered is known as well.
  const std::string& first = decisions.starts[0].worker;
  const std::string second = first == "w1" ? "w2" : "w1";
  rig.CarryOutStart(decisions.starts[0]);
  rig.agents[second].running[decisions.starts[0].task] = {
      decisions.starts[0].task, 1, {}, 0, 0};
  rig.ReportWorker(second);
  rig.EndRun(first, decisions.starts[0].task, run_outcome::kLeaseExpired);
  rig.ReportWorker(first);
  BOOST_TEST(ReasonOf(rig, events, "job") == "earlier_run");
  const auto unsettled = EventsNamed(events, "graph_run_unsettled");
  BOOST_REQUIRE_EQUAL(unsettled.size(), 1);
  BOOST_TEST(unsettled[0].fields.at("worker") == second);
  BOOST_TEST(unsettled[0].fields.at("order") == "stop");
}

// Guards against a step that seems to have room: its tasks are kept apart, and
// each worker that may run them has one.
BOOST_AUTO_TEST_CASE(a_wait_for_max_per_worker_is_logged) {
  std::vector<logged_event> events;
  scheduler_rig rig(Logging(events));
  rig.AddWorker("w1", kWorker);
  graph_step step = MakeStep(2, kSmall);
  step.is_service = true;
  step.max_per_worker = 1;
  rig.scheduler.AdmitJob(MakeJob("job", {step}), rig.now);
  rig.DecideAndCarryOut();
  BOOST_TEST(ReasonOf(rig, events, "job") == "worker_limit");
}

// Steps whose turn has not come crowded out those that could start.
BOOST_AUTO_TEST_CASE(steps_whose_turn_has_not_come_are_not_logged) {
  std::vector<logged_event> events;
  scheduler_rig rig(Logging(events));
  rig.AddWorker("w1", kSmall);
  rig.scheduler.AdmitJob(
      MakeJob("job", {MakeStep(1, kWorker), MakeStep(1, kSmall, {0})}),
      rig.now);
  rig.AdvanceClock(kLongWait);
  rig.Decide();
  BOOST_TEST(EventsNamed(events, "graph_step_waiting").size() == 1);
}

BOOST_AUTO_TEST_CASE(adopted_repeated_and_cut_short_runs_are_logged) {
  std::vector<logged_event> events;
  scheduler_rig rig(Logging(events));
  rig.AddWorker("w1", kWorker);
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(1, kSmall)}), rig.now);
  rig.DecideAndCarryOut();
  rig.scheduler.ExpireWorkerLeases("w1", false, rig.now);
  BOOST_TEST(EventsNamed(events, "graph_run_cut_short").size() == 1);
  rig.ReportWorker("w1");
  const auto adopted = EventsNamed(events, "graph_run_adopted");
  BOOST_REQUIRE_EQUAL(adopted.size(), 1);
  BOOST_TEST(adopted[0].fields.at("kept") == "1");
  BOOST_TEST(adopted[0].fields.at("after_expiry") == "1");
  BOOST_TEST(rig.scheduler.RunCounts().adopted == 1);
  rig.EndRun("w1", {"job", 0, 0, 0}, run_outcome::kFailed);
  rig.ReportWorker("w1");
  rig.DecideAndCarryOut();
  BOOST_TEST(EventsNamed(events, "graph_run_repeated").size() == 1);
}

}  // namespace
}  // namespace apricotwheel

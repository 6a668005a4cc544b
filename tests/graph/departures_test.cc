// Tasks that move from workers which announce their departure.
#include <boost/test/unit_test.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel {
namespace {

using testing::MakeJob;
using testing::MakeStep;
using testing::RunsAt;
using testing::scheduler_rig;

constexpr resource_vector kTask{2000, 1024, 0};
constexpr resource_vector kWorker{2000, 16'384, 0};  // Has room for one task.
constexpr auto kTick = milliseconds(50);
constexpr auto kStopTime = milliseconds(400);
constexpr auto kWarmUpTime = milliseconds(500);
constexpr auto kTimeLeft = std::chrono::seconds(10);

std::string WorkerId(int index) { return "w" + std::to_string(100 + index); }

graph_step ServiceStep(std::uint32_t tasks) {
  graph_step step = MakeStep(tasks, kTask);
  step.is_service = true;
  return step;
}

graph_step BudgetStep(std::uint32_t tasks, std::uint32_t budget) {
  graph_step step = ServiceStep(tasks);
  step.has_disruption_budget = true;
  step.disruption_budget = budget;
  return step;
}

// Workers that report every 50 ms and take some time to stop a run. A lasting
// task is at work 0.5 s after its start.
struct departure_rig : scheduler_rig {
  struct ordered_stop {
    stop_order order;
    time_point ends_at{};
  };

  std::vector<ordered_stop> stopping;
  std::map<std::pair<std::string, task_key>, time_point> started_at;
  std::set<std::string> silent;   // Workers that neither report nor obey.
  std::set<std::string> refused;  // By the advisor.
  bool has_advisor_failed = false;
  std::size_t most_stops = 0;   // In one pass.
  std::uint32_t most_away = 0;  // After a stop order.

  using scheduler_rig::scheduler_rig;

  void AddWorkers(int first, int count) {
    for (int i = first; i < first + count; ++i) AddWorker(WorkerId(i), kWorker);
  }

  void Drain(const std::string& id, duration left = kTimeLeft) {
    pool_worker& info = agents[id].info;
    info.is_draining = true;
    info.min_time_left_ms = ToMs(left);
    scheduler.SetWorker(info, now);
  }

  // The agent ends without a word.
  void Vanish(const std::string& id) {
    silent.insert(id);
    agents[id].running.clear();
    scheduler.RemoveWorker(id);
    scheduler.ExpireWorkerLeases(id, true, now);
  }

  void Report() {
    for (auto& [id, target] : agents) {
      if (silent.contains(id)) continue;
      for (auto& [task, run] : target.running) {
        const time_point since =
            started_at.try_emplace({id, task}, now).first->second;
        run.percent = now - since >= kWarmUpTime ? 100 : 40;
      }
      ReportWorker(id);
    }
  }

  // The tasks of the job that don't serve, or that were ordered to stop.
  std::uint32_t CountAway(const std::string& job, std::uint32_t tasks) const {
    std::set<std::pair<std::string, task_key>> ordered;
    for (const ordered_stop& each : stopping) {
      ordered.emplace(each.order.worker, each.order.task);
    }
    std::uint32_t at_work = 0;
    for (const auto& [id, target] : agents) {
      if (silent.contains(id)) continue;
      for (const auto& [task, run] : target.running) {
        if (task.job_id == job && run.percent == 100 &&
            !ordered.contains({id, task})) {
          ++at_work;
        }
      }
    }
    return tasks - at_work;
  }

  pool_decisions Pass() {
    auto decisions = Decide();
    most_stops = std::max(most_stops, decisions.stops.size());
    for (const stop_order& order : decisions.stops) {
      stopping.push_back({order, now + kStopTime});
    }
    for (const approval_request& request : decisions.approvals) {
      std::vector<approved_worker> approved;
      for (const pool_worker& worker : request.workers) {
        if (refused.contains(worker.id)) continue;
        approved.push_back({worker.id, "ticket of " + worker.id});
      }
      scheduler.OnApprovalResult(request, approved, !has_advisor_failed, now,
                                 now);
    }
    for (const start_order& order : decisions.starts) {
      if (silent.contains(order.worker)) continue;
      started_at[{order.worker, order.task}] = now;
      CarryOutStart(order);
    }
    return decisions;
  }

  void EndStoppedRuns() {
    std::erase_if(stopping, [&](const ordered_stop& each) {
      const auto& [worker, task, run] = each.order;
      if (silent.contains(worker)) return true;
      scheduler.OnStopResult(each.order, true, now);
      if (now < each.ends_at) return false;
      if (agents[worker].running.contains(task)) {
        EndRun(worker, task, run_outcome::kStopped, "saved");
      }
      return true;
    });
  }

  // `job` has one step with this many tasks; `most_away` is noted for it.
  void Run(duration span, const std::string& job = {},
           std::uint32_t tasks = 0) {
    for (const time_point end = now + span; now < end; AdvanceClock(kTick)) {
      EndStoppedRuns();
      Report();
      StoreProgress();
      if (!Pass().stops.empty() && tasks > 0) {
        most_away = std::max(most_away, CountAway(job, tasks));
      }
    }
  }

  // Starts the job and lets its tasks warm up.
  void RunJob(const job_submission& job) {
    scheduler.AdmitJob(job, now);
    Run(std::chrono::seconds(1));
  }

  std::string WorkerOf(const task_key& task) const {
    for (const auto& [id, target] : agents) {
      if (target.running.contains(task)) return id;
    }
    return {};
  }

  std::size_t CountStops(const task_key& task) const {
    return static_cast<std::size_t>(std::count_if(
        stops.begin(), stops.end(),
        [&](const stop_order& each) { return each.task == task; }));
  }

  std::size_t CountRunningOn(const std::set<std::string>& ids) const {
    std::size_t count = 0;
    for (const std::string& id : ids) count += agents.at(id).running.size();
    return count;
  }
};

task_key Task(std::uint32_t index = 0) { return {"job", 0, 0, index}; }

job_submission Advised(job_submission job) {
  job.queue.advisor = advisor_settings{4000, 250, milliseconds(1500)};
  return job;
}

// Guards against a lasting task that stays on a draining worker until that is
// gone, and against a stop that counts as a failure or ends the job.
BOOST_AUTO_TEST_CASE(a_lasting_task_leaves_a_draining_worker) {
  departure_rig rig;
  rig.AddWorkers(0, 2);
  rig.RunJob(MakeJob("job", {ServiceStep(1)}));
  const std::string first = rig.WorkerOf(Task());
  BOOST_REQUIRE(!first.empty());
  rig.Drain(first);
  rig.Run(std::chrono::seconds(2));
  const std::string second = rig.WorkerOf(Task());
  BOOST_TEST(!second.empty());
  BOOST_TEST(second != first);
  BOOST_TEST(rig.CountStops(Task()) == 1);
  BOOST_TEST(rig.starts.size() == 2);
  BOOST_TEST(rig.scheduler.RunCounts().moved == 1);
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kActive));
  rig.scheduler.CancelJob("job", rig.now);
  const auto batch = rig.scheduler.TakeProgress();
  BOOST_REQUIRE_EQUAL(batch.jobs.size(), 1);
  const step_progress& stored = batch.jobs[0].progress.occurrences[0][0];
  BOOST_TEST(RunsAt(stored.failed_runs, 0).empty());
  BOOST_TEST(RunsAt(stored.crashed_runs, 0).empty());
  BOOST_TEST(RunsAt(stored.excused_runs, 0).empty());
}

// Guards against moves that exceed the disruption budget, and against a budget
// that keeps tasks on workers which leave.
BOOST_AUTO_TEST_CASE(the_budget_is_kept_while_several_workers_leave) {
  for (const std::uint32_t budget : {1U, 2U}) {
    departure_rig rig;
    rig.AddWorkers(0, 6);
    rig.RunJob(MakeJob("job", {BudgetStep(6, budget)}));
    rig.AddWorkers(10, 6);
    std::set<std::string> leaving;
    for (int i = 0; i < 4; ++i) leaving.insert(WorkerId(i));
    for (const std::string& id : leaving) rig.Drain(id);
    rig.Run(std::chrono::seconds(8), "job", 6);
    BOOST_TEST(rig.most_away == budget);
    BOOST_TEST(rig.CountRunningOn(leaving) == 0);
    BOOST_TEST(rig.CountRunningTasks() == 6);
    BOOST_TEST(rig.stops.size() == 4);
  }
}

// Guards against a count of tasks that are away which leaves out those on
// silent workers, those that wait and those that are not yet at work.
BOOST_AUTO_TEST_CASE(tasks_that_are_away_for_other_causes_use_the_budget) {
  departure_rig rig;
  rig.AddWorkers(0, 3);
  rig.RunJob(MakeJob("job", {BudgetStep(3, 1)}));
  rig.silent.insert(WorkerId(1));
  rig.Run(std::chrono::seconds(2));
  rig.AddWorkers(10, 1);
  rig.Drain(WorkerId(0));
  rig.Run(std::chrono::seconds(1));
  BOOST_TEST(rig.stops.empty());
  // The task of the silent worker takes the free one, and has to warm up.
  rig.Vanish(WorkerId(1));
  rig.Run(milliseconds(400));
  BOOST_TEST(rig.CountRunningOn({WorkerId(10)}) == 1);
  rig.AddWorkers(11, 1);
  rig.Run(milliseconds(50));
  BOOST_TEST(rig.stops.empty());
  rig.Run(std::chrono::seconds(2), "job", 3);
  BOOST_TEST(rig.most_away == 1);
  BOOST_TEST(rig.CountRunningOn({WorkerId(2), WorkerId(10), WorkerId(11)}) ==
             3);
}

// Guards against a budget of 0 that allows one move.
BOOST_AUTO_TEST_CASE(a_budget_of_zero_allows_no_move) {
  departure_rig rig;
  rig.AddWorkers(0, 1);
  rig.RunJob(MakeJob("job", {BudgetStep(1, 0)}));
  rig.AddWorkers(1, 1);
  rig.Drain(WorkerId(0));
  rig.Run(std::chrono::seconds(3));
  BOOST_TEST(rig.stops.empty());
}

// Guards against a stop before there is room for the next run.
BOOST_AUTO_TEST_CASE(without_room_a_task_stays) {
  departure_rig rig;
  rig.AddWorkers(0, 1);
  rig.RunJob(MakeJob("job", {ServiceStep(1)}));
  rig.AddWorker("small", {1000, 16'384, 0});
  rig.Drain(WorkerId(0));
  rig.Run(std::chrono::seconds(3));
  BOOST_TEST(rig.stops.empty());
  rig.AddWorkers(1, 1);
  rig.Run(std::chrono::seconds(1));
  BOOST_TEST(rig.WorkerOf(Task()) == WorkerId(1));
}

// Guards against work that takes the new place while the old run is stopped.
BOOST_AUTO_TEST_CASE(the_new_place_is_kept_during_the_stop) {
  departure_rig rig;
  rig.AddWorkers(0, 1);
  rig.RunJob(MakeJob("job", {ServiceStep(1)}));
  rig.AddWorkers(1, 1);
  rig.Drain(WorkerId(0));
  rig.Run(kTick);
  BOOST_REQUIRE_EQUAL(rig.stops.size(), 1);
  rig.scheduler.AdmitJob(MakeJob("urgent", {MakeStep(3, kTask)}, 0), rig.now);
  rig.Run(std::chrono::seconds(1));
  BOOST_TEST(rig.WorkerOf(Task()) == WorkerId(1));
  BOOST_TEST(rig.starts.size() == 2);
}

// Guards against a place that stays kept after its task ended otherwise.
BOOST_AUTO_TEST_CASE(the_new_place_is_free_again_if_the_job_ends) {
  departure_rig rig;
  rig.AddWorkers(0, 1);
  rig.RunJob(MakeJob("job", {ServiceStep(1)}));
  rig.AddWorkers(1, 1);
  rig.Drain(WorkerId(0));
  rig.Run(kTick);
  rig.scheduler.AdmitJob(MakeJob("other", {MakeStep(1, kTask)}), rig.now);
  rig.Run(kTick);
  BOOST_TEST(rig.starts.size() == 1);
  rig.scheduler.CancelJob("job", rig.now);
  rig.Run(kTick);
  BOOST_TEST(rig.WorkerOf({"other", 0, 0, 0}) == WorkerId(1));
}

// Guards against moves to workers that leave as well, which would be repeated,
// and against tasks of a step without a budget that move one by one.
BOOST_AUTO_TEST_CASE(many_workers_leave_at_once) {
  departure_rig rig;
  rig.AddWorkers(0, 20);
  rig.RunJob(MakeJob("job", {ServiceStep(20)}));
  rig.AddWorkers(20, 12);
  std::set<std::string> leaving;
  for (int i = 0; i < 20; ++i) leaving.insert(WorkerId(i));
  for (const std::string& id : leaving) rig.Drain(id);
  rig.Run(std::chrono::seconds(2));
  BOOST_TEST(rig.stops.size() == 12);
  BOOST_TEST(rig.most_stops <= 8);
  BOOST_TEST(rig.CountRunningOn(leaving) == 8);
  BOOST_TEST(rig.CountRunningTasks() == 20);
  for (std::uint32_t i = 0; i < 20; ++i) {
    BOOST_TEST(rig.CountStops(Task(i)) <= 1);
  }
  for (std::size_t i = 20; i < rig.starts.size(); ++i) {
    BOOST_TEST(!leaving.contains(rig.starts[i].worker));
  }
}

// Guards against a task that is lost, or counted as crashed, if the worker ends
// during the stop.
BOOST_AUTO_TEST_CASE(the_worker_ends_during_the_stop) {
  departure_rig rig;
  rig.AddWorkers(0, 1);
  rig.RunJob(MakeJob("job", {ServiceStep(1)}));
  rig.AddWorkers(1, 1);
  rig.Drain(WorkerId(0), std::chrono::seconds(1));
  rig.Run(kTick);
  BOOST_REQUIRE_EQUAL(rig.stops.size(), 1);
  rig.Vanish(WorkerId(0));
  rig.Run(milliseconds(200));
  BOOST_TEST(rig.WorkerOf(Task()) == WorkerId(1));
  BOOST_TEST(rig.scheduler.WorkersCrashed() == 0);
}

// Guards against a task that waits for a place that is gone.
BOOST_AUTO_TEST_CASE(the_new_worker_ends_during_the_stop) {
  departure_rig rig;
  rig.AddWorkers(0, 1);
  rig.RunJob(MakeJob("job", {ServiceStep(1)}));
  rig.AddWorkers(1, 1);
  rig.Drain(WorkerId(0));
  rig.Run(kTick);
  BOOST_REQUIRE_EQUAL(rig.stops.size(), 1);
  rig.Vanish(WorkerId(1));
  rig.AddWorkers(2, 1);
  rig.Run(std::chrono::seconds(1));
  BOOST_TEST(rig.WorkerOf(Task()) == WorkerId(2));
}

// Guards against a task that nobody starts again, or an attempt that is
// counted, if the owner that ordered the stop has a successor.
BOOST_AUTO_TEST_CASE(the_owner_is_succeeded_during_the_stop) {
  for (const bool is_stop_carried_out : {false, true}) {
    const auto job = MakeJob("job", {BudgetStep(1, 1)});
    departure_rig earlier;
    earlier.AddWorkers(0, 1);
    earlier.RunJob(job);
    earlier.AddWorkers(1, 1);
    earlier.Drain(WorkerId(0));
    earlier.Run(kTick);
    BOOST_REQUIRE_EQUAL(earlier.stops.size(), 1);
    if (is_stop_carried_out) {
      earlier.EndRun(WorkerId(0), Task(), run_outcome::kStopped);
    }
    pool_scheduler_options options;
    options.run_number_base = 100'000;
    options.earlier_workers = {WorkerId(0), WorkerId(1)};
    options.earlier_leases_expire_at = earlier.now + std::chrono::seconds(7);
    departure_rig successor(options);
    successor.now = earlier.now;
    successor.agents = earlier.agents;
    successor.started_at = earlier.started_at;
    for (const auto& [id, target] : successor.agents) {
      successor.scheduler.SetWorker(target.info, successor.now);
    }
    job_progress progress = InitialProgress(job);
    progress.state = job_state::kActive;
    progress.has_started = true;
    successor.scheduler.RestoreJob(job, progress, successor.now);
    successor.Run(std::chrono::seconds(2));
    BOOST_TEST(successor.WorkerOf(Task()) == WorkerId(1));
    BOOST_TEST(successor.starts.size() == 1);
    successor.scheduler.CancelJob("job", successor.now);
    const auto batch = successor.scheduler.TakeProgress();
    BOOST_REQUIRE_EQUAL(batch.jobs.size(), 1);
    BOOST_TEST(RunsAt(batch.jobs[0].progress.occurrences[0][0].failed_runs, 0)
                   .empty());
  }
}

// Guards against stops of a successor that does not yet know what runs on the
// other workers, so that it cannot start the task.
BOOST_AUTO_TEST_CASE(
    a_successor_moves_nothing_before_its_takeover_is_complete) {
  const auto job = MakeJob("job", {ServiceStep(1)});
  pool_scheduler_options options;
  options.earlier_workers = {WorkerId(0), "unknown"};
  departure_rig rig(options);
  rig.scheduler.SetEarlierLeasesExpiry(rig.now + std::chrono::seconds(4));
  rig.AddWorkers(0, 2);
  rig.scheduler.RestoreJob(job, InitialProgress(job), rig.now);
  rig.agents[WorkerId(0)].running[Task()] = {Task(), 7, {}, 100, 0};
  rig.Drain(WorkerId(0));
  rig.Run(std::chrono::seconds(3));
  BOOST_TEST(rig.stops.empty());
  rig.Run(std::chrono::seconds(2));
  BOOST_TEST(rig.WorkerOf(Task()) == WorkerId(1));
}

// Guards against stops of tasks that the advisor allows nowhere else, and
// against calls that are repeated without use.
BOOST_AUTO_TEST_CASE(an_advisor_that_refuses_all_others_keeps_the_task) {
  departure_rig rig;
  rig.AddWorkers(0, 1);
  rig.RunJob(Advised(MakeJob("job", {ServiceStep(1)})));
  BOOST_REQUIRE(rig.WorkerOf(Task()) == WorkerId(0));
  const std::size_t calls = rig.approvals.size();
  rig.AddWorkers(1, 5);
  for (int i = 1; i < 6; ++i) rig.refused.insert(WorkerId(i));
  rig.Drain(WorkerId(0));
  rig.Run(std::chrono::seconds(5));
  BOOST_TEST(rig.stops.empty());
  BOOST_TEST(rig.approvals.size() > calls);
  BOOST_TEST(rig.approvals.size() <= calls + 5);
}

// Guards against a stop that is ordered before the advisor has approved another
// worker, and against a start without a valid ticket after it.
BOOST_AUTO_TEST_CASE(approvals_are_requested_ahead_of_the_stop) {
  departure_rig rig;
  rig.AddWorkers(0, 1);
  rig.RunJob(Advised(MakeJob("job", {ServiceStep(1)})));
  rig.AddWorkers(1, 4);
  for (int i = 1; i < 4; ++i) rig.refused.insert(WorkerId(i));
  rig.Drain(WorkerId(0));
  rig.has_advisor_failed = true;
  rig.Run(std::chrono::seconds(1));
  BOOST_TEST(rig.stops.empty());
  rig.has_advisor_failed = false;
  rig.Run(std::chrono::seconds(2));
  BOOST_TEST(rig.stops.size() == 1);
  BOOST_TEST(rig.WorkerOf(Task()) == WorkerId(4));
  BOOST_TEST(rig.starts.back().ticket == "ticket of " + WorkerId(4));
}

// Guards against tasks with checkpoints that lose their last part with the
// worker, and against stops of those that end in time or have no checkpoint.
BOOST_AUTO_TEST_CASE(checkpointing_tasks_move_if_they_cannot_end_in_time) {
  struct row {
    bool checkpoints;
    std::int64_t estimate_ms;
    std::size_t stops;
  };
  const std::vector<row> rows = {
      {true, 30'000, 1}, {true, 5000, 0}, {false, 30'000, 0}};
  for (const row& each : rows) {
    departure_rig rig;
    rig.AddWorkers(0, 1);
    graph_step step = MakeStep(1, kTask);
    step.checkpoints = each.checkpoints;
    step.estimate_ms = each.estimate_ms;
    rig.RunJob(MakeJob("job", {step}));
    rig.AddWorkers(1, 1);
    rig.Drain(WorkerId(0));
    rig.Run(std::chrono::seconds(2));
    BOOST_TEST(rig.stops.size() == each.stops);
    BOOST_TEST(rig.starts.size() == 1 + each.stops);
    if (each.stops == 0) continue;
    BOOST_TEST(rig.starts.back().worker == WorkerId(1));
    BOOST_TEST(rig.starts.back().checkpoint == "saved");
  }
}

// Guards against a time left that begins anew whenever the entry of the worker
// is listed again.
BOOST_AUTO_TEST_CASE(the_time_left_counts_from_its_first_listing) {
  departure_rig rig;
  rig.AddWorkers(0, 1);
  graph_step step = MakeStep(1, kTask);
  step.checkpoints = true;
  step.estimate_ms = 8000;
  rig.RunJob(MakeJob("job", {step}));
  rig.AddWorkers(1, 1);
  // The task is expected to end 7 s from now.
  rig.Drain(WorkerId(0), milliseconds(7500));
  rig.Run(std::chrono::seconds(6));
  BOOST_TEST(rig.stops.empty());
  rig.agents[WorkerId(0)].info.labels = {"changed"};
  rig.scheduler.SetWorker(rig.agents[WorkerId(0)].info, rig.now);
  rig.Run(milliseconds(1400));
  BOOST_TEST(rig.stops.size() == 1);
}

// Guards against stops that rely on what was known of a worker earlier.
BOOST_AUTO_TEST_CASE(stale_information_moves_nothing) {
  using change = std::function<void(departure_rig&)>;
  const std::vector<std::pair<std::string, change>> rows = {
      {"not listed",
       [](departure_rig& rig) { rig.scheduler.RemoveWorker(WorkerId(0)); }},
      {"silent", [](departure_rig& rig) { rig.silent.insert(WorkerId(0)); }},
      {"the entry is of another incarnation",
       [](departure_rig& rig) {
         pool_worker info = rig.agents[WorkerId(0)].info;
         ++info.incarnation;
         rig.scheduler.SetWorker(info, rig.now);
       }},
      {"drains no more",
       [](departure_rig& rig) {
         rig.agents[WorkerId(0)].info.is_draining = false;
         rig.scheduler.SetWorker(rig.agents[WorkerId(0)].info, rig.now);
       }},
  };
  for (const auto& [name, change_worker] : rows) {
    departure_rig rig;
    rig.AddWorkers(0, 1);
    rig.RunJob(MakeJob("job", {ServiceStep(1)}));
    rig.Drain(WorkerId(0));
    change_worker(rig);
    rig.Run(std::chrono::seconds(2));
    rig.AddWorkers(1, 1);
    rig.Run(std::chrono::seconds(2));
    BOOST_TEST(rig.stops.empty(), name);
  }
}

// Guards against a gang that is broken up because one of its workers leaves.
BOOST_AUTO_TEST_CASE(gangs_are_left_alone) {
  departure_rig rig;
  rig.AddWorkers(0, 2);
  graph_step step = ServiceStep(2);
  step.is_gang = true;
  rig.RunJob(MakeJob("job", {step}));
  BOOST_REQUIRE_EQUAL(rig.CountRunningTasks(), 2);
  rig.AddWorkers(2, 2);
  rig.Drain(WorkerId(0));
  rig.Run(std::chrono::seconds(2));
  BOOST_TEST(rig.stops.empty());
}

// Guards against a place on a worker that already has as many tasks of the step
// as it may, counting those that are on their way.
BOOST_AUTO_TEST_CASE(moves_keep_the_limit_per_worker) {
  departure_rig rig;
  rig.AddWorkers(0, 2);
  graph_step step = ServiceStep(2);
  step.max_per_worker = 1;
  rig.RunJob(MakeJob("job", {step}));
  rig.AddWorker("large", {8000, 65'536, 0});
  rig.Drain(WorkerId(0));
  rig.Drain(WorkerId(1));
  rig.Run(std::chrono::seconds(2));
  BOOST_TEST(rig.stops.size() == 1);
  BOOST_TEST(rig.CountRunningOn({"large"}) == 1);
}

// Guards against tasks of a budgeted step that another partition lent: how many
// of its tasks are away is not known here.
BOOST_AUTO_TEST_CASE(a_guest_with_a_budget_stays) {
  for (const bool has_budget : {false, true}) {
    departure_rig rig;
    rig.AddWorkers(0, 1);
    auto job = MakeJob("job", {BudgetStep(2, 1)});
    job.graph.steps[0].has_disruption_budget = has_budget;
    job.guest = guest_tasks{"home", {{0, 0, 1, 5}}};
    rig.RunJob(job);
    BOOST_REQUIRE(rig.WorkerOf(Task(1)) == WorkerId(0));
    rig.AddWorkers(1, 1);
    rig.Drain(WorkerId(0));
    rig.Run(std::chrono::seconds(2));
    BOOST_TEST(rig.stops.size() == (has_budget ? 0 : 1));
  }
}

}  // namespace
}  // namespace apricotwheel

#include <boost/test/unit_test.hpp>

#include "tests/graph/crash_rig.h"

namespace apricotwheel {
namespace {

using testing::crash_rig;
using testing::kCrashAfter;
using testing::kSmall;
using testing::kTick;
using testing::kWorker;
using testing::MakeJob;
using testing::MakeStep;
using testing::RunsAt;
using testing::scheduler_rig;

bool IsDeadlyJob(const task_key& task) { return task.job_id == "deadly"; }

// A crash of one worker, learned from the report of the next incarnation.
void Restart(crash_rig& rig, const std::string& worker) {
  rig.Crash(worker);
  rig.back_at.clear();
  rig.Return(worker);
}

job_submission MakeService(const std::string& id) {
  job_submission job = MakeJob(id, {MakeStep(1, kSmall)});
  job.graph.steps[0].is_service = true;
  return job;
}

// Guards against a task that takes one worker down after the other for as long
// as its job is open.
BOOST_AUTO_TEST_CASE(a_task_that_crashes_its_workers_is_given_up) {
  crash_rig rig;
  rig.AddWorkers(6);
  rig.is_deadly = IsDeadlyJob;
  rig.scheduler.AdmitJob(MakeJob("deadly", {MakeStep(1, kSmall)}), rig.now);
  rig.Run(std::chrono::seconds(45));
  BOOST_TEST_MESSAGE("starts in 45 s: " << rig.starts.size());
  BOOST_TEST(rig.starts.size() == 2);
  BOOST_TEST((rig.scheduler.FindJobState("deadly") == job_state::kFailed));
}

// The same for lasting tasks, gangs and tasks with a checkpoint.
BOOST_AUTO_TEST_CASE(each_kind_of_task_is_given_up) {
  for (const bool is_gang : {false, true}) {
    crash_rig rig;
    rig.AddWorkers(6);
    rig.is_deadly = [](const task_key& task) { return task.index == 0; };
    job_submission job = MakeJob("deadly", {MakeStep(is_gang ? 3 : 1, kSmall)});
    graph_step& step = job.graph.steps[0];
    step.is_gang = is_gang;
    step.is_service = !is_gang;
    step.checkpoints = true;
    rig.scheduler.AdmitJob(job, rig.now);
    rig.Run(std::chrono::seconds(45));
    BOOST_TEST(rig.StartsOf({"deadly", 0, 0, 0}) == 2);
    BOOST_TEST((rig.scheduler.FindJobState("deadly") == job_state::kFailed));
  }
}

// Guards against a crash that is counted only if the session notices the exit.
BOOST_AUTO_TEST_CASE(a_new_incarnation_shows_a_crash) {
  crash_rig rig;
  rig.AddWorkers(1);
  rig.scheduler.AdmitJob(MakeService("job"), rig.now);
  rig.DecideAndCarryOut();
  Restart(rig, "w0");
  BOOST_TEST(rig.scheduler.WorkersCrashed() == 1);
  const auto batch = rig.StoreProgress();
  BOOST_REQUIRE_EQUAL(batch.jobs.size(), 1);
  BOOST_TEST(
      RunsAt(batch.jobs[0].progress.occurrences[0][0].crashed_runs, 0).size() ==
      1);
}

// Guards against a network cut that counts as a crash, and against a crash that
// is missed because the leases had expired, or because the worker was delisted,
// before its new incarnation reported.
BOOST_AUTO_TEST_CASE(expired_leases_are_a_crash_once_it_is_shown) {
  for (const bool is_delisted : {false, true}) {
    crash_rig rig;
    rig.AddWorkers(1);
    rig.scheduler.AdmitJob(MakeService("job"), rig.now);
    rig.DecideAndCarryOut();
    if (is_delisted) rig.scheduler.RemoveWorker("w0");
    rig.scheduler.ExpireWorkerLeases("w0", false, rig.now);
    rig.Decide();
    BOOST_TEST(rig.scheduler.WorkersCrashed() == 0);
    rig.AdvanceClock(std::chrono::seconds(20));
    Restart(rig, "w0");
    BOOST_TEST(rig.scheduler.WorkersCrashed() == 1);
    const auto batch = rig.StoreProgress();
    BOOST_REQUIRE_EQUAL(batch.jobs.size(), 1);
    const auto& step = batch.jobs[0].progress.occurrences[0][0];
    BOOST_TEST(RunsAt(step.crashed_runs, 0).size() == 1);
    // A second report of the incarnation counts nothing again.
    rig.ReportWorker("w0");
    BOOST_TEST(rig.scheduler.WorkersCrashed() == 1);
  }
}

// Guards against a task that is suspected of a crash that did not happen: a
// worker counted as exited, and its agent reports again.
BOOST_AUTO_TEST_CASE(a_worker_that_reports_again_has_not_crashed) {
  crash_rig rig;
  rig.AddWorkers(1);
  rig.scheduler.AdmitJob(MakeService("job"), rig.now);
  rig.DecideAndCarryOut();
  rig.scheduler.ExpireWorkerLeases("w0", true, rig.now);
  rig.StoreProgress();
  rig.ReportWorker("w0");
  const auto batch = rig.StoreProgress();
  BOOST_REQUIRE_EQUAL(batch.jobs.size(), 1);
  BOOST_TEST(
      RunsAt(batch.jobs[0].progress.occurrences[0][0].crashed_runs, 0).empty());
}

// Guards against a worker that is remembered for ever because its agent never
// comes back.
BOOST_AUTO_TEST_CASE(a_worker_that_does_not_come_back_is_forgotten) {
  crash_rig rig;
  rig.AddWorkers(2);
  rig.scheduler.AdmitJob(MakeService("job"), rig.now);
  rig.DecideAndCarryOut();
  const std::string worker = rig.starts.at(0).worker;
  rig.scheduler.RemoveWorker(worker);
  rig.scheduler.ExpireWorkerLeases(worker, false, rig.now);
  rig.AdvanceClock(std::chrono::seconds(61));
  rig.Decide();
  rig.AdvanceClock(std::chrono::seconds(1));
  Restart(rig, worker);
  BOOST_TEST(rig.scheduler.WorkersCrashed() == 0);
}

// Guards against a planned leave that counts as a crash, whether the exit is
// noticed or the next incarnation is listed and reports first.
BOOST_AUTO_TEST_CASE(a_planned_leave_is_no_crash) {
  for (const bool is_noticed : {false, true}) {
    crash_rig rig;
    rig.AddWorkers(1);
    rig.scheduler.AdmitJob(MakeService("job"), rig.now);
    rig.DecideAndCarryOut();
    pool_worker& info = rig.agents["w0"].info;
    info.is_draining = true;
    rig.scheduler.SetWorker(info, rig.now);
    if (is_noticed) rig.scheduler.ExpireWorkerLeases("w0", true, rig.now);
    info.is_draining = false;
    Restart(rig, "w0");
    BOOST_TEST(rig.scheduler.WorkersCrashed() == 0);
    BOOST_TEST(rig.DecideAndCarryOut().starts.size() == 1);
    // The next exit is unplanned.
    rig.scheduler.ExpireWorkerLeases("w0", true, rig.now);
    BOOST_TEST(rig.scheduler.WorkersCrashed() == 1);
  }
}

// Guards against a count that is lost with the owner.
BOOST_AUTO_TEST_CASE(crashes_survive_a_change_of_owner) {
  const job_submission job = MakeJob("deadly", {MakeStep(1, kSmall)});
  crash_rig first;
  first.AddWorkers(3);
  first.scheduler.AdmitJob(job, first.now);
  first.DecideAndCarryOut();
  Restart(first, first.starts.at(0).worker);
  const auto batch = first.StoreProgress();
  BOOST_REQUIRE_EQUAL(batch.jobs.size(), 1);
  const std::string stored = EncodeProgress(batch.jobs[0].progress);
  auto progress = Attempt([&] { return DecodeProgress(stored, job.graph); });
  BOOST_REQUIRE(progress);
  pool_scheduler_options options;
  options.run_number_base = 1000;
  crash_rig second(options);
  second.AddWorkers(3);
  second.is_deadly = IsDeadlyJob;
  second.scheduler.RestoreJob(job, *progress, second.now);
  second.Run(std::chrono::seconds(20));
  BOOST_TEST(second.starts.size() == 1);
  BOOST_TEST((second.scheduler.FindJobState("deadly") == job_state::kFailed));
}

// Guards against a rack that loses power and makes suspects of all tasks there.
BOOST_AUTO_TEST_CASE(a_mass_failure_marks_no_task) {
  crash_rig rig;
  rig.AddWorkers(4, "a");
  rig.AddWorkers(20, "b");
  for (int i = 0; i < 24; ++i) {
    job_submission job =
        MakeJob("job" + std::to_string(i), {MakeStep(1, {3000, 1024, 0})});
    rig.scheduler.AdmitJob(job, rig.now);
  }
  rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(rig.CountRunningTasks(), 24);
  for (const char* id : {"aw0", "aw1", "aw2", "aw3"}) {
    rig.Crash(id);
    rig.scheduler.ExpireWorkerLeases(id, true, rig.now);
    rig.AdvanceClock(milliseconds(50));
  }
  BOOST_TEST(rig.scheduler.WorkersCrashed() == 4);
  std::size_t excused = 0;
  for (const auto& entry : rig.StoreProgress().jobs) {
    const auto& step = entry.progress.occurrences[0][0];
    BOOST_TEST(RunsAt(step.crashed_runs, 0).empty());
    excused += RunsAt(step.excused_runs, 0).size();
  }
  BOOST_TEST(excused == 4);
}

// Guards against a wide job of crashing tasks that is taken for a mass failure:
// it had runs on all the workers that fell.
BOOST_AUTO_TEST_CASE(crashes_under_one_job_are_no_mass_failure) {
  crash_rig rig;
  rig.AddWorkers(6);
  rig.is_deadly = IsDeadlyJob;
  job_submission job = MakeJob("deadly", {MakeStep(6, kSmall)});
  job.graph.steps[0].max_per_worker = 1;
  rig.scheduler.AdmitJob(job, rig.now);
  rig.Run(kCrashAfter + kTick);
  BOOST_TEST(rig.scheduler.WorkersCrashed() == 6);
  for (const auto& entry : rig.StoreProgress().jobs) {
    const auto& crashed = entry.progress.occurrences[0][0].crashed_runs;
    BOOST_TEST(crashed.size() == 6);
    for (const auto& [index, runs] : crashed) BOOST_TEST(runs.size() == 1);
  }
}

// Guards against a task without limit whose crashes are all excused.
BOOST_AUTO_TEST_CASE(excused_crashes_have_a_limit) {
  crash_rig rig;
  rig.AddWorkers(5, "a");
  for (int i = 0; i < 5; ++i) {
    job_submission job = MakeService("job" + std::to_string(i));
    job.graph.steps[0].need = {3000, 1024, 0};
    rig.scheduler.AdmitJob(job, rig.now);
  }
  for (int round = 0; round < 20; ++round) {
    rig.DecideAndCarryOut();
    for (auto& [id, target] : rig.agents) {
      rig.Crash(id);
      rig.scheduler.ExpireWorkerLeases(id, true, rig.now);
    }
    rig.back_at.clear();
    rig.AdvanceClock(std::chrono::seconds(2));
    for (auto& [id, target] : rig.agents) rig.Return(id);
  }
  for (int i = 0; i < 5; ++i) {
    const std::string id = "job" + std::to_string(i);
    BOOST_TEST(rig.StartsOf({id, 0, 0, 0}) >= 3);
    BOOST_TEST(rig.StartsOf({id, 0, 0, 0}) <= 4);
    BOOST_TEST((rig.scheduler.FindJobState(id) == job_state::kFailed));
  }
}

// Guards against an innocent task that is given up because it ran beside one
// that crashes its workers.
BOOST_AUTO_TEST_CASE(tasks_beside_a_crashing_one_are_not_given_up) {
  crash_rig rig;
  rig.AddWorkers(12);
  rig.is_deadly = IsDeadlyJob;
  for (int i = 0; i < 40; ++i) {
    rig.scheduler.AdmitJob(
        MakeJob("job" + std::to_string(i), {MakeStep(1, kSmall)}), rig.now);
    if (i == 1) {
      rig.scheduler.AdmitJob(MakeJob("deadly", {MakeStep(1, kSmall)}), rig.now);
    }
  }
  rig.Run(std::chrono::seconds(10));
  BOOST_TEST((rig.scheduler.FindJobState("deadly") == job_state::kFailed));
  BOOST_TEST(rig.crash_count == 2);
  for (int i = 0; i < 40; ++i) {
    const auto state = rig.scheduler.FindJobState("job" + std::to_string(i));
    BOOST_TEST((state == job_state::kCompleted));
    const task_key task{"job" + std::to_string(i), 0, 0, 0};
    BOOST_TEST(rig.crashes[task] <= 1);
  }
}

// Guards against a suspect that waits for ever because small tasks take each
// part of a worker as soon as it is free.
BOOST_AUTO_TEST_CASE(a_worker_is_emptied_for_a_suspect) {
  crash_rig rig;
  rig.AddWorkers(6);
  rig.is_deadly = IsDeadlyJob;
  rig.scheduler.AdmitJob(MakeJob("deadly", {MakeStep(1, kSmall)}, 5), rig.now);
  for (int i = 0; i < 400; ++i) {
    rig.scheduler.AdmitJob(
        MakeJob("job" + std::to_string(i), {MakeStep(1, kSmall)}), rig.now);
  }
  rig.DecideAndCarryOut();
  for (const start_order& order : rig.starts) {
    rig.started_at[{order.worker, order.task}] = rig.now;
  }
  rig.Run(std::chrono::seconds(40));
  BOOST_TEST(rig.crash_count == 2);
  BOOST_TEST((rig.scheduler.FindJobState("deadly") == job_state::kFailed));
  for (const auto& [task, count] : rig.crashes) BOOST_TEST(count <= 2);
}

// Guards against a job of many crashing tasks that takes down one worker for
// each of them, and all workers at once.
BOOST_AUTO_TEST_CASE(a_wide_job_takes_few_workers_down) {
  crash_rig rig;
  rig.AddWorkers(12);
  rig.is_deadly = IsDeadlyJob;
  job_submission job = MakeJob("deadly", {MakeStep(60, kSmall)});
  job.graph.steps[0].max_per_worker = 1;
  rig.scheduler.AdmitJob(job, rig.now);
  rig.Run(std::chrono::seconds(20));
  BOOST_TEST((rig.scheduler.FindJobState("deadly") == job_state::kFailed));
  // The first wave, and one suspect alone.
  BOOST_TEST(rig.crash_count == 13);
}

// Guards against a stream of crashing tasks that keeps the pool down: each is
// given up after two crashes, and the other jobs complete.
BOOST_AUTO_TEST_CASE(a_pool_survives_a_stream_of_crashing_tasks) {
  crash_rig rig;
  rig.AddWorkers(24);
  rig.is_deadly = [](const task_key& task) {
    return task.job_id.starts_with("deadly");
  };
  constexpr int kRounds = 100;
  for (int i = 0; i < kRounds; ++i) {
    const std::string number = std::to_string(i);
    rig.scheduler.AdmitJob(MakeJob("deadly" + number, {MakeStep(1, kSmall)}),
                           rig.now);
    for (int k = 0; k < 4; ++k) {
      rig.scheduler.AdmitJob(MakeJob("job" + number + "-" + std::to_string(k),
                                     {MakeStep(1, kSmall)}),
                             rig.now);
    }
    rig.Tick();
  }
  rig.Run(std::chrono::seconds(60));
  int failed = 0;
  int completed = 0;
  int most_starts = 0;
  for (int i = 0; i < kRounds; ++i) {
    const std::string number = std::to_string(i);
    const std::string deadly = "deadly" + number;
    failed += rig.scheduler.FindJobState(deadly) == job_state::kFailed;
    most_starts = std::max(most_starts, rig.StartsOf({deadly, 0, 0, 0}));
    for (int k = 0; k < 4; ++k) {
      completed += rig.scheduler.FindJobState("job" + number + "-" +
                                              std::to_string(k)) ==
                   job_state::kCompleted;
    }
  }
  BOOST_TEST_MESSAGE("crashes: " << rig.crash_count
                                 << ", most starts of a task: " << most_starts);
  BOOST_TEST(failed == kRounds);
  BOOST_TEST(completed == 4 * kRounds);
  BOOST_TEST(most_starts <= 4);
}

// Guards against a lasting task that holds a whole worker for ever after a
// crash that it did not cause.
BOOST_AUTO_TEST_CASE(a_lasting_task_that_runs_on_is_cleared) {
  crash_rig rig;
  rig.AddWorkers(1);
  rig.is_lasting = [](const task_key& task) {
    return task.job_id == "lasting";
  };
  rig.scheduler.AdmitJob(MakeService("lasting"), rig.now);
  rig.DecideAndCarryOut();
  Restart(rig, "w0");
  rig.Run(std::chrono::seconds(1));
  BOOST_TEST(rig.StartsOf({"lasting", 0, 0, 0}) == 2);
  rig.scheduler.AdmitJob(MakeJob("other", {MakeStep(1, kSmall)}), rig.now);
  rig.Run(std::chrono::seconds(3));
  BOOST_TEST(rig.StartsOf({"other", 0, 0, 0}) == 0);
  rig.Run(std::chrono::seconds(4));
  BOOST_TEST(rig.StartsOf({"other", 0, 0, 0}) == 1);
  bool is_cleared = false;
  for (const auto& entry : rig.StoreProgress().jobs) {
    is_cleared =
        is_cleared ||
        (entry.job_id == "lasting" &&
         RunsAt(entry.progress.occurrences[0][0].crashed_runs, 0).empty());
  }
  BOOST_TEST(is_cleared);
}

// Guards against a lasting task that becomes a suspect although it ran long
// before the crash: it would wait for a worker of its own.
BOOST_AUTO_TEST_CASE(a_crash_does_not_count_against_a_long_run) {
  for (const bool is_noticed : {false, true}) {
    crash_rig rig;
    rig.AddWorkers(1);
    rig.is_lasting = [](const task_key&) { return true; };
    rig.scheduler.AdmitJob(MakeService("lasting"), rig.now);
    rig.Run(std::chrono::seconds(6));
    rig.scheduler.AdmitJob(MakeService("new"), rig.now);
    rig.Run(std::chrono::seconds(1));
    if (!is_noticed) rig.scheduler.ExpireWorkerLeases("w0", false, rig.now);
    Restart(rig, "w0");
    for (const auto& entry : rig.StoreProgress().jobs) {
      const auto& step = entry.progress.occurrences[0][0];
      const bool is_new = entry.job_id == "new";
      BOOST_TEST(RunsAt(step.crashed_runs, 0).size() == (is_new ? 1 : 0));
      BOOST_TEST(RunsAt(step.excused_runs, 0).size() == (is_new ? 0 : 1));
    }
  }
}

// Guards against a lasting suspect that waits long for a worker of its own:
// tasks of unknown length hold all workers, and other suspects use up their
// share.
BOOST_AUTO_TEST_CASE(a_lasting_suspect_runs_again_soon) {
  crash_rig rig;
  rig.AddWorkers(3);
  rig.is_lasting = [](const task_key&) { return true; };
  rig.scheduler.AdmitJob(MakeService("lasting"), rig.now);
  rig.scheduler.AdmitJob(MakeJob("long", {MakeStep(5, kSmall)}), rig.now);
  rig.Run(std::chrono::seconds(1));
  const std::string worker = rig.starts.at(0).worker;
  rig.scheduler.AdmitJob(MakeJob("more", {MakeStep(6, kSmall)}), rig.now);
  rig.Run(std::chrono::seconds(1));
  rig.Crash(worker);
  rig.scheduler.ExpireWorkerLeases(worker, true, rig.now);
  rig.back_at.clear();
  rig.Return(worker);
  rig.Run(std::chrono::seconds(5));
  BOOST_TEST(rig.StartsOf({"lasting", 0, 0, 0}) == 2);
}

// Guards against lasting suspects of one job that wait for each other: each one
// ran alone until it was cleared, so the last of four was away for 15 s.
BOOST_AUTO_TEST_CASE(lasting_suspects_of_one_job_do_not_wait_for_each_other) {
  constexpr std::uint32_t kTasks = 4;
  crash_rig rig;
  rig.AddWorkers(1);
  rig.is_lasting = [](const task_key&) { return true; };
  job_submission job = MakeService("lasting");
  job.graph.steps[0].task_count = kTasks;
  rig.scheduler.AdmitJob(job, rig.now);
  rig.Run(milliseconds(500));
  rig.AddWorkers(8);
  Restart(rig, "w0");
  rig.Run(std::chrono::seconds(5));
  for (std::uint32_t i = 0; i < kTasks; ++i) {
    BOOST_TEST(rig.StartsOf({"lasting", 0, 0, i}) == 2);
  }
}

// Guards against a suspect that never starts because each worker has a lasting
// task.
BOOST_AUTO_TEST_CASE(a_suspect_starts_although_no_worker_can_be_emptied) {
  crash_rig rig;
  rig.AddWorkers(2);
  rig.is_lasting = [](const task_key& task) { return task.job_id != "job"; };
  for (const char* id : {"lasting0", "lasting1"}) {
    job_submission lasting = MakeService(id);
    lasting.graph.steps[0].need = {2500, 1024, 0};
    rig.scheduler.AdmitJob(lasting, rig.now);
  }
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(1, kSmall)}), rig.now);
  rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(rig.CountRunningTasks(), 3);
  const auto job_start = std::find_if(
      rig.starts.begin(), rig.starts.end(),
      [](const auto& order) { return order.task.job_id == "job"; });
  Restart(rig, job_start->worker);
  for (const start_order& order : rig.starts) {
    rig.started_at[{order.worker, order.task}] = rig.now;
  }
  rig.Run(std::chrono::seconds(15));
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kCompleted));
  BOOST_TEST(rig.CountRunningTasks() == 2);
}

// Guards against a suspect that loses its checkpoint.
BOOST_AUTO_TEST_CASE(a_suspect_keeps_its_checkpoint) {
  crash_rig rig;
  rig.AddWorkers(1);
  job_submission job = MakeJob("job", {MakeStep(1, kSmall)});
  job.graph.steps[0].checkpoints = true;
  rig.scheduler.AdmitJob(job, rig.now);
  rig.DecideAndCarryOut();
  rig.agents["w0"].running.begin()->second.checkpoint = "saved";
  rig.ReportWorker("w0");
  Restart(rig, "w0");
  const auto starts = rig.DecideAndCarryOut().starts;
  BOOST_REQUIRE_EQUAL(starts.size(), 1);
  BOOST_TEST(starts[0].checkpoint == "saved");
}

// Guards against a suspect that waits for ever for a ticket, since calls are
// made for workers with room, and the kept one has none.
BOOST_AUTO_TEST_CASE(a_suspect_gets_a_ticket_for_its_worker) {
  crash_rig rig;
  rig.AddWorkers(3);
  rig.is_deadly = IsDeadlyJob;
  job_submission job = MakeJob("deadly", {MakeStep(1, kSmall)});
  job.queue.advisor = advisor_settings{20'000, 300, milliseconds(1500)};
  rig.scheduler.AdmitJob(job, rig.now);
  for (int i = 0; i < 200; ++i) {
    rig.scheduler.AdmitJob(
        MakeJob("job" + std::to_string(i), {MakeStep(1, kSmall)}), rig.now);
  }
  std::size_t answered = 0;
  const auto until = rig.now + std::chrono::seconds(40);
  while (rig.now < until) {
    rig.Tick();
    for (; answered < rig.approvals.size(); ++answered) {
      const approval_request request = rig.approvals[answered];
      std::vector<approved_worker> approved;
      for (const pool_worker& worker : request.workers) {
        if (worker.id != "w0") approved.push_back({worker.id, "ticket"});
      }
      rig.scheduler.OnApprovalResult(request, approved, true, rig.now, rig.now);
    }
  }
  BOOST_TEST((rig.scheduler.FindJobState("deadly") == job_state::kFailed));
  BOOST_TEST(rig.StartsOf({"deadly", 0, 0, 0}) == 2);
}

// Guards against a gang that is given up because it ran beside a crashing task,
// and against tasks beside its members while it is a suspect.
BOOST_AUTO_TEST_CASE(a_gang_beside_a_crashing_task_runs_alone) {
  crash_rig rig;
  rig.AddWorkers(4);
  rig.is_deadly = IsDeadlyJob;
  rig.is_lasting = [](const task_key& task) {
    return task.job_id == "lasting";
  };
  job_submission gang = MakeJob("gang", {MakeStep(4, kSmall)});
  gang.graph.steps[0].is_gang = true;
  gang.graph.steps[0].max_per_worker = 2;
  rig.scheduler.AdmitJob(gang, rig.now);
  rig.scheduler.AdmitJob(MakeJob("deadly", {MakeStep(1, kSmall)}), rig.now);
  rig.scheduler.AdmitJob(MakeService("lasting"), rig.now);
  rig.Run(std::chrono::seconds(20));
  BOOST_TEST((rig.scheduler.FindJobState("deadly") == job_state::kFailed));
  BOOST_TEST((rig.scheduler.FindJobState("gang") == job_state::kCompleted));
  BOOST_TEST(rig.CountRunningTasks() == 1);
}

// Guards against a successor that places tasks beside a suspect that it has
// found running.
BOOST_AUTO_TEST_CASE(a_suspect_stays_alone_under_the_next_owner) {
  const job_submission job = MakeJob("job", {MakeStep(1, kSmall)});
  job_progress progress = InitialProgress(job.graph);
  progress.state = job_state::kActive;
  progress.has_started = true;
  progress.occurrences[0][0].crashed_runs[0] = {5};
  crash_rig rig;
  rig.scheduler.RestoreJob(job, progress, rig.now);
  reported_run run;
  run.task = {"job", 0, 0, 0};
  run.run = 6;
  rig.agents["w0"].running[run.task] = run;
  rig.AddWorkers(1);
  rig.scheduler.AdmitJob(MakeJob("other", {MakeStep(1, kSmall)}), rig.now);
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
  // It was alone, so the crash of its worker is the second one under it.
  rig.Crash("w0");
  rig.scheduler.ExpireWorkerLeases("w0", true, rig.now);
  rig.back_at.clear();
  rig.Return("w0");
  rig.Run(std::chrono::seconds(2));
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kFailed));
  BOOST_TEST((rig.scheduler.FindJobState("other") == job_state::kCompleted));
}

// Guards against a crash that is counted for a run that the next incarnation
// has started.
BOOST_AUTO_TEST_CASE(a_start_that_reached_the_next_agent_is_no_crash) {
  crash_rig rig;
  rig.AddWorkers(1);
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(1, kSmall)}), rig.now);
  const auto order = rig.Decide().starts.at(0);
  rig.Crash("w0");
  reported_run run;
  run.task = order.task;
  run.run = order.run;
  rig.agents["w0"].running[order.task] = run;
  rig.Return("w0");
  BOOST_TEST(rig.scheduler.WorkersCrashed() == 0);
}

// Guards against needless waits until a worker that is back is used: neither
// the failures of the earlier agent nor the crash keep tasks away from it.
BOOST_AUTO_TEST_CASE(a_worker_that_is_back_is_used_at_once) {
  crash_rig rig;
  rig.AddWorkers(1);
  rig.scheduler.AdmitJob(MakeService("lasting"), rig.now);
  job_submission failing = MakeJob("failing", {MakeStep(3, kSmall)});
  failing.queue.max_attempts = 10;
  rig.scheduler.AdmitJob(failing, rig.now);
  rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(rig.CountRunningTasks(), 4);
  for (std::uint32_t i = 0; i < 3; ++i) {
    rig.EndRun("w0", {"failing", 0, 0, i}, run_outcome::kFailed);
  }
  rig.ReportWorker("w0");
  BOOST_TEST(rig.DecideAndCarryOut().starts.empty());
  rig.Crash("w0");
  rig.scheduler.ExpireWorkerLeases("w0", true, rig.now);
  rig.back_at.clear();
  rig.Decide();
  rig.Return("w0");
  BOOST_TEST(!rig.DecideAndCarryOut().starts.empty());
}

// Guards against a lasting task that is held back until a suspect of its job
// has survived: nothing crashed under it, and it must run again soon.
BOOST_AUTO_TEST_CASE(a_lasting_task_is_not_held_back_for_long) {
  crash_rig rig;
  rig.AddWorkers(4);
  rig.is_lasting = [](const task_key&) { return true; };
  job_submission job = MakeService("lasting");
  job.graph.steps[0].task_count = 3;
  job.graph.steps[0].max_per_worker = 1;
  rig.scheduler.AdmitJob(job, rig.now);
  rig.Run(std::chrono::seconds(6));
  const auto worker_of = [&](const task_key& task) {
    const auto last = std::find_if(
        rig.starts.rbegin(), rig.starts.rend(),
        [&](const start_order& order) { return order.task == task; });
    return last->worker;
  };
  // The first crash is excused for its old run, the second makes a suspect.
  const task_key suspect{"lasting", 0, 0, 0};
  for (int i = 0; i < 2; ++i) {
    Restart(rig, worker_of(suspect));
    rig.Run(std::chrono::seconds(1));
  }
  BOOST_REQUIRE_EQUAL(rig.StartsOf(suspect), 3);
  const task_key other{"lasting", 0, 0, 2};
  const std::string lost = worker_of(other);
  rig.agents[lost].running.clear();
  rig.scheduler.ExpireWorkerLeases(lost, false, rig.now);
  rig.Run(milliseconds(3500));
  BOOST_TEST(rig.StartsOf(other) == 2);
}

// A wide job of which two workers have crashed, while long tasks of another job
// keep each worker from becoming empty, so that no suspect is judged.
void HoldBackWideJob(crash_rig& rig, resource_vector long_need) {
  rig.is_lasting = [](const task_key& task) {
    return task.job_id.starts_with("long");
  };
  rig.AddWorker("w2", kWorker);
  rig.scheduler.AdmitJob(MakeJob("long0", {MakeStep(1, long_need)}, 0),
                         rig.now);
  rig.DecideAndCarryOut();
  rig.AddWorkers(2);
  rig.scheduler.AdmitJob(MakeJob("deadly", {MakeStep(30, kSmall)}), rig.now);
  rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(rig.CountRunningTasks(), long_need == kSmall ? 12 : 9);
  for (const start_order& order : rig.starts) {
    rig.started_at[{order.worker, order.task}] = rig.now;
  }
  Restart(rig, "w0");
  Restart(rig, "w1");
  job_submission filler = MakeJob("long1", {MakeStep(2, kSmall)}, 0);
  filler.graph.steps[0].max_per_worker = 1;
  rig.scheduler.AdmitJob(filler, rig.now);
}

// Guards against a job that waits for ever because a suspect of it finds no
// empty worker.
BOOST_AUTO_TEST_CASE(tasks_are_not_held_back_for_ever) {
  crash_rig rig;
  HoldBackWideJob(rig, kWorker);
  rig.Run(milliseconds(1500));
  BOOST_TEST(rig.CountRunningTasks() == 3);
  rig.Run(milliseconds(7500));
  // Suspects only.
  BOOST_TEST(rig.ends["deadly"] <= 8);
  rig.Run(milliseconds(10'500));
  BOOST_TEST(rig.ends["deadly"] >= 30 - 8);
  // The suspects as well, one after the other.
  rig.Run(std::chrono::seconds(100));
  BOOST_TEST(rig.ends["deadly"] == 30);
}

// Guards against a job that is held back although as many of its tasks have
// ended as workers have crashed under it.
BOOST_AUTO_TEST_CASE(a_proven_step_is_not_held_back) {
  crash_rig rig;
  HoldBackWideJob(rig, kSmall);
  rig.Run(std::chrono::seconds(9));
  // All but the suspects.
  BOOST_TEST(rig.ends["deadly"] >= 30 - 8);
}

// Guards against a lasting step that is held back for crashes whose tasks were
// cleared long before.
BOOST_AUTO_TEST_CASE(cleared_crashes_of_a_step_do_not_add_up) {
  crash_rig rig;
  rig.AddWorkers(6);
  rig.is_lasting = [](const task_key&) { return true; };
  job_submission job = MakeService("lasting");
  job.graph.steps[0].task_count = 4;
  job.graph.steps[0].max_per_worker = 1;
  rig.scheduler.AdmitJob(job, rig.now);
  rig.Run(std::chrono::seconds(6));
  const auto worker_of = [&](const task_key& task) {
    return std::find_if(rig.starts.rbegin(), rig.starts.rend(),
                        [&](const auto& order) { return order.task == task; })
        ->worker;
  };
  const task_key suspect{"lasting", 0, 0, 0};
  constexpr int kRounds = 5;
  for (int i = 0; i < kRounds; ++i) {
    // The first crash is excused for its old run, the second is counted.
    Restart(rig, worker_of(suspect));
    rig.Run(std::chrono::seconds(1));
    Restart(rig, worker_of(suspect));
    if (i + 1 < kRounds) rig.Run(std::chrono::seconds(8));
  }
  const task_key other{"lasting", 0, 0, 2};
  const std::string lost = worker_of(other);
  rig.agents[lost].running.clear();
  rig.scheduler.ExpireWorkerLeases(lost, false, rig.now);
  rig.Run(std::chrono::seconds(1));
  BOOST_TEST(rig.StartsOf(other) == 2);
}

// Guards against a bound that sets all tasks of a crashing job free at once:
// each crash holds the others back again.
BOOST_AUTO_TEST_CASE(crashing_tasks_that_are_set_free_are_held_back_again) {
  crash_rig rig;
  HoldBackWideJob(rig, kSmall);
  const std::size_t before = rig.crash_count;
  rig.is_deadly = IsDeadlyJob;
  rig.Run(std::chrono::seconds(100));
  BOOST_TEST_MESSAGE("further crashes: " << rig.crash_count - before);
  BOOST_TEST(rig.crash_count - before <= 5);
}

// Guards against a suspect that starts beside others at once after its second
// crash, because the wait after the first one still counted.
BOOST_AUTO_TEST_CASE(the_wait_of_a_suspect_starts_anew) {
  crash_rig rig;
  rig.AddWorkers(4);
  rig.is_lasting = [](const task_key&) { return true; };
  job_submission service = MakeService("service");
  service.graph.steps[0].task_count = 4;
  service.graph.steps[0].max_per_worker = 1;
  rig.scheduler.AdmitJob(service, rig.now);
  rig.Run(std::chrono::seconds(6));
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(1, kSmall)}), rig.now);
  rig.Run(std::chrono::seconds(1));
  const task_key task{"job", 0, 0, 0};
  rig.away_time = std::chrono::hours(1);
  for (int starts = 1; starts <= 2; ++starts) {
    BOOST_REQUIRE_EQUAL(rig.StartsOf(task), starts);
    const std::string worker = rig.starts.back().worker;
    rig.Crash(worker);
    rig.OnCrashNoticed(worker);
    // No worker can be emptied for it.
    rig.Run(milliseconds(1500));
    BOOST_TEST(rig.StartsOf(task) == starts);
    rig.Run(milliseconds(1000));
  }
  BOOST_TEST(rig.StartsOf(task) == 3);
}

// Two jobs with a suspect each, of which one has no ticket for the only worker
// that it may use: the advisor does not answer any more.
void CrashBesideBlockedJob(crash_rig& rig) {
  rig.AddWorkers(3);
  job_submission blocked = MakeJob("blocked", {MakeStep(1, kSmall)}, 0);
  blocked.queue.advisor = advisor_settings{20'000, 300, milliseconds(1500)};
  rig.scheduler.AdmitJob(blocked, rig.now);
  rig.Decide();
  BOOST_REQUIRE_EQUAL(rig.approvals.size(), 1);
  const std::vector<approved_worker> approved{{"w0", "ticket"}};
  rig.scheduler.OnApprovalResult(rig.approvals[0], approved, true, rig.now,
                                 rig.now);
  rig.scheduler.AdmitJob(MakeJob("job", {MakeStep(1, kSmall)}), rig.now);
  rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(rig.agents["w0"].running.size(), 2);
  rig.AdvanceClock(std::chrono::seconds(2));
  rig.ReportAll();
  Restart(rig, "w0");
}

// Guards against a suspect that waits for its turn beside an empty worker.
BOOST_AUTO_TEST_CASE(a_suspect_takes_an_empty_worker_without_a_turn) {
  crash_rig rig;
  CrashBesideBlockedJob(rig);
  rig.Run(std::chrono::seconds(2));
  BOOST_TEST(rig.StartsOf({"job", 0, 0, 0}) == 2);
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kCompleted));
}

// Guards against a suspect that waits for ever because other suspects use up
// their share of the workers: a turn ends if it is of no use.
BOOST_AUTO_TEST_CASE(a_suspect_gets_its_turn) {
  crash_rig rig;
  CrashBesideBlockedJob(rig);
  for (int i = 0; i < 200; ++i) {
    rig.scheduler.AdmitJob(
        MakeJob("other" + std::to_string(i), {MakeStep(1, kSmall)}, 0),
        rig.now);
  }
  rig.Run(std::chrono::seconds(2));
  BOOST_TEST(rig.StartsOf({"job", 0, 0, 0}) == 1);
  rig.Run(std::chrono::seconds(4));
  BOOST_TEST((rig.scheduler.FindJobState("job") == job_state::kCompleted));
}

// Guards against suspects that have most of a pool to themselves, because a
// successor finds them alone on their workers or because a gang is wide.
BOOST_AUTO_TEST_CASE(suspects_have_at_most_half_of_the_workers) {
  crash_rig rig;
  for (int i = 0; i < 8; ++i) {
    const std::string number = std::to_string(i);
    const job_submission job = MakeJob("job" + number, {MakeStep(1, kSmall)});
    job_progress progress = InitialProgress(job.graph);
    progress.state = job_state::kActive;
    progress.has_started = true;
    progress.occurrences[0][0].crashed_runs[0] = {5};
    rig.scheduler.RestoreJob(job, progress, rig.now);
    reported_run run;
    run.task = {job.id, 0, 0, 0};
    run.run = 6;
    rig.agents["w" + number].running[run.task] = run;
  }
  rig.AddWorkers(8);
  rig.Decide();
  BOOST_TEST(rig.scheduler.CountSuspectWorkers(rig.now) == 4);

  crash_rig other;
  other.AddWorkers(8);
  job_submission gang = MakeJob("gang", {MakeStep(6, kWorker)});
  gang.graph.steps[0].is_gang = true;
  other.scheduler.AdmitJob(gang, other.now);
  other.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(other.CountRunningTasks(), 6);
  Restart(other, "w0");
  const time_point until = other.now + std::chrono::seconds(5);
  while (other.now < until) {
    other.Tick();
    BOOST_TEST(other.scheduler.CountSuspectWorkers(other.now) <= 4);
  }
  BOOST_TEST((other.scheduler.FindJobState("gang") == job_state::kCompleted));
}

// Guards against a lasting task that may share a worker after 4 s but finds the
// only one with room kept for itself, because other work there does not end.
BOOST_AUTO_TEST_CASE(a_lasting_suspect_shares_the_worker_kept_for_it) {
  scheduler_rig rig;
  rig.AddWorker("w0", kSmall);
  rig.scheduler.AdmitJob(MakeService("job"), rig.now);
  rig.DecideAndCarryOut();
  rig.AddWorker("w1", kWorker);
  rig.scheduler.AdmitJob(MakeJob("long", {MakeStep(1, kSmall)}), rig.now);
  rig.DecideAndCarryOut();
  BOOST_REQUIRE_EQUAL(rig.starts.size(), 2);
  rig.agents.erase("w0");
  rig.scheduler.RemoveWorker("w0");
  rig.scheduler.ExpireWorkerLeases("w0", true, rig.now);
  const time_point lost_at = rig.now;
  while (rig.starts.size() == 2 && rig.now < lost_at + milliseconds(15'000)) {
    rig.AdvanceClock(kTick);
    rig.ReportAll();
    rig.DecideAndCarryOut();
  }
  BOOST_REQUIRE_EQUAL(rig.starts.size(), 3);
  BOOST_TEST(rig.starts.back().worker == "w1");
  BOOST_TEST((rig.now <= lost_at + milliseconds(4500)));
}

}  // namespace
}  // namespace apricotwheel

#include <boost/test/unit_test.hpp>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel {
namespace {

using testing::MakeJob;
using testing::MakeStep;
using testing::scheduler_rig;

constexpr auto kTick = milliseconds(100);
constexpr std::int64_t kSingleRunMs = 1000;
constexpr resource_vector kSingle{1000, 1024, 1};
constexpr resource_vector kWholeVm{8000, 8192, 8};

// Tasks of one accelerator each ("singles") that fill a pool and arrive as fast
// as earlier ones end.
struct single_stream {
  scheduler_rig rig;
  std::map<task_key, time_point> ends_at;
  int submitted = 0;

  single_stream() {
    rig.AddWorker("w1", {64'000, 262'144, 8});
    rig.AddWorker("w2", {64'000, 262'144, 8});
    // Staggered submissions, so that the ends are spread over one run time.
    for (int i = 0; i < 20; ++i) {
      Submit(2);
      Tick();
    }
  }

  void Submit(int count) {
    for (int i = 0; i < count; ++i) {
      auto step = MakeStep(1, kSingle);
      step.estimate_ms = kSingleRunMs;
      rig.scheduler.AdmitJob(
          MakeJob("single" + std::to_string(submitted++), {step}, 2), rig.now);
    }
  }
  // Ends the runs that are due, runs one pass and advances the clock by a tick.
  void Tick() {
    for (auto& [id, agent] : rig.agents) {
      std::vector<task_key> due;
      for (const auto& [task, run] : agent.running) {
        const auto found = ends_at.find(task);
        if (found != ends_at.end() && found->second <= rig.now) {
          due.push_back(task);
        }
      }
      for (const task_key& task : due) rig.EndRun(id, task, run_outcome::kDone);
    }
    rig.ReportAll();
    for (const start_order& order : rig.DecideAndCarryOut().starts) {
      ends_at[order.task] = rig.now + milliseconds(kSingleRunMs);
    }
    rig.AdvanceClock(kTick);
  }
  // Submits singles until the job is placed or `max_ticks` have passed. Returns
  // the number of ticks that passed.
  int TicksUntilPlaced(const std::string& job, int max_ticks) {
    int ticks = 0;
    while (rig.scheduler.FindJobState(job) == job_state::kQueued &&
           ticks < max_ticks) {
      Submit(2);
      Tick();
      ++ticks;
    }
    return ticks;
  }
};

// A reserved VM is free after one run time of a single. Twice that is allowed.
constexpr int kMaxTicksUntilPlaced =
    2 * static_cast<int>(milliseconds(kSingleRunMs) / kTick);

// Guards against starvation of a gang that needs a whole VM. Without a
// reservation, singles take each accelerator as soon as it is free, and the
// gang waits as long as singles arrive.
BOOST_AUTO_TEST_CASE(a_stream_of_singles_does_not_starve_a_whole_vm_gang) {
  single_stream stream;
  auto gang = MakeStep(1, kWholeVm);
  gang.is_gang = true;
  stream.rig.scheduler.AdmitJob(MakeJob("gang", {gang}, 1), stream.rig.now);
  const int ticks = stream.TicksUntilPlaced("gang", kMaxTicksUntilPlaced);
  BOOST_TEST((stream.rig.scheduler.FindJobState("gang") == job_state::kActive),
             "the gang still waits after " << ticks << " ticks");
}

// The same for a single large task. In the workloads of both sites, tasks that
// need a whole VM use half of the accelerator time and were never placed.
BOOST_AUTO_TEST_CASE(a_stream_of_singles_does_not_starve_a_whole_vm_task) {
  single_stream stream;
  stream.rig.scheduler.AdmitJob(MakeJob("large", {MakeStep(1, kWholeVm)}, 1),
                                stream.rig.now);
  const int ticks = stream.TicksUntilPlaced("large", kMaxTicksUntilPlaced);
  BOOST_TEST((stream.rig.scheduler.FindJobState("large") == job_state::kActive),
             "the task still waits after " << ticks << " ticks");
}

// Guards against reservations of more workers than a gang needs. While the gang
// waits, only one VM may be reserved and the other must stay in use.
BOOST_AUTO_TEST_CASE(workers_that_a_gang_does_not_need_stay_in_use) {
  // Of 8 accelerators; two singles arrive in each tick.
  constexpr std::size_t kMinInUse = 6;
  single_stream stream;
  auto gang = MakeStep(1, kWholeVm);
  gang.is_gang = true;
  stream.rig.scheduler.AdmitJob(MakeJob("gang", {gang}, 1), stream.rig.now);
  std::map<std::string, std::size_t> least = {{"w1", 8}, {"w2", 8}};
  for (int ticks = 0; ticks < 20; ++ticks) {
    if (stream.rig.scheduler.FindJobState("gang") != job_state::kQueued) break;
    for (auto& [id, count] : least) {
      count = std::min(count, stream.rig.agents[id].running.size());
    }
    stream.Submit(2);
    stream.Tick();
  }
  const bool is_first =
      stream.rig.agents["w1"].running.contains({"gang", 0, 0, 0});
  BOOST_TEST(least[is_first ? "w2" : "w1"] >= kMinInUse);
}

}  // namespace
}  // namespace apricotwheel

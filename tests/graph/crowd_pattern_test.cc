// Bounds the number of workers that a scheduling pass examines in a pool of 252
// workers. The processor time of a pool owner is proportional to this number.
#include <boost/test/unit_test.hpp>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel {
namespace {

using testing::MakeJob;
using testing::MakeStep;
using testing::scheduler_rig;

constexpr int kWorkers = 252;
constexpr int kWaitingJobs = 150;
constexpr resource_vector kWorker{16'000, 65'536, 0};
constexpr resource_vector kFillingTask{14'000, 1024, 0};
constexpr resource_vector kTask{2700, 1024, 0};

// A pool in which no worker has room for a waiting task, with many waiting
// jobs.
struct full_pool {
  scheduler_rig rig;

  full_pool() {
    for (int i = 0; i < kWorkers; ++i) {
      rig.AddWorker("w" + std::to_string(i), kWorker);
    }
    rig.scheduler.AdmitJob(MakeJob("first", {MakeStep(kWorkers, kFillingTask)}),
                           rig.now);
    // A pass orders a limited number of starts.
    while (rig.CountRunningTasks() < kWorkers) rig.DecideAndCarryOut();
    for (int i = 0; i < kWaitingJobs; ++i) {
      rig.scheduler.AdmitJob(
          MakeJob("job" + std::to_string(i), {MakeStep(10, kTask)}), rig.now);
    }
  }
  // Runs one pass and returns how many workers it examined.
  std::uint64_t WorkersExaminedInAPass() {
    const auto before = rig.scheduler.WorkersExamined();
    rig.DecideAndCarryOut();
    return rig.scheduler.WorkersExamined() - before;
  }
};

// Guards against passes that examine each worker for each waiting step. That
// was 37,800 examined workers per pass, at some hundred passes per second.
BOOST_FIXTURE_TEST_CASE(full_workers_are_not_examined, full_pool) {
  BOOST_TEST(WorkersExaminedInAPass() == 0);
}

// Guards against a pass that examines all workers when one becomes free. Only
// that one may be examined, once for each waiting step.
BOOST_FIXTURE_TEST_CASE(only_the_free_worker_is_examined, full_pool) {
  const task_key task = rig.agents["w7"].running.begin()->first;
  rig.EndRun("w7", task, run_outcome::kDone);
  const auto started = rig.starts.size();
  rig.ReportAll();
  BOOST_TEST(WorkersExaminedInAPass() <= kWaitingJobs);
  BOOST_TEST(rig.starts.size() - started == 5);
}

}  // namespace
}  // namespace apricotwheel

// The work of a decision in large pools. What is counted is what the processor
// time of an owner follows; the pattern is that of a pool of 252 workers.
#include <boost/test/unit_test.hpp>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel {
namespace {

using testing::JobOf;
using testing::scheduler_rig;
using testing::StepOf;

constexpr int kWorkers = 252;
constexpr int kWaitingJobs = 150;
constexpr resource_vector kWorker{16'000, 65'536, 0};
constexpr resource_vector kMost{14'000, 1024, 0};
constexpr resource_vector kTask{2700, 1024, 0};

// A pool that is full but for what no waiting task fits in, with a crowd of
// jobs that wait.
struct full_pool {
  scheduler_rig rig;

  full_pool() {
    for (int at = 0; at < kWorkers; ++at) {
      rig.AddWorker("w" + std::to_string(at), kWorker);
    }
    rig.scheduler.Admit(JobOf("first", {StepOf(kWorkers, kMost)}), rig.now);
    rig.Step();
    for (int at = 0; at < kWaitingJobs; ++at) {
      rig.scheduler.Admit(
          JobOf("job" + std::to_string(at), {StepOf(10, kTask)}), rig.now);
    }
  }
  std::uint64_t LooksOfADecision() {
    const auto before = rig.scheduler.WorkersExamined();
    rig.Step();
    return rig.scheduler.WorkersExamined() - before;
  }
};

// Each decision looked at each worker for each waiting step: 37,800 looks, and
// some hundred decisions a second.
BOOST_FIXTURE_TEST_CASE(full_workers_are_not_looked_at, full_pool) {
  BOOST_TEST(LooksOfADecision() == 0);
}

// One worker becomes free: it is looked at for the steps, the others are not.
BOOST_FIXTURE_TEST_CASE(one_free_worker_is_looked_at, full_pool) {
  const task_key task = rig.agents["w7"].running.begin()->first;
  rig.End("w7", task, run_end::kDone);
  const auto started = rig.starts.size();
  rig.ReportAll();
  BOOST_TEST(LooksOfADecision() <= kWaitingJobs);
  BOOST_TEST(rig.starts.size() - started == 5);
}

}  // namespace
}  // namespace apricotwheel

// The memory that accepted jobs may take.
#include "pools/job_memory.h"

#include <boost/test/unit_test.hpp>
#include <limits>

#include "graph/job_footprint.h"
#include "tests/graph/scheduler_rig.h"

namespace apricotwheel {
namespace {

constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();
constexpr resource_vector kSmall{1000, 1024, 0};

// Guards against large jobs that leave no room for small ones.
BOOST_AUTO_TEST_CASE(a_job_takes_at_most_half_of_what_is_free) {
  job_memory memory(1000);
  BOOST_TEST((memory.Reserve(1001, kNoLimit) == job_grant::kTooLarge));
  // The largest job is served in calm.
  BOOST_TEST((memory.Reserve(1000, kNoLimit) == job_grant::kGranted));
  memory.Release(1000);
  BOOST_TEST((memory.Reserve(400, kNoLimit) == job_grant::kGranted));
  BOOST_TEST((memory.Reserve(400, kNoLimit) == job_grant::kNoneNow));
  BOOST_TEST((memory.Reserve(300, kNoLimit) == job_grant::kGranted));
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST((memory.Reserve(10, kNoLimit) == job_grant::kGranted));
  }
  BOOST_TEST(memory.UsedBytes() == 900U);
  memory.Release(400);
  BOOST_TEST(memory.FreeBytes() == 500U);
}

// Guards against a pool that the smallest member cannot load.
BOOST_AUTO_TEST_CASE(the_least_limit_of_all_members_holds) {
  job_memory memory(1000);
  BOOST_TEST((memory.Reserve(301, 300) == job_grant::kTooLarge));
  memory.SetUsed("pool", 250);
  BOOST_TEST((memory.Reserve(30, 300) == job_grant::kNoneNow));
  BOOST_TEST((memory.Reserve(30, kNoLimit) == job_grant::kGranted));
}

// Guards against pools of one daemon that each take the whole bound, and
// against memory that a lost pool keeps.
BOOST_AUTO_TEST_CASE(all_pools_share_the_bound) {
  job_memory memory(1000);
  memory.SetUsed("one", 500);
  memory.SetUsed("two", 400);
  BOOST_TEST(memory.FreeBytes() == 100U);
  memory.SetUsed("two", 700);
  BOOST_TEST(memory.FreeBytes() == 0U);
  BOOST_TEST((memory.Reserve(1, kNoLimit) == job_grant::kNoneNow));
  memory.SetUsed("one", 0);
  BOOST_TEST(memory.FreeBytes() == 300U);
}

// Guards against an estimate that grows with the number of jobs only.
BOOST_AUTO_TEST_CASE(steps_tasks_and_occurrences_count) {
  const auto estimate = [](std::size_t steps, std::uint32_t tasks,
                           std::uint32_t repetitions = 0) {
    auto job = testing::MakeJob(
        "job",
        std::vector<graph_step>(steps, testing::MakeStep(tasks, kSmall)));
    job.graph.schedule.repetitions = repetitions;
    return EstimateJobMemory(job);
  };
  const std::size_t one = estimate(1, 1);
  BOOST_TEST(estimate(1, 10'000) > 10'000U * 80);
  BOOST_TEST(estimate(1000, 1) > 1000U * 800);
  BOOST_TEST(estimate(1, 1, 1000) > 1000U * 800);
  BOOST_TEST(one < 8192U);
}

}  // namespace
}  // namespace apricotwheel

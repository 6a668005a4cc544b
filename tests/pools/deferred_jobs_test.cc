// Accepted jobs beyond the memory of an owner wait in the store.
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "graph/job_footprint.h"
#include "pools/pool_owner.h"
#include "tests/graph/scheduler_rig.h"
#include "tests/pools/fake_agent.h"
#include "tests/pools/fake_store.h"

namespace apricotwheel {
namespace {

using testing::fake_agent;
using testing::fake_store;
using testing::MakeJob;
using testing::MakeStep;

constexpr resource_vector kSmall{1000, 1024, 0};
constexpr resource_vector kWhole{4000, 1024, 0};
constexpr auto kTimeout = std::chrono::seconds(10);
const std::string kOwnerKey = "owners/pool";
constexpr int kJobs = 8;

std::string JobId(int number) { return "job-" + std::to_string(number); }
std::size_t JobBytes() {
  return EstimateJobMemory(MakeJob(JobId(0), {MakeStep(1, kWhole)}));
}

struct rig {
  fake_store store;
  std::unique_ptr<kv_client> kv = store.Client();
  clock_ptr clock = runtime_clock::Running();
  fake_agent agent{clock};
  platform_services platform;
  pool_metrics metrics{std::make_shared<prometheus::Registry>()};
  std::unique_ptr<job_memory> memory;
  std::unique_ptr<pool_owner> owner;

  rig() {
    platform.connect_agent = [this](const pool_worker&) {
      return agent.Link();
    };
  }
  ~rig() {
    if (owner) owner->Stop();
  }

  // Starts an owner. Later calls replace it by its successor.
  void StartOwner(std::size_t max_bytes) {
    if (owner) owner->Stop();
    owner.reset();
    memory = std::make_unique<job_memory>(max_bytes);
    pool_owner_options options;
    options.pool = "pool";
    options.epoch = store.Put(kOwnerKey, "owner");
    options.owner_key = kOwnerKey;
    options.member_id = "member";
    options.confirmation_interval = milliseconds(500);
    options.task_lease = milliseconds(6000);
    options.jobs_memory = memory.get();
    options.kv = kv.get();
    options.metrics = &metrics;
    options.platform = &platform;
    options.members = [] { return std::vector<std::string>{"member"}; };
    options.on_superseded = [] {};
    options.clock = clock;
    owner = std::make_unique<pool_owner>(std::move(options));
    BOOST_REQUIRE(Attempt([&] { return owner->Start(); }));
    pool_worker worker;
    worker.id = "w1";
    worker.pool = "pool";
    worker.capacity = {4000, 16'384, 0};
    worker.incarnation = 1;
    owner->SetWorkers({{"w1", worker}});
  }
  time_point Deadline() const { return clock->Now() + duration(kTimeout); }
  job_call_status Submit(int number) {
    return owner
        ->Submit(MakeJob(JobId(number), {MakeStep(1, kWhole)}), Deadline())
        .status;
  }
  job_call_response State(int number) const {
    return owner->State(JobId(number));
  }
  template <class Predicate>
  bool Eventually(Predicate condition) {
    const auto until = Deadline();
    while (!condition() && clock->Now() < until) {
      clock->SleepFor(milliseconds(2));
    }
    return condition();
  }
  bool IsLoaded() const {
    return State(0).status != job_call_status::kUnavailable;
  }
};

// Guards against accepted jobs that fill the memory, and against a refusal that
// is not true because the job is stored.
BOOST_AUTO_TEST_CASE(jobs_beyond_the_memory_are_refused) {
  rig test;
  test.StartOwner(4 * JobBytes());
  int accepted = 0;
  for (int n = 0; n < kJobs; ++n) {
    const auto status = test.Submit(n);
    if (status == job_call_status::kAccepted) {
      ++accepted;
      continue;
    }
    BOOST_TEST((status == job_call_status::kRefused));
    BOOST_TEST(!test.store.Has(JobKey("pool", JobId(n))));
  }
  BOOST_TEST(accepted > 0);
  BOOST_TEST(accepted < kJobs);
  // A copy of an accepted job is no new job.
  BOOST_TEST((test.Submit(0) == job_call_status::kAccepted));
  auto wide = MakeJob("wide", {MakeStep(10'000, kSmall)});
  BOOST_TEST((test.owner->Submit(wide, test.Deadline()).status ==
              job_call_status::kInvalid));
}

// Guards against a successor with less memory that ends, loses accepted jobs or
// runs them twice.
BOOST_AUTO_TEST_CASE(a_successor_with_less_memory_loads_jobs_in_turn) {
  rig test;
  test.StartOwner(100 * JobBytes());
  for (int n = 0; n < kJobs; ++n) {
    BOOST_REQUIRE((test.Submit(n) == job_call_status::kAccepted));
  }
  BOOST_REQUIRE(test.Eventually([&] { return test.agent.RunCount() == 1; }));
  test.StartOwner(3 * JobBytes());
  BOOST_REQUIRE(test.Eventually([&] { return test.IsLoaded(); }));
  BOOST_TEST(test.memory->UsedBytes() <= 3 * JobBytes());
  for (int n = 0; n < kJobs; ++n) {
    BOOST_TEST((test.State(n).status == job_call_status::kState));
    BOOST_TEST((test.Submit(n) == job_call_status::kAccepted));
  }
  // Each job uses the whole worker, so they run one after the other.
  for (std::uint64_t ended = 1; ended <= kJobs; ++ended) {
    BOOST_REQUIRE(test.Eventually([&] { return test.agent.RunCount() == 1; }));
    test.agent.EndOneRun(run_outcome::kDone);
    BOOST_REQUIRE(
        test.Eventually([&] { return test.agent.AcknowledgedEnd() == ended; }));
  }
  for (int n = 0; n < kJobs; ++n) {
    BOOST_TEST((test.State(n).state == job_state::kCompleted));
  }
  BOOST_TEST(test.agent.RunCount() == 0U);
}

// Guards against runs that are stopped, and tasks that run again, because their
// jobs are not loaded: the worker reports them.
BOOST_AUTO_TEST_CASE(runs_of_deferred_jobs_are_adopted) {
  rig test;
  test.StartOwner(100 * JobBytes());
  for (int n = 0; n < 4; ++n) {
    const auto job = MakeJob(JobId(n), {MakeStep(1, kSmall)});
    BOOST_REQUIRE((test.owner->Submit(job, test.Deadline()).status ==
                   job_call_status::kAccepted));
  }
  BOOST_REQUIRE(test.Eventually([&] { return test.agent.RunCount() == 4; }));
  const std::uint64_t last_run = test.agent.LastRunNumber();
  test.StartOwner(2 * JobBytes());
  BOOST_REQUIRE(test.Eventually([&] { return test.IsLoaded(); }));
  test.agent.EndAllRuns(run_outcome::kDone);
  BOOST_REQUIRE(
      test.Eventually([&] { return test.agent.AcknowledgedEnd() == 4; }));
  for (int n = 0; n < 4; ++n) {
    BOOST_TEST(test.Eventually(
        [&] { return test.State(n).state == job_state::kCompleted; }));
  }
  BOOST_TEST(test.agent.RunCount() == 0U);
  BOOST_TEST(test.agent.LastRunNumber() == last_run);
}

// Guards against a cancellation that does not reach a job in the store.
BOOST_AUTO_TEST_CASE(a_deferred_job_can_be_cancelled) {
  rig test;
  test.StartOwner(100 * JobBytes());
  for (int n = 0; n < kJobs; ++n) {
    BOOST_REQUIRE((test.Submit(n) == job_call_status::kAccepted));
  }
  test.StartOwner(3 * JobBytes());
  BOOST_REQUIRE(test.Eventually([&] { return test.IsLoaded(); }));
  for (int n = 0; n < kJobs; ++n) {
    BOOST_TEST((test.owner->Cancel(JobId(n), test.Deadline()).status ==
                job_call_status::kCancelled));
    BOOST_TEST((test.State(n).state == job_state::kCancelled));
  }
}

}  // namespace
}  // namespace apricotwheel

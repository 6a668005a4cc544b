// Job ids in several pools: copies of a submission, and cancellations.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/pools/daemon_parts.h"

namespace apricotwheel {
namespace {

using testing::daemon_parts;
using testing::fake_store;
using testing::kPool;

const std::string kOtherPool = "other";
constexpr auto kCallTimeout = milliseconds(3000);

queue_rules QueueOf(const std::string& pool) {
  queue_rules queue = daemon_parts::Queue();
  queue.pool = pool;
  return queue;
}

// A daemon that owns two pools.
struct rig {
  fake_store store;
  daemon_parts daemon{store, "a"};

  rig() {
    daemon.directory->SetPools({kPool, kOtherPool});
    queue_table table;
    table.version = 2;
    table.pools = {{kPool, false, false}, {kOtherPool, false, false}};
    daemon.gateway.SetTable(std::move(table));
    BOOST_REQUIRE(Eventually([&] {
      return Submit(kPool, "first").status == job_call_status::kAccepted &&
             Submit(kOtherPool, "second").status == job_call_status::kAccepted;
    }));
  }
  job_call_response Submit(const std::string& pool, const std::string& id,
                           const caller_identity& caller = {}) {
    return daemon.gateway.Submit(QueueOf(pool), id,
                                 daemon_parts::SmallJob(id).graph, kCallTimeout,
                                 caller);
  }
  job_call_response Cancel(const std::string& pool, const std::string& id,
                           const caller_identity& caller = {},
                           duration timeout = kCallTimeout) {
    return daemon.gateway.Cancel(QueueOf(pool), id, timeout, caller);
  }
  job_call_response State(const std::string& pool, const std::string& id) {
    return daemon.gateway.State(QueueOf(pool), id, kCallTimeout);
  }
  int CountRecords(const std::string& id) const {
    return (store.Has(JobKey(kPool, id)) ? 1 : 0) +
           (store.Has(JobKey(kOtherPool, id)) ? 1 : 0);
  }
};

// Guards against a job that runs twice: its queue got another pool, and a copy
// of the submission was accepted there as a new job (review case 7).
BOOST_FIXTURE_TEST_CASE(a_copy_in_another_pool_is_the_same_job, rig) {
  BOOST_TEST((Submit(kPool, "job").status == job_call_status::kAccepted));
  BOOST_TEST((Submit(kOtherPool, "job").status == job_call_status::kAccepted));
  BOOST_TEST(store.Has(JobKey(kPool, "job")));
  BOOST_TEST(!store.Has(JobKey(kOtherPool, "job")));
  BOOST_TEST((State(kOtherPool, "job").status == job_call_status::kState));
  BOOST_TEST((Cancel(kOtherPool, "job").status == job_call_status::kCancelled));
  BOOST_TEST((State(kPool, "job").state == job_state::kCancelled));
}

// Guards against a copy that is accepted in another pool after the owner of the
// first one was lost, or the pool itself.
BOOST_FIXTURE_TEST_CASE(a_copy_is_known_without_the_first_owner, rig) {
  job_submission job = daemon_parts::SmallJob("job");
  job.queue.pool = "lost";
  store.Put(JobKey("lost", "job"), EncodeSubmission(job));
  store.Put(JobIdKey("job"), EncodeJobId({"lost", {}, {}}));
  BOOST_TEST((Submit(kOtherPool, "job").status == job_call_status::kAccepted));
  BOOST_TEST(CountRecords("job") == 0);
  BOOST_TEST((State(kOtherPool, "job").status == job_call_status::kState));
}

// Guards against two daemons with different configurations that accept copies
// of one submission in two pools at the same time.
BOOST_FIXTURE_TEST_CASE(copies_race_in_two_pools, rig) {
  constexpr int kJobs = 40;
  std::atomic<int> accepted = 0;
  const auto submit_all = [&](const std::string& pool) {
    for (int i = 0; i < kJobs; ++i) {
      const auto response = Submit(pool, "job-" + std::to_string(i));
      if (response.status == job_call_status::kAccepted) ++accepted;
    }
  };
  std::thread first([&] { submit_all(kPool); });
  std::thread second([&] { submit_all(kOtherPool); });
  first.join();
  second.join();
  BOOST_TEST(accepted == 2 * kJobs);
  for (int i = 0; i < kJobs; ++i) {
    BOOST_TEST(CountRecords("job-" + std::to_string(i)) == 1);
  }
}

// Guards against another organisation's job with the same id in another pool.
BOOST_FIXTURE_TEST_CASE(an_id_in_another_pool_is_closed_to_others, rig) {
  BOOST_TEST(
      (Submit(kPool, "job", {"x", {}}).status == job_call_status::kAccepted));
  BOOST_TEST((Submit(kOtherPool, "job", {"y", {}}).status ==
              job_call_status::kForbidden));
  BOOST_TEST((Submit(kOtherPool, "job", {"x", {}}).status ==
              job_call_status::kAccepted));
  BOOST_TEST((Cancel(kOtherPool, "job", {"y", {}}).status ==
              job_call_status::kForbidden));
  BOOST_TEST(CountRecords("job") == 1);
}

}  // namespace
}  // namespace apricotwheel

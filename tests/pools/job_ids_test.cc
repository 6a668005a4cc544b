// Job ids in several pools: copies of a submission, and cancellations.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/pools/daemon_parts.h"

namespace apricotwheel {
namespace {

using testing::commit_fault;
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

// Guards against a cancellation that is answered "no such job" while the commit
// of the submission has no result yet: the job ran to its end (review case 8).
BOOST_FIXTURE_TEST_CASE(a_cancellation_waits_for_an_unknown_submission, rig) {
  store.FailNext(commit_fault::kDelayed);
  store.FailNext(commit_fault::kUnavailable, 25);
  BOOST_TEST((Submit(kPool, "job").status == job_call_status::kUnknown));
  const auto cancelled = Cancel(kPool, "job");
  BOOST_TEST((cancelled.status != job_call_status::kAbsent));
  store.ApplyDelayed();
  BOOST_TEST(Eventually(
      [&] { return State(kPool, "job").status == job_call_status::kState; }));
  BOOST_TEST(Eventually([&] {
    return Cancel(kPool, "job").status == job_call_status::kCancelled;
  }));
}

// Guards against a submission that arrives after its cancellation was answered:
// it was unread in a socket, on a link, or at another daemon.
BOOST_FIXTURE_TEST_CASE(a_late_submission_of_a_cancelled_id_is_refused, rig) {
  BOOST_TEST((Cancel(kPool, "job").status == job_call_status::kAbsent));
  BOOST_TEST((Submit(kPool, "job").status == job_call_status::kAbsent));
  BOOST_TEST((Submit(kOtherPool, "job").status == job_call_status::kAbsent));
  BOOST_TEST(CountRecords("job") == 0);
  BOOST_TEST((State(kPool, "job").status == job_call_status::kAbsent));
  // A cancellation that is repeated has the same result.
  BOOST_TEST((Cancel(kOtherPool, "job").status == job_call_status::kAbsent));
}

// Guards against cancelled ids that a successor does not know.
BOOST_FIXTURE_TEST_CASE(a_cancelled_id_outlasts_the_owner, rig) {
  BOOST_TEST((Cancel(kPool, "job").status == job_call_status::kAbsent));
  daemon_parts successor(store, "b");
  BOOST_REQUIRE(Eventually([&] {
    const auto owner = successor.directory->OwnerOf(kPool);
    return owner && Attempt([&] {
             return successor.directory->TakeOver(kPool, owner->epoch, false);
           });
  }));
  BOOST_REQUIRE(Eventually([&] { return successor.Serves(); }));
  BOOST_TEST((Submit(kPool, "job").status == job_call_status::kAbsent));
}

// Guards against an organisation that cancels the ids of another one's jobs in
// advance.
BOOST_FIXTURE_TEST_CASE(a_cancelled_id_binds_those_who_may_cancel_it, rig) {
  BOOST_TEST(
      (Cancel(kPool, "job", {"x", {}}).status == job_call_status::kAbsent));
  BOOST_TEST(
      (Submit(kPool, "job", {"y", {}}).status == job_call_status::kAccepted));
  BOOST_TEST(
      (Submit(kPool, "job", {"x", {}}).status == job_call_status::kForbidden));
  BOOST_TEST(
      (Cancel(kPool, "both", {"x", {}}).status == job_call_status::kAbsent));
  BOOST_TEST((Cancel(kOtherPool, "both", {"y", {}}).status ==
              job_call_status::kAbsent));
  BOOST_TEST(
      (Submit(kPool, "both", {"x", {}}).status == job_call_status::kAbsent));
  BOOST_TEST(
      (Submit(kPool, "both", {"y", {}}).status == job_call_status::kAbsent));
}

// Guards against submissions and cancellations of one id that both succeed.
BOOST_FIXTURE_TEST_CASE(cancellations_race_with_submissions, rig) {
  constexpr int kJobs = 40;
  std::vector<job_call_status> submitted(kJobs);
  std::vector<job_call_status> cancelled(kJobs);
  const auto id_of = [](int i) { return "job-" + std::to_string(i); };
  std::thread submitter([&] {
    for (int i = 0; i < kJobs; ++i) {
      submitted[static_cast<std::size_t>(i)] = Submit(kPool, id_of(i)).status;
    }
  });
  std::thread canceller([&] {
    for (int i = 0; i < kJobs; ++i) {
      cancelled[static_cast<std::size_t>(i)] =
          Cancel(kOtherPool, id_of(i)).status;
    }
  });
  submitter.join();
  canceller.join();
  for (std::size_t i = 0; i < kJobs; ++i) {
    const bool is_accepted = submitted[i] == job_call_status::kAccepted;
    BOOST_TEST((cancelled[i] == (is_accepted ? job_call_status::kCancelled
                                             : job_call_status::kAbsent)));
    BOOST_TEST((is_accepted || submitted[i] == job_call_status::kAbsent));
    if (!is_accepted) BOOST_TEST(CountRecords(id_of(static_cast<int>(i))) == 0);
  }
}

// Guards against a crowd that cancels unknown ids and takes the commits of
// others, or fills the store.
BOOST_FIXTURE_TEST_CASE(a_crowd_of_unknown_ids_is_refused_at_once, rig) {
  constexpr int kCallers = 48;
  store.SetDelay(milliseconds(300));
  std::atomic<int> absent = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> slow_refusals = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      const auto started_at = daemon.clock->Now();
      const auto response = Cancel(kPool, "job-" + std::to_string(i));
      if (response.status == job_call_status::kAbsent) ++absent;
      if (response.status != job_call_status::kNotStored) return;
      ++refused;
      BOOST_CHECK(response.retry_after_ms >= 1000);
      if (daemon.clock->Now() - started_at > milliseconds(200)) ++slow_refusals;
    });
  }
  BOOST_TEST((Submit(kPool, "job").status == job_call_status::kAccepted));
  for (std::thread& caller : callers) caller.join();
  BOOST_TEST(absent > 0);
  BOOST_TEST(refused > 0);
  BOOST_TEST(absent + refused == kCallers);
  BOOST_TEST(slow_refusals == 0);
  BOOST_TEST(daemon.metrics.refused_cancellations.Value() == refused);
}

}  // namespace
}  // namespace apricotwheel

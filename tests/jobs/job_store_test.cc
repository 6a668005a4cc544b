#include "jobs/job_store.h"

#include <boost/test/unit_test.hpp>

#include "testing/kv_standin.h"

namespace apricotwheel {
namespace {

using standins::kv_outage;
using standins::kv_standin;

struct fixture {
  clock_ptr clock = runtime_clock::Running();
  std::unique_ptr<kv_standin> service = kv_standin::Start({}).value();
  std::unique_ptr<kv_client> client =
      kv_client::Create(
          {service->Address(), milliseconds(200), milliseconds(200)})
          .value();

  std::unique_ptr<job_store> Store(std::uint64_t epoch,
                                   duration retention = milliseconds(0)) {
    return std::make_unique<job_store>(
        job_store_options{7,
                          epoch,
                          "m" + std::to_string(epoch),
                          MakeKvApi(client.get(), clock),
                          clock,
                          {},
                          2000,
                          retention});
  }
  static job_record Job(const std::string& id) {
    job_record job;
    job.job_id = id;
    job.workload = std::string(300, 'w');
    job.tasks.resize(1);
    job.tasks[0].task_id = id + "/0";
    return job;
  }
  static std::size_t Load(job_store& store) {
    return Attempt([&] { return store.Load(); }).value.value().size();
  }
  static bool Flush(job_store& store) {
    return bool(Attempt([&] { return store.Flush(); }));
  }
};

// All staged jobs must be written together. With one write per job, the load on
// the key-value service would grow with the number of jobs.
BOOST_FIXTURE_TEST_CASE(commits_are_grouped, fixture) {
  auto store = Store(1);
  BOOST_TEST(Load(*store) == 0u);
  const auto before = service->CallCount("put");
  for (int i = 0; i < 3; ++i) store->Stage(Job("j" + std::to_string(i)));
  BOOST_TEST(Flush(*store));
  BOOST_TEST(service->CallCount("put") - before == 1u);
  BOOST_TEST(Load(*Store(2)) == 3u);
}

// Records grow when their tasks end. A segment must not outgrow the largest
// value of the key-value service, or the shard could commit nothing more.
BOOST_FIXTURE_TEST_CASE(segment_stays_below_the_value_limit, fixture) {
  job_store store({7, 1, "m1", MakeKvApi(client.get(), clock), clock, {}});
  BOOST_TEST(Load(store) == 0u);
  std::vector<job_record> jobs;
  for (int i = 0; i < 20; ++i) {
    jobs.push_back(Job("j" + std::to_string(i)));
    jobs.back().tasks.resize(1000);
    store.Stage(jobs.back());
  }
  BOOST_TEST(Flush(store));
  for (auto& job : jobs) {
    for (auto& task : job.tasks) {
      task.state = attempt_state::kFinished;
      task.worker = "some-larger-worker-name";
      task.ran_ms = 100'000;
      task.waited_ms = 100'000;
      task.had_run = true;
    }
    store.Stage(job);
  }
  BOOST_TEST(Flush(store));
}

// The response to a write is lost. The record must count as committed, and the
// next compare-and-swap must use the revision of that write.
BOOST_FIXTURE_TEST_CASE(lost_reply_is_settled, fixture) {
  auto store = Store(1);
  Load(*store);
  const auto version = store->Stage(Job("j"));
  service->SetFaults({kv_outage::kNone, 0, 1});
  BOOST_TEST(Flush(*store));
  BOOST_TEST((store->CommitStateOf("j", version) == commit_state::kCommitted));
  store->Stage(Job("k"));
  BOOST_TEST(Flush(*store));
  BOOST_TEST(Load(*Store(2)) == 2u);
}

// The key-value service is down. A new job must be rejected and never stored
// later, and a final state must be kept until it can be written.
BOOST_FIXTURE_TEST_CASE(outage_refuses_new_and_keeps_final, fixture) {
  auto store = Store(1);
  Load(*store);
  auto old_job = Job("old");
  store->Stage(old_job);
  BOOST_TEST(Flush(*store));
  service->SetFaults({kv_outage::kRefuse, 0, 0});
  old_job.tasks[0].state = attempt_state::kFinished;
  const auto final_version = store->Stage(old_job);
  const auto new_version = store->Stage(Job("new"));
  BOOST_TEST(!Flush(*store));
  BOOST_TEST(
      (store->CommitStateOf("new", new_version) == commit_state::kRejected));
  BOOST_TEST((store->CommitStateOf("old", final_version) ==
              commit_state::kUncommitted));
  service->SetFaults({});
  BOOST_TEST(Flush(*store));
  const auto loaded = Attempt([&] { return Store(2)->Load(); }).value.value();
  BOOST_REQUIRE(loaded.size() == 1u);
  BOOST_TEST((loaded[0].tasks[0].state == attempt_state::kFinished));
}

// A superseded owner must not commit jobs that the new owner does not know,
// neither in the open segment nor in a new one.
BOOST_FIXTURE_TEST_CASE(successor_fences_the_store, fixture) {
  auto first = Store(1);
  Load(*first);
  first->Stage(Job("a"));
  BOOST_TEST(Flush(*first));
  auto second = Store(2);
  BOOST_TEST(Load(*second) == 1u);
  for (int i = 0; i < 8; ++i) first->Stage(Job("late" + std::to_string(i)));
  BOOST_TEST(!Flush(*first));
  BOOST_TEST(first->IsFenced());
  BOOST_TEST((first->CommitStateOf("late0", 1) == commit_state::kRejected));
  BOOST_TEST(Load(*Store(3)) == 1u);
}

// Segments whose jobs have ended must be removed, and those with pending jobs
// kept.
BOOST_FIXTURE_TEST_CASE(old_segments_are_dropped, fixture) {
  auto store = Store(1);
  Load(*store);
  auto ended = Job("e0");
  ended.tasks[0].state = attempt_state::kFinished;
  for (int i = 0; i < 4; ++i) {
    ended.job_id = "e" + std::to_string(i);
    store->Stage(ended);
  }
  for (int i = 0; i < 4; ++i) store->Stage(Job("p" + std::to_string(i)));
  BOOST_TEST(Flush(*store));
  BOOST_TEST(store->DropExpiredSegments().size() >= 3u);
  BOOST_TEST(Load(*Store(2)) >= 4u);
}

}  // namespace
}  // namespace apricotwheel

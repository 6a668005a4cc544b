#include "pools/job_journal.h"

#include <boost/test/unit_test.hpp>
#include <thread>

#include "tests/graph/scheduler_rig.h"
#include "tests/pools/fake_store.h"

namespace apricotwheel {
namespace {

using testing::commit_fault;
using testing::fake_store;
using testing::MakeJob;
using testing::MakeStep;

constexpr resource_vector kSmall{1000, 1024, 0};
constexpr auto kPatience = std::chrono::seconds(5);
const std::string kOwnerKey = "owners/pool";

// A journal of an owner, with what it reported.
struct rig {
  fake_store& store;
  std::unique_ptr<kv_client> kv = store.Client();
  clock_ptr clock = runtime_clock::Running();
  std::mutex mutex;
  std::vector<std::string> accepted;
  progress_batch next_progress;
  int stored_batches = 0;
  std::atomic<bool> succeeded = false;
  pool_metrics metrics{std::make_shared<prometheus::Registry>()};
  std::unique_ptr<job_journal> journal;

  rig(fake_store& service, std::uint64_t epoch) : store(service) {
    job_journal_options options;
    options.pool = "pool";
    options.owner_key = kOwnerKey;
    options.epoch = epoch;
    options.writer = "member-" + std::to_string(epoch);
    options.kv = kv.get();
    options.metrics = &metrics;
    options.clock = clock;
    job_journal::callbacks calls;
    calls.take_progress = [this] {
      const std::lock_guard lock(mutex);
      return std::exchange(next_progress, {});
    };
    calls.stored = [this](const progress_batch&) {
      const std::lock_guard lock(mutex);
      ++stored_batches;
    };
    calls.failed = [this](const progress_batch& batch) {
      const std::lock_guard lock(mutex);
      next_progress = batch;
    };
    calls.accepted = [this](const job_submission& job) {
      const std::lock_guard lock(mutex);
      accepted.push_back(job.id);
    };
    calls.succeeded = [this] { succeeded = true; };
    journal = std::make_unique<job_journal>(options, calls);
  }
  ~rig() { journal->Stop(); }

  journal_contents Open() {
    const auto contents = Attempt([&] { return journal->Load(); });
    BOOST_REQUIRE(contents);
    BOOST_REQUIRE(Attempt([&] { return journal->Start(); }));
    return *contents;
  }
  submit_outcome Submit(const std::string& id, duration patience = kPatience) {
    return journal->Submit(MakeJob(id, {MakeStep(1, kSmall)}),
                           clock->Now() + patience);
  }
  bool Eventually(const std::function<bool()>& holds) const {
    const auto until = clock->Now() + kPatience;
    while (clock->Now() < until) {
      if (holds()) return true;
      clock->SleepFor(milliseconds(5));
    }
    return false;
  }
  std::size_t Accepted() {
    const std::lock_guard lock(mutex);
    return accepted.size();
  }
};

BOOST_AUTO_TEST_CASE(a_stored_job_is_read_by_the_next_owner) {
  fake_store store;
  {
    rig first(store, store.Put(kOwnerKey, "first"));
    BOOST_TEST(first.Open().tenure == 0);
    BOOST_TEST((first.Submit("job") == submit_outcome::kStored));
    BOOST_TEST(first.Accepted() == 1);
  }
  rig second(store, store.Put(kOwnerKey, "second"));
  const auto contents = second.Open();
  BOOST_TEST(contents.tenure == 1);
  BOOST_REQUIRE_EQUAL(contents.jobs.size(), 1);
  BOOST_TEST(contents.jobs[0].submission.id == "job");
  BOOST_TEST(contents.jobs[0].submission.graph.payload == "payload of job");
}

// The write took effect but its answer was lost: the job is accepted once.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.Open();
  store.FailNext(commit_fault::kAnswerLost);
  BOOST_TEST((owner.Submit("job") == submit_outcome::kStored));
  BOOST_TEST((owner.Submit("next") == submit_outcome::kStored));
  BOOST_TEST(owner.Accepted() == 2);
  BOOST_TEST(!owner.succeeded);
}

// A write that arrives late must not undo what was written after it.
BOOST_AUTO_TEST_CASE(a_late_write_of_the_same_owner_has_no_effect) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.Open();
  store.FailNext(commit_fault::kLate);
  BOOST_TEST((owner.Submit("job") == submit_outcome::kStored));
  BOOST_TEST((owner.Submit("next") == submit_outcome::kStored));
  BOOST_TEST(store.ApplyLate() == 0);
}

// A refusal says that the job will never run, so nothing of it may reach the
// store later.
BOOST_AUTO_TEST_CASE(a_refused_job_is_never_stored) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.Open();
  store.FailNext(commit_fault::kUnavailable, 3);
  BOOST_TEST((owner.Submit("refused") == submit_outcome::kNotStored));
  // The caller of this one comes back until the store answers again.
  BOOST_TEST(owner.Eventually(
      [&] { return owner.Submit("later") == submit_outcome::kStored; }));
  BOOST_TEST(!store.Has(JobKey("pool", "refused")));
  BOOST_TEST(owner.Accepted() == 1);
}

// What may have been stored is not refused; it is accepted when it is settled.
BOOST_AUTO_TEST_CASE(an_unsettled_job_is_unknown_until_it_is_settled) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.Open();
  store.FailNext(commit_fault::kLate);
  store.FailNext(commit_fault::kUnavailable, 10);
  BOOST_TEST(
      (owner.Submit("job", milliseconds(100)) == submit_outcome::kUnknown));
  owner.Eventually([&] { return owner.Accepted() > 0; });
  BOOST_TEST(owner.Accepted() == 1);
  BOOST_TEST(store.Has(JobKey("pool", "job")));
}

// A succeeded owner stores nothing more, neither now nor by a late write.
BOOST_AUTO_TEST_CASE(a_succeeded_owner_stores_nothing) {
  fake_store store;
  rig first(store, store.Put(kOwnerKey, "first"));
  first.Open();
  store.FailNext(commit_fault::kLate);
  store.FailNext(commit_fault::kUnavailable, 50);
  BOOST_TEST(
      (first.Submit("old", milliseconds(100)) == submit_outcome::kUnknown));
  rig second(store, store.Put(kOwnerKey, "second"));
  BOOST_TEST(first.Eventually([&] { return first.succeeded.load(); }));
  second.Open();
  BOOST_TEST(store.ApplyLate() == 0);
  BOOST_TEST(!store.Has(JobKey("pool", "old")));
  BOOST_TEST((second.Submit("new") == submit_outcome::kStored));
}

// Pattern: a pool is handed over while its owner stores jobs. What a successor
// keeps out of the store is not run, and the caller's daemon can ask it at
// once.
BOOST_AUTO_TEST_CASE(a_succeeded_owner_refuses_what_it_could_not_store) {
  fake_store store;
  rig first(store, store.Put(kOwnerKey, "first"));
  first.Open();
  store.Put(kOwnerKey, "second");
  BOOST_TEST((first.Submit("job") == submit_outcome::kNotStored));
  BOOST_TEST(!store.Has(JobKey("pool", "job")));
}

// A stop waits for the answer of the commit that is under way anyway.
BOOST_AUTO_TEST_CASE(a_stop_leaves_no_answered_commit_unknown) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.Open();
  store.SetDelay(milliseconds(200));
  std::thread stopping([&] {
    owner.clock->SleepFor(milliseconds(60));
    owner.journal->Stop();
  });
  BOOST_TEST((owner.Submit("job") == submit_outcome::kStored));
  stopping.join();
}

// The record of a finished job is replaced by its final state.
BOOST_AUTO_TEST_CASE(a_finished_job_keeps_only_its_state) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.Open();
  owner.Submit("job");
  {
    const std::lock_guard lock(owner.mutex);
    job_progress progress;
    progress.state = job_state::kCompleted;
    owner.next_progress.jobs.push_back({"job", progress});
  }
  BOOST_TEST(owner.journal->Flush(owner.clock->Now() + duration(kPatience)));
  BOOST_TEST(!store.Has(JobKey("pool", "job")));
  rig second(store, store.Put(kOwnerKey, "second"));
  const auto contents = second.Open();
  BOOST_TEST(contents.jobs.empty());
  BOOST_REQUIRE_EQUAL(contents.finished.size(), 1);
  BOOST_TEST((contents.finished[0].second == job_state::kCompleted));
}

// More progress than one commit holds is stored in several, and a flush waits
// for all of them.
BOOST_AUTO_TEST_CASE(large_progress_is_stored_in_several_commits) {
  constexpr int kJobs = 100;
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.Open();
  {
    const std::lock_guard lock(owner.mutex);
    for (int at = 0; at < kJobs; ++at) {
      owner.next_progress.jobs.push_back(
          {"job" + std::to_string(at), job_progress{}});
    }
  }
  BOOST_TEST(owner.journal->Flush(owner.clock->Now() + duration(kPatience)));
  for (int at = 0; at < kJobs; ++at) {
    BOOST_TEST(store.Has(ProgressKey("pool", "job" + std::to_string(at))));
  }
}

BOOST_AUTO_TEST_CASE(workers_are_remembered) {
  const std::map<std::string, std::string> workers = {{"w1", "10.0.0.1:80"},
                                                      {"w2", "10.0.0.2:80"}};
  fake_store store;
  {
    rig owner(store, store.Put(kOwnerKey, "first"));
    owner.Open();
    BOOST_TEST(owner.journal->StoreWorkers(
        workers, owner.clock->Now() + duration(kPatience)));
  }
  rig second(store, store.Put(kOwnerKey, "second"));
  BOOST_TEST((second.Open().workers == workers));
}

// Pattern: the store is silent for 4 s, and callers have 3 s. Their requests
// waited for it until no time was left, and were answered as unknown although
// they had not been sent.
BOOST_AUTO_TEST_CASE(jobs_are_refused_at_once_while_the_store_is_silent) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.Open();
  store.SetSilent(true);
  // The first one may have been stored.
  BOOST_TEST(
      (owner.Submit("sent", milliseconds(300)) == submit_outcome::kUnknown));
  BOOST_TEST(owner.journal->IsStoreLost());
  const auto asked_at = owner.clock->Now();
  BOOST_TEST((owner.Submit("refused") == submit_outcome::kNotStored));
  BOOST_TEST((owner.clock->Now() - asked_at < milliseconds(200)));
  store.SetSilent(false);
  owner.Eventually([&] { return !owner.journal->IsStoreLost(); });
  BOOST_TEST((owner.Submit("next") == submit_outcome::kStored));
  BOOST_TEST(!store.Has(JobKey("pool", "refused")));
  BOOST_TEST(store.Has(JobKey("pool", "sent")));
}

// Pattern: the store takes a hundred times as long as usual. Commits that it
// would have answered were given up, settled and sent again.
BOOST_AUTO_TEST_CASE(a_slow_store_is_given_more_time) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.Open();
  store.SetDelay(milliseconds(300));
  BOOST_TEST((owner.Submit("first") == submit_outcome::kStored));
  store.SetDelay(milliseconds(600));
  BOOST_TEST((owner.Submit("next") == submit_outcome::kStored));
  BOOST_TEST(owner.metrics.commit_failures.Value() == 0);
}

// Commits that get no answer while reads do must not keep the journal from
// stopping.
BOOST_AUTO_TEST_CASE(a_journal_stops_while_the_store_only_reads) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.Open();
  store.SetDelay(std::chrono::minutes(1));
  BOOST_TEST(
      (owner.Submit("job", milliseconds(100)) == submit_outcome::kUnknown));
  const auto asked_at = owner.clock->Now();
  owner.journal->Stop();
  BOOST_TEST((owner.clock->Now() - asked_at < std::chrono::seconds(4)));
}

// A refused job is tried again by the caller's daemon; only a store that goes
// on refusing is taken as lost.
BOOST_AUTO_TEST_CASE(one_refusal_does_not_make_the_store_lost) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.Open();
  store.FailNext(commit_fault::kUnavailable);
  BOOST_TEST((owner.Submit("job") == submit_outcome::kNotStored));
  BOOST_TEST(!owner.journal->IsStoreLost());
  BOOST_TEST((owner.Submit("job") == submit_outcome::kStored));
  store.FailNext(commit_fault::kUnavailable, 3);
  BOOST_TEST((owner.Submit("other") == submit_outcome::kNotStored));
  BOOST_TEST(owner.Eventually([&] { return owner.journal->IsStoreLost(); }));
}

}  // namespace
}  // namespace apricotwheel

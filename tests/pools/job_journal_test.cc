#include "pools/job_journal.h"

#include <sys/resource.h>

#include <boost/test/unit_test.hpp>
#include <thread>

#include "tests/pools/journal_rig.h"

namespace apricotwheel {
namespace {

using testing::commit_fault;
using testing::fake_store;
using testing::MakeJob;
using testing::MakeStep;
using testing::OwnerKeyOf;
using rig = testing::journal_rig;

constexpr resource_vector kSmall{1000, 1024, 0};
constexpr auto kTimeout = std::chrono::seconds(5);
const std::string kOwnerKey = OwnerKeyOf("pool");

BOOST_AUTO_TEST_CASE(a_stored_job_is_read_by_the_next_owner) {
  fake_store store;
  {
    rig first(store, store.Put(kOwnerKey, "first"));
    BOOST_TEST(first.LoadAndStart().tenure == 0);
    BOOST_TEST((first.Submit("job") == submit_outcome::kStored));
    BOOST_TEST(first.AcceptedCount() == 1);
  }
  rig second(store, store.Put(kOwnerKey, "second"));
  const auto contents = second.LoadAndStart();
  BOOST_TEST(contents.tenure == 1);
  BOOST_REQUIRE_EQUAL(contents.jobs.size(), 1);
  BOOST_TEST(contents.jobs[0].submission.id == "job");
  BOOST_TEST(contents.jobs[0].submission.graph.payload == "payload of job");
}

// The commit took effect but its response was lost: the job is accepted once.
BOOST_AUTO_TEST_CASE(a_commit_with_a_lost_response_is_confirmed) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.LoadAndStart();
  store.FailNext(commit_fault::kResponseLost);
  BOOST_TEST((owner.Submit("job") == submit_outcome::kStored));
  BOOST_TEST((owner.Submit("next") == submit_outcome::kStored));
  BOOST_TEST(owner.AcceptedCount() == 2);
  BOOST_TEST(!owner.is_superseded);
}

// A delayed commit must not undo a later one.
BOOST_AUTO_TEST_CASE(a_delayed_commit_of_the_same_owner_has_no_effect) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.LoadAndStart();
  store.FailNext(commit_fault::kDelayed);
  BOOST_TEST((owner.Submit("job") == submit_outcome::kStored));
  BOOST_TEST((owner.Submit("next") == submit_outcome::kStored));
  BOOST_TEST(store.ApplyDelayed() == 0);
}

// A rejected job never runs, so it must not reach the store later.
BOOST_AUTO_TEST_CASE(a_rejected_job_is_never_stored) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.LoadAndStart();
  store.FailNext(commit_fault::kUnavailable, 3);
  BOOST_TEST((owner.Submit("refused") == submit_outcome::kNotStored));
  // The caller retries until the store responds again.
  BOOST_TEST(owner.Eventually(
      [&] { return owner.Submit("later") == submit_outcome::kStored; }));
  BOOST_TEST(!store.Has(JobKey("pool", "refused")));
  BOOST_TEST(owner.AcceptedCount() == 1);
}

// A job that may have been stored is not rejected; it is accepted when its
// commit is confirmed.
BOOST_AUTO_TEST_CASE(a_job_is_unknown_until_its_commit_is_confirmed) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.LoadAndStart();
  store.FailNext(commit_fault::kDelayed);
  store.FailNext(commit_fault::kUnavailable, 10);
  BOOST_TEST(
      (owner.Submit("job", milliseconds(100)) == submit_outcome::kUnknown));
  owner.Eventually([&] { return owner.AcceptedCount() > 0; });
  BOOST_TEST(owner.AcceptedCount() == 1);
  BOOST_TEST(store.Has(JobKey("pool", "job")));
}

// A superseded owner stores nothing more, not even by a delayed commit.
BOOST_AUTO_TEST_CASE(a_superseded_owner_stores_nothing) {
  fake_store store;
  rig first(store, store.Put(kOwnerKey, "first"));
  first.LoadAndStart();
  store.FailNext(commit_fault::kDelayed);
  store.FailNext(commit_fault::kUnavailable, 50);
  BOOST_TEST(
      (first.Submit("old", milliseconds(100)) == submit_outcome::kUnknown));
  rig second(store, store.Put(kOwnerKey, "second"));
  BOOST_TEST(first.Eventually([&] { return first.is_superseded.load(); }));
  second.LoadAndStart();
  BOOST_TEST(store.ApplyDelayed() == 0);
  BOOST_TEST(!store.Has(JobKey("pool", "old")));
  BOOST_TEST((second.Submit("new") == submit_outcome::kStored));
}

// While a pool is handed over, its previous owner still tries to store jobs. A
// job that the next owner keeps out of the store is never run, so the daemon of
// the caller can submit it to the next owner at once.
BOOST_AUTO_TEST_CASE(a_superseded_owner_rejects_what_it_could_not_store) {
  fake_store store;
  rig first(store, store.Put(kOwnerKey, "first"));
  first.LoadAndStart();
  store.Put(kOwnerKey, "second");
  BOOST_TEST((first.Submit("job") == submit_outcome::kNotStored));
  BOOST_TEST(!store.Has(JobKey("pool", "job")));
}

// A stop waits for the response to the commit in flight.
BOOST_AUTO_TEST_CASE(a_stop_waits_for_the_commit_in_flight) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.LoadAndStart();
  store.SetDelay(milliseconds(200));
  std::thread stopping([&] {
    owner.clock->SleepFor(milliseconds(60));
    owner.journal->Stop();
  });
  BOOST_TEST((owner.Submit("job") == submit_outcome::kStored));
  stopping.join();
}

// The final state of a finished job replaces its record.
BOOST_AUTO_TEST_CASE(a_finished_job_keeps_only_its_state) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.LoadAndStart();
  owner.Submit("job");
  {
    const std::lock_guard lock(owner.mutex);
    job_progress progress;
    progress.state = job_state::kCompleted;
    owner.next_progress.jobs.push_back({"job", progress});
  }
  BOOST_TEST(owner.journal->Flush(owner.clock->Now() + duration(kTimeout)));
  BOOST_TEST(!store.Has(JobKey("pool", "job")));
  rig second(store, store.Put(kOwnerKey, "second"));
  const auto contents = second.LoadAndStart();
  BOOST_TEST(contents.jobs.empty());
  BOOST_REQUIRE_EQUAL(contents.finished.size(), 1);
  BOOST_TEST((contents.finished[0].second == job_state::kCompleted));
}

// Progress that exceeds one commit is stored in several, and a flush waits for
// all of them.
BOOST_AUTO_TEST_CASE(large_progress_is_stored_in_several_commits) {
  constexpr int kJobs = 100;
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.LoadAndStart();
  {
    const std::lock_guard lock(owner.mutex);
    for (int i = 0; i < kJobs; ++i) {
      owner.next_progress.jobs.push_back(
          {"job" + std::to_string(i), job_progress{}});
    }
  }
  BOOST_TEST(owner.journal->Flush(owner.clock->Now() + duration(kTimeout)));
  for (int i = 0; i < kJobs; ++i) {
    BOOST_TEST(store.Has(ProgressKey("pool", "job" + std::to_string(i))));
  }
}

BOOST_AUTO_TEST_CASE(the_worker_list_is_read_by_the_next_owner) {
  const std::map<std::string, std::string> workers = {{"w1", "10.0.0.1:80"},
                                                      {"w2", "10.0.0.2:80"}};
  fake_store store;
  {
    rig owner(store, store.Put(kOwnerKey, "first"));
    owner.LoadAndStart();
    BOOST_TEST(owner.journal->StoreWorkerList(
        workers, owner.clock->Now() + duration(kTimeout)));
  }
  rig second(store, store.Put(kOwnerKey, "second"));
  BOOST_TEST((second.LoadAndStart().workers == workers));
}

// Guards against requests that wait for an unreachable store. The store is
// silent for 4 s and callers have 3 s: requests waited until their deadline and
// got an unknown outcome although they had not been sent.
BOOST_AUTO_TEST_CASE(jobs_are_rejected_at_once_while_the_store_is_unreachable) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.LoadAndStart();
  store.SetUnresponsive(true);
  // The first job may have been stored.
  BOOST_TEST(
      (owner.Submit("sent", milliseconds(300)) == submit_outcome::kUnknown));
  BOOST_TEST(owner.journal->IsStoreUnreachable());
  const auto started_at = owner.clock->Now();
  BOOST_TEST((owner.Submit("refused") == submit_outcome::kNotStored));
  BOOST_TEST((owner.clock->Now() - started_at < milliseconds(200)));
  store.SetUnresponsive(false);
  owner.Eventually([&] { return !owner.journal->IsStoreUnreachable(); });
  BOOST_TEST((owner.Submit("next") == submit_outcome::kStored));
  BOOST_TEST(!store.Has(JobKey("pool", "refused")));
  BOOST_TEST(store.Has(JobKey("pool", "sent")));
}

// Guards against a timeout that is too short for a slow store: at a hundred
// times the usual latency, commits were abandoned, read back and sent again
// although the store would have responded.
BOOST_AUTO_TEST_CASE(a_slow_store_gets_a_longer_timeout) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.LoadAndStart();
  store.SetDelay(milliseconds(300));
  BOOST_TEST((owner.Submit("first") == submit_outcome::kStored));
  store.SetDelay(milliseconds(600));
  BOOST_TEST((owner.Submit("next") == submit_outcome::kStored));
  BOOST_TEST(owner.metrics.commit_failures.Value() == 0);
}

// A journal must stop although commits get no response while reads do.
BOOST_AUTO_TEST_CASE(a_journal_stops_while_the_store_only_reads) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.LoadAndStart();
  store.SetDelay(std::chrono::minutes(1));
  BOOST_TEST(
      (owner.Submit("job", milliseconds(100)) == submit_outcome::kUnknown));
  const auto started_at = owner.clock->Now();
  owner.journal->Stop();
  BOOST_TEST((owner.clock->Now() - started_at < std::chrono::seconds(4)));
}

// The daemon of the caller retries a rejected job; only a store that keeps
// rejecting counts as unreachable.
BOOST_AUTO_TEST_CASE(one_rejection_does_not_make_the_store_unreachable) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.LoadAndStart();
  store.FailNext(commit_fault::kUnavailable);
  BOOST_TEST((owner.Submit("job") == submit_outcome::kNotStored));
  BOOST_TEST(!owner.journal->IsStoreUnreachable());
  BOOST_TEST((owner.Submit("job") == submit_outcome::kStored));
  store.FailNext(commit_fault::kUnavailable, 3);
  BOOST_TEST((owner.Submit("other") == submit_outcome::kNotStored));
  BOOST_TEST(
      owner.Eventually([&] { return owner.journal->IsStoreUnreachable(); }));
}

progress_batch::entry ProgressOf(const std::string& id, job_state state) {
  job_progress progress;
  progress.state = state;
  return {id, progress};
}

// Guards against ends that an overloaded owner never acknowledges: they waited
// for a commit that holds the progress of all jobs that had changed, and there
// were always more than fit. The workers listed the ends in each report.
BOOST_AUTO_TEST_CASE(ends_are_acknowledged_while_more_changes_than_fits) {
  constexpr int kBusyJobs = 60;
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  {
    const std::lock_guard lock(owner.mutex);
    owner.refill = [](progress_batch& batch) {
      for (int i = 0; i < kBusyJobs; ++i) {
        batch.jobs.push_back(
            ProgressOf("busy-" + std::to_string(i), job_state::kActive));
      }
      batch.ends_by_worker["w1"] = {1, 7};
    };
  }
  owner.LoadAndStart();
  owner.journal->ScheduleCommit({});
  BOOST_TEST(
      owner.Eventually([&] { return owner.AcknowledgedEnd("w1") == 7; }));
  BOOST_TEST(store.Has(ProgressKey("pool", "busy-0")));
  BOOST_TEST(store.Has(ProgressKey("pool", "busy-59")));
}

// Guards against old progress that is never stored because new results fill
// each commit. No end was acknowledged meanwhile.
BOOST_AUTO_TEST_CASE(old_progress_is_stored_while_results_fill_commits) {
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  int taken = 0;
  {
    const std::lock_guard lock(owner.mutex);
    owner.next_progress.jobs.push_back(ProgressOf("busy", job_state::kActive));
    owner.refill = [&taken](progress_batch& batch) {
      ++taken;
      for (int i = 0; i < 40; ++i) {
        batch.jobs.insert(batch.jobs.begin(),
                          ProgressOf("result-" + std::to_string(taken) + "-" +
                                         std::to_string(i),
                                     job_state::kCompleted));
      }
      batch.ends_by_worker["w1"] = {1, 7};
    };
  }
  owner.LoadAndStart();
  owner.journal->ScheduleCommit({});
  BOOST_TEST(
      owner.Eventually([&] { return store.Has(ProgressKey("pool", "busy")); }));
  BOOST_TEST(
      owner.Eventually([&] { return owner.AcknowledgedEnd("w1") == 7; }));
  owner.journal->Stop();
}

// Guards against results and cancellations that wait behind the progress of
// jobs that only run on, or behind submissions. Submissions must not wait for
// all progress either.
BOOST_AUTO_TEST_CASE(a_result_is_in_the_next_commit) {
  constexpr int kWaiting = 60;
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  {
    const std::lock_guard lock(owner.mutex);
    for (int i = 0; i < kWaiting; ++i) {
      owner.next_progress.jobs.push_back(
          ProgressOf("busy-" + std::to_string(i), job_state::kActive));
    }
    owner.next_progress.jobs.push_back(
        ProgressOf("cancelled", job_state::kCancelled));
  }
  // The journal has not started, so these all wait for its first commit.
  std::vector<std::thread> callers;
  for (int i = 0; i < kWaiting; ++i) {
    callers.emplace_back(
        [&, i] { owner.Submit("submitted-" + std::to_string(i)); });
  }
  BOOST_REQUIRE(Attempt([&] { return owner.journal->Load(); }));
  owner.clock->SleepFor(milliseconds(100));
  const auto revision_of = [&](const std::string& key) {
    const auto entry = Attempt([&] { return owner.kv->Get(key); });
    return entry && *entry.value ? (**entry.value).revision : 0;
  };
  const auto first_commit = revision_of("apricotwheel/journals/pool") + 1;
  BOOST_REQUIRE(Attempt([&] { return owner.journal->Start(); }));
  for (std::thread& caller : callers) caller.join();
  BOOST_TEST(owner.Eventually(
      [&] { return store.Has(ProgressKey("pool", "cancelled")); }));
  BOOST_TEST(revision_of(ProgressKey("pool", "cancelled")) == first_commit);
  int submitted = 0;
  for (int i = 0; i < kWaiting; ++i) {
    const auto key = JobKey("pool", "submitted-" + std::to_string(i));
    submitted += revision_of(key) == first_commit ? 1 : 0;
  }
  BOOST_TEST(submitted > 0);
}

// Guards against a job that is answered as absent when it ends during the
// request. Its progress was read before, and its job record after, the commit
// that stores the result and removes the job record.
BOOST_AUTO_TEST_CASE(a_job_that_ends_between_two_reads_is_not_absent) {
  fake_store store;
  const auto kv = store.Client();
  store.Put(JobKey("pool", "job"), "stored");
  job_progress progress;
  progress.state = job_state::kCompleted;
  store.AfterNextGet([&] {
    kv_transaction result;
    result.puts.push_back(
        {ProgressKey("pool", "job"), EncodeProgress(progress), {}});
    result.removals.push_back(JobKey("pool", "job"));
    BOOST_REQUIRE(Attempt([&] { return kv->Commit(result); }));
  });
  const auto during =
      Attempt([&] { return ReadStoredJobState(*kv, "pool", "job"); });
  BOOST_REQUIRE(during);
  BOOST_TEST(during.value->has_value());
  const auto after =
      Attempt([&] { return ReadStoredJobState(*kv, "pool", "job"); });
  BOOST_REQUIRE(after);
  BOOST_TEST((*after.value == job_state::kCompleted));
}

// Guards against events of the journal that wake every caller of `Submit`: each
// scheduled commit and each commit of others woke all callers that waited.
BOOST_AUTO_TEST_CASE(a_waiting_caller_sleeps_until_its_result) {
  constexpr int kEvents = 20;
  // Two waits for the result, and a few for contended locks.
  constexpr long kMaxSleeps = kEvents / 2;
  fake_store store;
  rig owner(store, store.Put(kOwnerKey, "first"));
  owner.LoadAndStart();
  store.SetDelay(milliseconds(300));
  long sleeps = 0;
  std::thread caller([&] {
    rusage before{};
    rusage after{};
    getrusage(RUSAGE_THREAD, &before);
    owner.Submit("job");
    getrusage(RUSAGE_THREAD, &after);
    sleeps = after.ru_nvcsw - before.ru_nvcsw;
  });
  for (int i = 1; i <= kEvents; ++i) {
    owner.clock->SleepFor(milliseconds(5));
    owner.journal->ScheduleCommit(std::chrono::minutes(2 * kEvents - i));
  }
  caller.join();
  BOOST_TEST(sleeps <= kMaxSleeps);
}

}  // namespace
}  // namespace apricotwheel

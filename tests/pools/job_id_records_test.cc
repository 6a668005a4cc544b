// The stored records of job ids, in journals of several pools.
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "tests/pools/journal_rig.h"

namespace apricotwheel {
namespace {

using testing::commit_fault;
using testing::fake_store;
using testing::journal_rig;
using testing::MakeJob;
using testing::MakeStep;
using testing::OwnerKeyOf;

const std::string kAccepted = R"~({"partition":"pool"})~";

journal_rig OwnerOf(fake_store& store, const std::string& pool) {
  return {store, store.Put(OwnerKeyOf(pool), "owner"), pool};
}

job_submission SmallJob(const std::string& id) {
  return MakeJob(id, {MakeStep(1, {1000, 1024, 0})});
}

BOOST_AUTO_TEST_CASE(records_of_ids_decode_without_loss) {
  const std::vector<std::string> records{
      kAccepted, R"~({"organisation":"x","partition":"pool~1"})~",
      R"~({"cancelled_by":[{}]})~",
      R"~({"cancelled_by":[{"organisation":"x"},{"queue":"q"}]})~"};
  for (const std::string& text : records) {
    const auto record = Attempt([&] { return DecodeJobId(text); });
    BOOST_REQUIRE(record);
    BOOST_TEST(EncodeJobId(*record) == text);
  }
  for (const char* text : {"", "[]", "{}", R"({"cancelled_by":1})"}) {
    BOOST_TEST(!Attempt([&] { return DecodeJobId(text); }));
  }
}

BOOST_AUTO_TEST_CASE(a_cancelled_id_names_few_callers) {
  job_id_record record;
  for (std::size_t i = 0; i < kMaxCancellersOfId; ++i) {
    BOOST_TEST(AddCanceller(record, {std::to_string(i), {}}));
  }
  BOOST_TEST(AddCanceller(record, {"0", {}}));
  BOOST_TEST(!AddCanceller(record, {"more", {}}));
  BOOST_TEST(record.cancelled_by.size() == kMaxCancellersOfId);
}

// Guards against a conflict that is taken for a successor's, and against one
// that holds up the other submissions of its commit.
BOOST_AUTO_TEST_CASE(a_conflict_concerns_only_its_own_request) {
  fake_store store;
  journal_rig first = OwnerOf(store, "pool");
  journal_rig second = OwnerOf(store, "other");
  first.LoadAndStart();
  second.LoadAndStart();
  BOOST_TEST((first.Submit("taken") == submit_outcome::kStored));
  BOOST_TEST((first.CancelId("cancelled") == id_cancellation_outcome::kStored));
  store.SetDelay(milliseconds(50));
  std::map<std::string, submit_outcome> outcomes;
  std::mutex mutex;
  std::vector<std::thread> callers;
  for (const char* id : {"taken", "cancelled", "a", "b", "c"}) {
    callers.emplace_back([&, id] {
      const submit_outcome outcome = second.Submit(id);
      const std::lock_guard lock(mutex);
      outcomes[id] = outcome;
    });
  }
  for (std::thread& caller : callers) caller.join();
  BOOST_TEST((outcomes["taken"] == submit_outcome::kStored));
  BOOST_TEST((outcomes["cancelled"] == submit_outcome::kCancelled));
  BOOST_TEST(!store.Has(JobKey("other", "taken")));
  BOOST_TEST(!store.Has(JobKey("other", "cancelled")));
  for (const char* id : {"a", "b", "c"}) {
    BOOST_TEST((outcomes[id] == submit_outcome::kStored));
    BOOST_TEST(store.Has(JobKey("other", id)));
  }
  BOOST_TEST(!second.is_superseded);
  BOOST_TEST(second.AcceptedCount() == 3);
}

// Guards against a job that is stored and never runs: an attempt to commit it
// is applied late, and the next one finds the record of its own id.
BOOST_AUTO_TEST_CASE(a_record_of_a_late_attempt_is_no_conflict) {
  fake_store store;
  journal_rig owner = OwnerOf(store, "pool");
  owner.LoadAndStart();
  store.FailNext(commit_fault::kDelayed);
  // The read-back finds nothing; the attempt is applied before the next one.
  store.AfterNextGetOf("apricotwheel/journals/pool",
                       [&] { BOOST_TEST(store.ApplyDelayed() == 1); });
  BOOST_TEST((owner.Submit("job") == submit_outcome::kStored));
  BOOST_TEST(owner.AcceptedCount() == 1);
  BOOST_TEST(!owner.is_superseded);
  BOOST_TEST((owner.Submit("next") == submit_outcome::kStored));
}

// Guards against an owner that repeats a commit for ever because a lease has
// ended in an outage.
BOOST_AUTO_TEST_CASE(a_lost_lease_fails_only_the_cancellation) {
  fake_store store;
  journal_rig owner = OwnerOf(store, "pool");
  owner.LoadAndStart();
  const auto lease =
      Attempt([&] { return owner.kv->GrantLease(milliseconds(5000)); });
  BOOST_REQUIRE(lease);
  store.EndLeases();
  const auto cancelled = owner.journal->CancelId(
      "id", {}, *lease, owner.clock->Now() + milliseconds(3000));
  BOOST_TEST((cancelled.outcome == id_cancellation_outcome::kNotStored));
  BOOST_TEST((owner.Submit("job") == submit_outcome::kStored));
  BOOST_TEST((owner.CancelId("id") == id_cancellation_outcome::kStored));
  store.EndLeases();
  BOOST_TEST((owner.Submit("id") == submit_outcome::kStored));
}

BOOST_AUTO_TEST_CASE(the_record_of_an_id_is_deleted_with_the_job) {
  fake_store store;
  journal_rig owner = OwnerOf(store, "pool");
  owner.LoadAndStart();
  owner.Submit("job");
  owner.Submit("guest");
  BOOST_TEST(store.Value(JobIdKey("job")) == kAccepted);
  {
    const std::lock_guard lock(owner.mutex);
    // The record of a guest's id belongs to its own partition.
    owner.next_progress.jobs_to_delete = {{"job", false}, {"guest", true}};
  }
  BOOST_TEST(owner.journal->Flush(owner.clock->Now() + milliseconds(3000)));
  BOOST_TEST(owner.Eventually([&] { return !store.Has(JobIdKey("job")); }));
  BOOST_TEST(store.Has(JobIdKey("guest")));
}

BOOST_AUTO_TEST_CASE(a_guest_job_leaves_the_record_of_its_id) {
  fake_store store;
  journal_rig owner = OwnerOf(store, "pool");
  journal_rig host = OwnerOf(store, "pool~1");
  owner.LoadAndStart();
  host.LoadAndStart();
  owner.Submit("job");
  job_submission guest = SmallJob("job");
  guest.guest = guest_tasks{"pool", {{0, 0, 0, 1}}};
  BOOST_TEST(
      (host.journal->Submit(guest, host.clock->Now() + milliseconds(3000)) ==
       submit_outcome::kStored));
  BOOST_TEST(store.Value(JobIdKey("job")) == kAccepted);
}

BOOST_AUTO_TEST_CASE(the_record_of_an_id_follows_a_move) {
  fake_store store;
  journal_rig owner = OwnerOf(store, "pool");
  owner.LoadAndStart();
  owner.Submit("job");
  owner.journal->ScheduleMoves({{SmallJob("job"), "pool~1"}});
  BOOST_TEST(owner.Eventually([&] {
    return store.Value(JobIdKey("job")) == R"({"partition":"pool~1"})";
  }));
}

// Guards against copies of jobs that an earlier version has stored, before or
// after this version had the pool.
BOOST_AUTO_TEST_CASE(jobs_of_an_earlier_version_get_records) {
  constexpr int kJobs = 70;
  fake_store store;
  const auto id_of = [](int i) { return "job-" + std::to_string(i); };
  for (int i = 0; i < kJobs; ++i) {
    store.Put(JobKey("pool", id_of(i)), EncodeSubmission(SmallJob(id_of(i))));
  }
  job_progress finished;
  finished.state = job_state::kCompleted;
  finished.organisation = "x";
  store.Put(ProgressKey("pool", "ended"), EncodeProgress(finished));
  // It ran tasks for another partition, which knows it.
  store.Put(ProgressKey("pool", "lent"), EncodeProgress(finished));
  store.Put(JobIdKey("lent"), R"({"partition":"pool~1"})");
  store.Put(JobIdKey("forgotten"), kAccepted);
  store.Put("apricotwheel/journals/pool",
            R"~({"number":41,"tenure":7,"writer":"previous"})~");
  {
    journal_rig owner = OwnerOf(store, "pool");
    owner.LoadAndStart();
    for (int i = 0; i < kJobs; ++i) {
      BOOST_TEST(store.Value(JobIdKey(id_of(i))) == kAccepted);
    }
    BOOST_TEST(store.Value(JobIdKey("ended")) ==
               R"({"organisation":"x","partition":"pool"})");
    BOOST_TEST(store.Value(JobIdKey("lent")) == R"({"partition":"pool~1"})");
    BOOST_TEST(!store.Has(JobIdKey("forgotten")));
    BOOST_TEST((owner.Submit("next") == submit_outcome::kStored));
  }
  // The next owner finds that the records are complete and reads none.
  store.Put(JobIdKey("kept"), kAccepted);
  {
    journal_rig owner = OwnerOf(store, "pool");
    owner.LoadAndStart();
    BOOST_TEST(store.Has(JobIdKey("kept")));
  }
  // An earlier version has had the pool since.
  store.Put("apricotwheel/journals/pool",
            R"~({"number":5,"tenure":10,"writer":"previous"})~");
  store.Put(JobKey("pool", "late"), EncodeSubmission(SmallJob("late")));
  journal_rig owner = OwnerOf(store, "pool");
  owner.LoadAndStart();
  BOOST_TEST(store.Value(JobIdKey("late")) == kAccepted);
  BOOST_TEST(!store.Has(JobIdKey("kept")));
}

// Random submissions and cancellations in two pools, with lost, late and
// rejected commits and with takeovers.
struct walk {
  static constexpr int kIds = 12;
  static constexpr int kSteps = 60;

  std::mt19937 random;
  fake_store store;
  std::map<std::string, std::unique_ptr<journal_rig>> owners;
  std::mutex mutex;
  std::map<std::string, bool> cancelled;  // Acknowledged, by id.
  std::map<std::string, bool> accepted;

  explicit walk(unsigned seed) : random(seed) {
    for (const char* pool : {"pool", "other"}) TakeOver(pool);
  }
  unsigned Draw(unsigned count) { return random() % count; }
  void TakeOver(const std::string& pool) {
    const std::uint64_t epoch = store.Put(OwnerKeyOf(pool), "owner");
    auto next = std::make_unique<journal_rig>(store, epoch, pool);
    while (!Attempt([&] { return next->journal->Load(); })) {
    }
    BOOST_REQUIRE(Attempt([&] { return next->journal->Start(); }));
    owners[pool] = std::move(next);
  }
  void Fail() {
    constexpr commit_fault kFaults[] = {commit_fault::kUnavailable,
                                        commit_fault::kResponseLost,
                                        commit_fault::kDelayed};
    store.FailNext(kFaults[Draw(3)], 1 + static_cast<int>(Draw(2)));
  }
  void Request(const std::string& pool, const std::string& id, bool cancels,
               duration timeout) {
    journal_rig& owner = *owners[pool];
    const auto deadline = owner.clock->Now() + timeout;
    if (cancels) {
      const auto lease =
          Attempt([&] { return owner.kv->GrantLease(milliseconds(5000)); });
      const auto outcome =
          owner.journal->CancelId(id, {}, *lease, deadline).outcome;
      const std::lock_guard lock(mutex);
      if (outcome == id_cancellation_outcome::kStored) cancelled[id] = true;
      return;
    }
    job_submission job = SmallJob(id);
    job.queue.pool = pool;
    const submit_outcome outcome = owner.journal->Submit(job, deadline);
    const std::lock_guard lock(mutex);
    if (outcome == submit_outcome::kStored) accepted[id] = true;
  }
  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      if (Draw(3) == 0) Fail();
      std::vector<std::thread> callers;
      for (unsigned count = 1 + Draw(4); count > 0; --count) {
        const std::string pool = Draw(2) == 0 ? "pool" : "other";
        const std::string id = std::to_string(Draw(kIds));
        const bool cancels = Draw(3) == 0;
        const auto timeout = milliseconds(Draw(2) == 0 ? 5 : 200);
        callers.emplace_back(
            [=, this] { Request(pool, id, cancels, timeout); });
      }
      if (Draw(4) == 0) store.ApplyDelayed();
      for (std::thread& caller : callers) caller.join();
      if (Draw(8) == 0) TakeOver(Draw(2) == 0 ? "pool" : "other");
      if (Draw(4) == 0) store.ApplyDelayed();
    }
  }
  void Check() {
    for (const auto& [pool, owner] : owners) {
      // The commits that are under way come first.
      BOOST_TEST(owner->Eventually([&] {
        return owner->Submit("last-" + pool) == submit_outcome::kStored;
      }));
      BOOST_TEST(!owner->is_superseded);
    }
    store.ApplyDelayed();
    for (int i = 0; i < kIds; ++i) {
      const std::string id = std::to_string(i);
      const int records = (store.Has(JobKey("pool", id)) ? 1 : 0) +
                          (store.Has(JobKey("other", id)) ? 1 : 0);
      BOOST_TEST(records <= 1, "job " << id << " is stored twice");
      BOOST_TEST((records == 1) ==
                 store.Value(JobIdKey(id)).starts_with(R"({"partition")"));
      BOOST_TEST(!(records == 1 && cancelled[id]),
                 "job " << id << " is stored and was cancelled");
      BOOST_TEST(!(records == 0 && accepted[id]),
                 "job " << id << " was accepted and is not stored");
    }
  }
};

unsigned FirstSeed() {
  const char* seed = std::getenv("APRICOTWHEEL_SEED");
  return seed == nullptr ? 1 : static_cast<unsigned>(std::stoul(seed));
}

// Guards against any order of faults in which a job is stored in two pools, or
// after the cancellation of its id was acknowledged.
BOOST_AUTO_TEST_CASE(decisions_about_ids_stand) {
  constexpr unsigned kSeeds = 8;
  const unsigned first = FirstSeed();
  for (unsigned seed = first; seed < first + kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      walk play(seed);
      play.Run();
      play.Check();
    }
  }
}

}  // namespace
}  // namespace apricotwheel

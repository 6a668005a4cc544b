// Changes of the owner of a pool: planned stops, and owners that are cut off
// from the store.
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "tests/pools/daemon_parts.h"

namespace apricotwheel {
namespace {

using testing::daemon_parts;
using testing::fake_store;
using testing::kPool;

constexpr auto kHandOverTime = milliseconds(1500);

struct rig {
  fake_store store;
  daemon_parts first{store, "first"};
  std::unique_ptr<daemon_parts> second;

  rig() {
    BOOST_REQUIRE(Eventually([&] { return first.Owns() && first.Serves(); }));
    second = std::make_unique<daemon_parts>(store, "second");
    BOOST_REQUIRE(Eventually([&] {
      return first.directory->Members().size() == 2 &&
             second->directory->Members().size() == 2 &&
             second->directory->OwnerOf(kPool);
    }));
    BOOST_REQUIRE(
        (second->Submit("warm").status == job_call_status::kAccepted));
  }
};

// Guards against a pool that nobody owns for good: its owner took a conflict
// for a successor's and stopped, but the key went on naming its daemon, which
// renewed the lease of the key.
BOOST_FIXTURE_TEST_CASE(an_owner_that_gave_up_its_own_pool_comes_back, rig) {
  constexpr auto kRecoveryTime = milliseconds(5000);
  const std::string journal = "apricotwheel/journals/" + kPool;
  const auto before = *first.directory->OwnerOf(kPool);
  store.Put(journal, store.Value(journal));
  first.Submit("lost");
  const auto until = first.clock->Now() + duration(kRecoveryTime);
  bool is_accepted = false;
  while (!is_accepted && first.clock->Now() < until) {
    is_accepted = second->Submit("next").status == job_call_status::kAccepted;
  }
  BOOST_TEST(is_accepted);
  const auto owner = first.directory->OwnerOf(kPool);
  BOOST_REQUIRE(owner);
  // Orders of the owner that gave up are refused by the workers.
  BOOST_TEST(owner->epoch > before.epoch);
}

// Guards against a daemon that takes its pool back from a successor.
BOOST_FIXTURE_TEST_CASE(a_succeeded_owner_leaves_the_pool_to_its_successor,
                        rig) {
  constexpr auto kTimeToTakeBack = milliseconds(1500);
  const auto before = *first.directory->OwnerOf(kPool);
  BOOST_REQUIRE(Attempt(
      [&] { return second->directory->TakeOver(kPool, before.epoch, false); }));
  BOOST_REQUIRE(Eventually([&] { return second->Serves(); }));
  const auto taken = *second->directory->OwnerOf(kPool);
  first.clock->SleepFor(kTimeToTakeBack);
  BOOST_TEST((*second->directory->OwnerOf(kPool) == taken));
  BOOST_TEST(!first.Serves());
}

// Guards against rejected jobs during a rolling restart with a slow store. A
// pool had no owner while its last commit, the deletion of its owner key and
// the key of its next owner were written one after the other, or until the
// lease of the stopped daemon had expired.
BOOST_FIXTURE_TEST_CASE(jobs_are_accepted_throughout_a_planned_stop, rig) {
  store.SetDelay(milliseconds(400));
  std::atomic<bool> has_stopped = false;
  std::thread stopping([&] {
    first.host->HandOverPools(first.clock->Now() + duration(kHandOverTime));
    has_stopped = true;
  });
  int rejected = 0;
  int accepted = 0;
  const auto submit = [&] {
    const auto response =
        second->Submit("job-" + std::to_string(accepted + rejected));
    ++(response.status == job_call_status::kAccepted ? accepted : rejected);
  };
  while (!has_stopped) submit();
  stopping.join();
  submit();
  BOOST_TEST(rejected == 0);
  BOOST_TEST(accepted >= 2);
  BOOST_TEST(second->Owns());
  BOOST_TEST(!first.Owns());
}

// A stopping daemon stays a member until its callers have gone; without the
// record the others would close their connections to it and interrupt the jobs
// that it forwards. They send it no new requests.
BOOST_FIXTURE_TEST_CASE(a_stopping_daemon_stays_connected, rig) {
  first.host->HandOverPools(first.clock->Now() + duration(kHandOverTime));
  BOOST_REQUIRE(Eventually([&] { return second->Serves(); }));
  const auto is_marked = [&] {
    const auto members = second->directory->Members();
    return std::any_of(members.begin(), members.end(), [](const member& one) {
      return one.id == "first" && one.leaving;
    });
  };
  BOOST_TEST(Eventually(is_marked));
  BOOST_TEST((first.Submit("late").status == job_call_status::kAccepted));
  BOOST_TEST(second->directory->Successors(kPool).empty());
}

// Guards against jobs rejected until the owner's lease has expired, when the
// store rejects the requests of the owner's daemon, or is cut off from it, and
// serves the others.
BOOST_FIXTURE_TEST_CASE(an_owner_without_the_store_hands_its_pool_over, rig) {
  *first.is_cut_off = true;
  BOOST_TEST(Eventually([&] {
    return second->Submit("job").status == job_call_status::kAccepted;
  }));
  BOOST_TEST(second->Owns());
  // The previous owner has missed the change in the store.
  BOOST_TEST((first.Submit("next").status == job_call_status::kAccepted));
}

// Guards against a daemon with an outdated owner: the store rejects several
// daemons while the owner of a pool changes, and a daemon that missed the
// change rejected its callers as long as that lasted.
BOOST_FIXTURE_TEST_CASE(a_daemon_without_the_store_learns_of_the_owner, rig) {
  *second->is_cut_off = true;
  daemon_parts third(store, "third");
  BOOST_REQUIRE(Eventually([&] {
    return first.directory->Members().size() == 3 &&
           third.directory->OwnerOf(kPool);
  }));
  first.host->HandOverPools(first.clock->Now() + duration(kHandOverTime));
  BOOST_REQUIRE(Eventually([&] { return third.Owns() && third.Serves(); }));
  BOOST_TEST((second->Submit("job").status == job_call_status::kAccepted));
}

// While no daemon gets a response from the store, the pool keeps its owner.
BOOST_FIXTURE_TEST_CASE(a_store_outage_changes_no_owner, rig) {
  *first.is_cut_off = true;
  *second->is_cut_off = true;
  const auto response = second->Submit("job");
  BOOST_TEST((response.status != job_call_status::kAccepted));
  second->clock->SleepFor(milliseconds(1500));
  BOOST_TEST(first.Owns());
  *first.is_cut_off = false;
  *second->is_cut_off = false;
  BOOST_TEST(Eventually([&] {
    return second->Submit("job").status == job_call_status::kAccepted;
  }));
}

// Without a successor the pool is released, so that the next member that joins
// can acquire it.
BOOST_AUTO_TEST_CASE(the_last_daemon_releases_its_pools) {
  fake_store store;
  daemon_parts only(store, "only");
  BOOST_REQUIRE(Eventually([&] { return only.Owns() && only.Serves(); }));
  BOOST_REQUIRE(Eventually(
      [&] { return only.Submit("job").status == job_call_status::kAccepted; }));
  only.host->HandOverPools(only.clock->Now() + duration(kHandOverTime));
  BOOST_TEST(!store.Has(pool_directory::OwnerKey(kPool)));
  BOOST_TEST(store.Has(JobKey(kPool, "job")));
}

}  // namespace
}  // namespace apricotwheel

// Which member becomes the owner of a pool, and when the pool moves.
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "peer/peer_connection.h"
#include "tests/pools/daemon_parts.h"

namespace apricotwheel {
namespace {

using testing::daemon_parts;
using testing::fake_store;
using testing::kPool;

constexpr auto kHandOverTime = milliseconds(1500);
constexpr double kWeak = 0.12;
constexpr double kStrong = 0.5;
// Long enough for a move of an owner of minimum tenure.
constexpr auto kMoveTimeout = milliseconds(9000);
// In this time an owner would move again if it could.
constexpr auto kNoMoveTime = milliseconds(6000);
constexpr auto kSlowDecisions = milliseconds(500);

using daemon_list = std::vector<std::unique_ptr<daemon_parts>>;

bool KnowAll(const daemon_list& daemons) {
  return std::all_of(daemons.begin(), daemons.end(), [&](const auto& one) {
    return one->directory->Members().size() == daemons.size();
  });
}

bool WaitUntilOwned(const daemon_parts& daemon) {
  const auto until = daemon.clock->Now() + duration(kMoveTimeout);
  while (!daemon.Owns() && daemon.clock->Now() < until) {
    daemon.clock->SleepFor(milliseconds(10));
  }
  return daemon.Owns();
}

// Guards against a pool on a VM that cannot carry it, when the VMs start
// together and the weak ones are ready first: the first member with the best
// hash of its id acquired the pool.
BOOST_AUTO_TEST_CASE(the_strongest_member_acquires_a_new_pool) {
  for (const std::string strongest : {"a", "b", "c", "d"}) {
    fake_store store;
    daemon_list daemons;
    for (const std::string id : {"a", "b", "c", "d"}) {
      if (id != strongest) {
        daemons.push_back(std::make_unique<daemon_parts>(store, id, kWeak));
      }
    }
    daemons.push_back(
        std::make_unique<daemon_parts>(store, strongest, kStrong));
    BOOST_TEST(WaitUntilOwned(*daemons.back()), strongest);
    BOOST_TEST(store.Value("apricotwheel/cluster/pools/" + kPool) == strongest);
  }
}

// Guards against two new pools on one VM: a member that ranked first for both
// acquired both before it counted the first, and one moved away after 4 s.
BOOST_AUTO_TEST_CASE(one_member_does_not_acquire_two_new_pools) {
  const std::vector<std::string> ids = {"a", "b", "c"};
  std::vector<owner_candidate> candidates;
  for (const std::string& id : ids) {
    candidates.push_back({id, {1000, false, 0}, 0, 0});
  }
  const auto first_of = [&](const std::string& pool) {
    return RankForElection(pool, candidates).front().id;
  };
  const std::string one = "pool-0";
  std::string other = "pool-1";
  for (int i = 2; first_of(other) != first_of(one); ++i) {
    other = "pool-" + std::to_string(i);
  }
  fake_store store;
  daemon_list daemons;
  for (const std::string& id : ids) {
    daemons.push_back(std::make_unique<daemon_parts>(store, id));
    daemons.back()->directory->SetPools({one, other});
  }
  const auto owner_of = [&](const std::string& pool) {
    return store.Value("apricotwheel/cluster/pools/" + pool);
  };
  BOOST_REQUIRE(Eventually(
      [&] { return !owner_of(one).empty() && !owner_of(other).empty(); }));
  BOOST_TEST(owner_of(one) == first_of(one));
  BOOST_TEST(owner_of(other) != owner_of(one));
}

// Guards against a weak member that acquires a new pool because members joined
// for longer than it waits, while a strong one that is a member waits on.
BOOST_AUTO_TEST_CASE(a_weak_member_waits_for_a_strong_one_that_joined_later) {
  constexpr auto kJoinInterval = milliseconds(250);
  constexpr int kJoins = 13;
  constexpr int kJoinsBeforeStrong = 5;
  fake_store store;
  daemon_parts weak(store, "weak", kWeak);
  std::unique_ptr<daemon_parts> strong;
  for (int i = 0; i < kJoins; ++i) {
    if (i == kJoinsBeforeStrong) {
      strong = std::make_unique<daemon_parts>(store, "strong", kStrong);
    }
    const std::string id = "other-" + std::to_string(i);
    const std::string address = "127.0.0.1:" + std::to_string(i + 1);
    store.Put(std::string(kMembersPrefix) + id,
              EncodeMember({id, id, "a", "", address, false}));
    weak.clock->SleepFor(kJoinInterval);
  }
  BOOST_REQUIRE(Eventually([&] { return weak.Owns() || strong->Owns(); }));
  BOOST_TEST(store.Value("apricotwheel/cluster/pools/" + kPool) == "strong");
}

// Guards against a weak member that acquires a new pool because the strong one
// gets its configuration a little later.
BOOST_AUTO_TEST_CASE(
    a_weak_member_waits_for_the_configuration_of_a_strong_one) {
  constexpr auto kConfigurationDelay = milliseconds(350);
  fake_store store;
  daemon_parts weak(store, "weak", kWeak);
  daemon_parts strong(store, "strong", kStrong);
  strong.directory->SetPools({});
  strong.clock->SleepFor(kConfigurationDelay);
  strong.directory->SetPools({kPool});
  BOOST_REQUIRE(Eventually([&] { return weak.Owns() || strong.Owns(); }));
  BOOST_TEST(store.Value("apricotwheel/cluster/pools/" + kPool) == "strong");
}

// Guards against a pool that is vacant in the middle of a day and goes to a
// weak member, or stays vacant until members have stopped joining.
BOOST_AUTO_TEST_CASE(the_strongest_member_acquires_a_vacant_pool_quickly) {
  fake_store store;
  daemon_parts first(store, "first", kStrong);
  BOOST_REQUIRE(WaitUntilOwned(first));
  daemon_list others;
  for (const std::string id : {"a", "b", "c", "d"}) {
    others.push_back(std::make_unique<daemon_parts>(store, id, kWeak));
  }
  others.push_back(std::make_unique<daemon_parts>(store, "strong", kStrong));
  BOOST_REQUIRE(Eventually([&] {
    return std::all_of(others.begin(), others.end(), [&](const auto& one) {
      return one->directory->Members().size() == 6 &&
             one->directory->OwnerOf(kPool);
    });
  }));
  const auto vacant_at = first.clock->Now();
  first.directory->MarkLeaving();
  first.directory->ReleasePools(first.clock->Now() + duration(kHandOverTime));
  BOOST_REQUIRE(Eventually([&] { return others.back()->Owns(); }));
  BOOST_TEST((first.clock->Now() - vacant_at < milliseconds(500)));
}

// Guards against a planned stop that hands a pool to a weak VM because that
// joined last.
BOOST_AUTO_TEST_CASE(a_planned_stop_hands_over_to_the_strongest_member) {
  fake_store store;
  daemon_list daemons;
  daemons.push_back(std::make_unique<daemon_parts>(store, "first", kStrong));
  daemons.push_back(std::make_unique<daemon_parts>(store, "second", kStrong));
  daemons.push_back(std::make_unique<daemon_parts>(store, "weak-1", kWeak));
  daemons.push_back(std::make_unique<daemon_parts>(store, "weak-2", kWeak));
  BOOST_REQUIRE(WaitUntilOwned(*daemons[0]) || WaitUntilOwned(*daemons[1]));
  BOOST_REQUIRE(Eventually([&] { return KnowAll(daemons); }));
  auto& owner = daemons[0]->Owns() ? *daemons[0] : *daemons[1];
  auto& other = daemons[0]->Owns() ? *daemons[1] : *daemons[0];
  owner.host->HandOverPools(owner.clock->Now() + duration(kHandOverTime));
  BOOST_TEST(Eventually([&] { return other.Owns(); }));
}

// Guards against members of an older version, which publish no capacity: they
// remain members, and get a pool if there is no other.
BOOST_AUTO_TEST_CASE(a_member_without_a_capacity_can_own_a_pool) {
  fake_store store;
  daemon_parts first(store, "first");
  BOOST_REQUIRE(WaitUntilOwned(first));
  member old{"old", "old", "a", "", "127.0.0.1:1", false};
  store.Put(std::string(kMembersPrefix) + "old", EncodeMember(old));
  BOOST_REQUIRE(
      Eventually([&] { return first.directory->Members().size() == 2; }));
  const auto successors = first.directory->Successors(kPool);
  BOOST_REQUIRE(successors.size() == 1U);
  BOOST_TEST(successors.front().id == "old");
}

// Guards against two daemons that take a pool from each other in turns for
// ever: a cut had refused connections between them, and each held the other for
// dead.
BOOST_AUTO_TEST_CASE(a_member_that_takes_a_pool_is_not_dead) {
  constexpr auto kTimeToTakeBack = milliseconds(1500);
  const std::string owner_key = pool_directory::OwnerKey(kPool);
  fake_store store;
  daemon_parts first(store, "first");
  BOOST_REQUIRE(WaitUntilOwned(first));
  store.Put(std::string(kMembersPrefix) + "other",
            EncodeMember({"other", "other", "a", "", "127.0.0.1:1", false}));
  const auto lose_pool = [&] {
    store.Put(owner_key, "other");
    BOOST_REQUIRE(Eventually([&] { return !first.Owns(); }));
    first.directory->ReportUnreachable("other");
  };
  lose_pool();
  BOOST_TEST(WaitUntilOwned(first));
  lose_pool();
  first.clock->SleepFor(kTimeToTakeBack);
  BOOST_TEST(!first.Owns());
  BOOST_TEST(first.directory->Members().size() == 2);
}

// Guards against a member that counts as dead as long as it lives because it
// once refused a connection.
BOOST_AUTO_TEST_CASE(a_member_that_listens_again_is_not_dead) {
  const int reserved = *Attempt([] { return ListenSocket("127.0.0.1:0"); });
  const std::string address = LocalAddress(reserved);
  ::close(reserved);
  fake_store store;
  daemon_parts first(store, "first");
  store.Put(std::string(kMembersPrefix) + "other",
            EncodeMember({"other", "other", "a", "", address, false}));
  BOOST_REQUIRE(
      Eventually([&] { return first.directory->Members().size() == 2; }));
  first.directory->ReportUnreachable("other");
  BOOST_REQUIRE(
      Eventually([&] { return first.directory->Members().size() == 1; }));
  const int listening = *Attempt([&] { return ListenSocket(address); });
  BOOST_TEST(
      Eventually([&] { return first.directory->Members().size() == 2; }));
  ::close(listening);
}

// Guards against a daemon that takes a pool from a healthy owner when it
// returns from a cut: during the cut, the owner's address refused its
// connections.
BOOST_AUTO_TEST_CASE(a_member_that_returns_from_a_cut_takes_no_pool) {
  constexpr auto kTimeToTake = milliseconds(700);
  // The member may learn by chance, from a probe that is due, that the owner is
  // alive.
  for (int attempt = 0; attempt < 4; ++attempt) {
    const int reserved = *Attempt([] { return ListenSocket("127.0.0.1:0"); });
    const std::string address = LocalAddress(reserved);
    ::close(reserved);
    fake_store store;
    store.Put(std::string(kMembersPrefix) + "owner",
              EncodeMember({"owner", "owner", "a", "", address, false}));
    store.Put(pool_directory::OwnerKey(kPool), "owner");
    daemon_parts first(store, "first");
    BOOST_REQUIRE(
        Eventually([&] { return first.directory->Members().size() == 2; }));
    *first.is_cut_off = true;
    first.directory->ReportUnreachable("owner");
    BOOST_REQUIRE(
        Eventually([&] { return first.directory->Members().size() == 1; }));
    const int listening = *Attempt([&] { return ListenSocket(address); });
    *first.is_cut_off = false;
    first.clock->SleepFor(kTimeToTake);
    BOOST_TEST(!first.Owns());
    ::close(listening);
  }
}

// Guards against a pool that stays with a weak owner after a strong VM has
// started again, and against further moves after the first.
BOOST_AUTO_TEST_CASE(a_pool_moves_once_to_a_much_stronger_member) {
  fake_store store;
  daemon_parts weak(store, "weak", kWeak);
  BOOST_REQUIRE(WaitUntilOwned(weak));
  daemon_parts strong(store, "strong", kStrong);
  daemon_parts equal(store, "equal", kStrong);
  BOOST_REQUIRE(
      Eventually([&] { return weak.directory->Members().size() == 3; }));
  const auto until = weak.clock->Now() + duration(kMoveTimeout);
  while (weak.Owns() && weak.clock->Now() < until) {
    weak.clock->SleepFor(milliseconds(10));
  }
  BOOST_REQUIRE((strong.Owns() || equal.Owns()));
  const auto moved = *weak.directory->OwnerOf(kPool);
  weak.clock->SleepFor(kNoMoveTime);
  BOOST_TEST((*weak.directory->OwnerOf(kPool) == moved));
}

// Guards against an owner that lacks processor time and keeps its pool, and
// against members that hand an overload to each other in circles: here each of
// the two is too slow.
BOOST_AUTO_TEST_CASE(an_overloaded_owner_hands_its_pool_over_once) {
  const auto slow = [] { return duration(kSlowDecisions); };
  fake_store store;
  daemon_parts first(store, "first", kStrong, slow);
  BOOST_REQUIRE(WaitUntilOwned(first));
  daemon_parts second(store, "second", kStrong, slow);
  daemon_parts weak(store, "weak", kWeak, slow);
  BOOST_REQUIRE(WaitUntilOwned(second));
  const auto moved = *second.directory->OwnerOf(kPool);
  second.clock->SleepFor(kNoMoveTime);
  BOOST_TEST((*second.directory->OwnerOf(kPool) == moved));
  BOOST_TEST(store.Value("apricotwheel/cluster/capacities/first")
                 .find("\"overloaded\":true") != std::string::npos);
}

// Guards against a flooded pool that moves on and on among equal members: its
// overload moves with it, and each move costs seconds without decisions.
BOOST_AUTO_TEST_CASE(a_flooded_pool_moves_once_among_equal_members) {
  // An owner moved again 8 s after the first move.
  constexpr auto kNoSecondMoveTime = milliseconds(12'000);
  const auto slow = [] { return duration(kSlowDecisions); };
  fake_store store;
  daemon_list daemons;
  for (const std::string id : {"a", "b", "c"}) {
    daemons.push_back(std::make_unique<daemon_parts>(store, id, kStrong, slow));
  }
  const daemon_parts& observer = *daemons.front();
  const auto owner = [&] { return observer.directory->OwnerOf(kPool); };
  const auto wait_for = [&](const auto& condition) {
    const auto until = observer.clock->Now() + duration(kMoveTimeout);
    while (!condition() && observer.clock->Now() < until) {
      observer.clock->SleepFor(milliseconds(10));
    }
    return condition();
  };
  BOOST_REQUIRE(wait_for([&] { return owner().has_value(); }));
  const auto first = *owner();
  BOOST_REQUIRE(wait_for([&] { return *owner() != first; }));
  const auto second = *owner();
  observer.clock->SleepFor(kNoSecondMoveTime);
  BOOST_TEST((*owner() == second));
}

}  // namespace
}  // namespace apricotwheel

#include "pools/owner_authority.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace apricotwheel {
namespace {

constexpr auto kSpan = milliseconds(7000);
constexpr auto kExtension = milliseconds(30'000);

struct rig {
  clock_ptr clock = runtime_clock::Paused();
  bool is_owner = true;
  int questions = 0;

  owner_authority Make(duration max_extension = kExtension) {
    return owner_authority({kSpan, max_extension, clock->Now(),
                            [this] {
                              ++questions;
                              return is_owner;
                            },
                            clock});
  }
};

BOOST_FIXTURE_TEST_CASE(there_is_no_authority_without_a_confirmation, rig) {
  auto authority = Make();
  authority.Extend(clock->Now());
  BOOST_TEST((authority.EndsAt() <= clock->Now()));
  authority.Confirm(clock->Now());
  BOOST_TEST((authority.EndsAt() == clock->Now() + kSpan));
}

// Guards against two owners of one pool on both sides of a network cut: the
// time for which the earlier one acts and that for which its successor waits
// must agree, whatever the store confirmed and the members extended before.
BOOST_FIXTURE_TEST_CASE(a_successor_waits_for_all_that_an_owner_may_do, rig) {
  std::mt19937 random(45);
  std::uniform_int_distribution<int> steps(0, 20'000);
  for (int i = 0; i < 500; ++i) {
    auto earlier = Make();
    earlier.Confirm(clock->Now());
    clock->Advance(milliseconds(steps(random)));
    if (i % 2 == 0) earlier.Confirm(clock->Now());
    auto later = Make();
    // Members that have not heard of the successor extend the authority.
    clock->Advance(milliseconds(steps(random)));
    earlier.Extend(clock->Now());
    BOOST_TEST((earlier.EndsAt() < later.EarlierLeasesEnd()));
    later.EndEarlierExtensions();
    BOOST_TEST((earlier.EndsAt() < later.EarlierLeasesEnd()));
    BOOST_TEST(
        (later.EarlierLeasesEnd() <= clock->Now() + kSpan + milliseconds(500)));
  }
}

BOOST_FIXTURE_TEST_CASE(members_extend_the_authority_for_a_limited_time, rig) {
  auto authority = Make();
  authority.Confirm(clock->Now());
  const time_point limit = clock->Now() + kExtension + kSpan;
  for (int i = 0; i < 100; ++i) {
    clock->Advance(milliseconds(1000));
    authority.Extend(clock->Now());
  }
  BOOST_TEST((authority.EndsAt() == limit));
}

// Guards against an owner that takes the end of its own leases for the end of
// the runs, although a successor has claimed the worker and renews them.
BOOST_FIXTURE_TEST_CASE(only_the_store_shows_that_there_is_no_successor, rig) {
  auto authority = Make();
  authority.Confirm(clock->Now());
  clock->Advance(milliseconds(3000));
  const time_point since = clock->Now();
  BOOST_TEST(!authority.ConfirmSince(since + milliseconds(1)));
  BOOST_TEST(questions == 0);
  is_owner = false;
  authority.Extend(clock->Now());
  BOOST_TEST(!authority.ConfirmSince(since));
  is_owner = true;
  BOOST_TEST(authority.ConfirmSince(since));
  BOOST_TEST(authority.ConfirmSince(since));
  BOOST_TEST(questions == 2);
}

}  // namespace
}  // namespace apricotwheel

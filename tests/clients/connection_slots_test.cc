// Which connection gives its slot to a new one, without a network.
#include "clients/connection_slots.h"

#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

namespace apricotwheel {
namespace {

using end_of_wait = connection_slots::end_of_wait;

struct fixture {
  std::vector<std::pair<int, end_of_wait>> ended;
  connection_slots slots{3, [this](int connection, end_of_wait end) {
                           ended.emplace_back(connection, end);
                         }};
  time_point start;

  time_point At(std::int64_t ms) const { return start + milliseconds(ms); }
  void AddThree() {
    for (int id = 1; id <= 3; ++id) BOOST_REQUIRE(slots.Add(id, At(id)));
  }
};

// Guards against silent clients that keep others out, also by connecting again.
BOOST_AUTO_TEST_CASE(the_longest_silent_connection_gives_its_slot) {
  fixture test;
  test.AddThree();
  for (int id = 4; id < 100; ++id) {
    BOOST_TEST(test.slots.Add(id, test.At(id)));
    BOOST_REQUIRE(!test.ended.empty());
    BOOST_TEST(test.ended.back().first == id - 3);
    BOOST_TEST((test.ended.back().second == end_of_wait::kReading));
    BOOST_TEST(test.slots.IsClosing(id - 3));
    test.slots.Remove(id - 3);
    BOOST_TEST(test.slots.Count() == 3U);
  }
}

// Guards against a request that is cut off while it is being handled.
BOOST_AUTO_TEST_CASE(requests_that_are_handled_keep_their_slots) {
  fixture test;
  test.AddThree();
  for (int id = 1; id <= 3; ++id) {
    test.slots.BeginRequest(id, test.At(10));
    test.slots.BeginHandling(id);
  }
  BOOST_TEST(!test.slots.Add(4, test.At(100'000)));
  BOOST_TEST(test.ended.empty());
  test.slots.SetServed(2);
  test.slots.BeginIdle(2, test.At(100'000));
  BOOST_TEST(test.slots.Add(4, test.At(100'001)));
  BOOST_REQUIRE_EQUAL(test.ended.size(), 1U);
  BOOST_TEST(test.ended.back().first == 2);
}

// Guards against callers with idle connections that go before clients which
// have sent nothing.
BOOST_AUTO_TEST_CASE(the_wait_of_served_connections_counts_less) {
  fixture test;
  test.AddThree();
  test.slots.SetServed(1);
  test.slots.BeginIdle(1, test.At(1));
  BOOST_TEST(test.slots.Add(4, test.At(1000)));
  BOOST_TEST(test.ended.back().first == 2);
  BOOST_TEST(test.slots.Add(5, test.At(1000)));
  BOOST_TEST(test.ended.back().first == 3);
  // Those that have come since have waited for less.
  BOOST_TEST(test.slots.Add(6, test.At(1010)));
  BOOST_TEST(test.ended.back().first == 1);
}

// Guards against clients that do not read, and against a large response that is
// cut off at its first pause.
BOOST_AUTO_TEST_CASE(unread_responses_give_their_slots) {
  fixture test;
  test.AddThree();
  for (int id = 1; id <= 3; ++id) {
    test.slots.BeginRequest(id, test.At(10));
    test.slots.BeginHandling(id);
  }
  test.slots.BeginBlockedWrite(3, test.At(20));
  BOOST_TEST(!test.slots.Add(4, test.At(900)));
  BOOST_TEST(test.slots.Add(4, test.At(1100)));
  BOOST_REQUIRE_EQUAL(test.ended.size(), 1U);
  BOOST_TEST(test.ended.back().first == 3);
  BOOST_TEST((test.ended.back().second == end_of_wait::kWriting));
}

// Guards against more connections than slots while those that are closing have
// not ended.
BOOST_AUTO_TEST_CASE(closing_connections_are_bounded) {
  fixture test;
  test.AddThree();
  int added = 0;
  for (int id = 4; id < 1000; ++id) {
    if (test.slots.Add(id, test.At(id))) ++added;
  }
  BOOST_TEST(added > 0);
  BOOST_TEST(test.slots.Count() <= 3U + 16U);
}

}  // namespace
}  // namespace apricotwheel

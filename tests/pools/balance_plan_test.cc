// When waiting work moves between the partitions of a pool, and how much.
#include "pools/balance_plan.h"

#include <boost/test/unit_test.hpp>

namespace apricotwheel {
namespace {

const time_point kNow = time_point{} + std::chrono::hours(1);

reported_load Report(double backlog_seconds, double busy_share = 1,
                     duration age = milliseconds(50)) {
  return {{backlog_seconds, busy_share}, kNow - age};
}

// Pattern: one partition has a backlog of 2 s while another is idle.
BOOST_AUTO_TEST_CASE(half_of_the_difference_moves_to_the_least_loaded) {
  const auto plan =
      PlanMoves({2.0, 1}, {{"p~1", Report(1.0)}, {"p~2", Report(0.4)}}, kNow);
  BOOST_REQUIRE(plan.has_value());
  BOOST_TEST(plan->target == "p~2");
  BOOST_TEST(plan->pool_seconds == 0.8, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(among_equal_partitions_the_less_busy_is_chosen) {
  const auto plan = PlanMoves(
      {1.0, 1}, {{"p~1", Report(0, 0.9)}, {"p~2", Report(0, 0.2)}}, kNow);
  BOOST_REQUIRE(plan.has_value());
  BOOST_TEST(plan->target == "p~2");
}

// Guards against jobs that are moved for nothing, or back and forth.
BOOST_AUTO_TEST_CASE(even_partitions_move_nothing) {
  BOOST_TEST(!PlanMoves({0.5, 1}, {{"p~1", Report(0.45)}}, kNow));
  BOOST_TEST(!PlanMoves({0.5, 1}, {{"p~1", Report(3.0)}}, kNow));
  BOOST_TEST(!PlanMoves({5.0, 1}, {}, kNow));
}

// Pattern: all racks of a partition have left, or never joined: its jobs waited
// for ever, and as it seemed to be idle, others moved there.
BOOST_AUTO_TEST_CASE(a_partition_without_workers_gives_all_and_takes_none) {
  reported_load empty = Report(0, 0);
  empty.load.has_workers = false;
  BOOST_TEST(!PlanMoves({5.0, 1}, {{"p~1", empty}}, kNow));
  const auto plan =
      PlanMoves({0, 0, false}, {{"p~1", empty}, {"p~2", Report(3.0)}}, kNow);
  BOOST_REQUIRE(plan.has_value());
  BOOST_TEST(plan->target == "p~2");
  BOOST_TEST(plan->pool_seconds > 1e9);
}

// Guards against jobs that move to a partition whose owner is gone.
BOOST_AUTO_TEST_CASE(old_reports_do_not_count) {
  BOOST_TEST(
      !PlanMoves({5.0, 1}, {{"p~1", Report(0, 0, milliseconds(1500))}}, kNow));
}

}  // namespace
}  // namespace apricotwheel

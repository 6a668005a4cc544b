#include "tests/graph/crash_storm.h"

#include <boost/test/unit_test.hpp>

namespace apricotwheel {
namespace {

using testing::CheckStorm;

// Guards against jobs that wait beside idle workers after a series of crashes,
// because all workers with room are kept for suspects.
BOOST_AUTO_TEST_CASE(jobs_do_not_wait_for_suspects_of_a_storm) {
  CheckStorm({.has_advisor = true});
  CheckStorm({});
}

// The same with other shapes of jobs and of crashes.
BOOST_AUTO_TEST_CASE(other_storms_leave_no_job_waiting) {
  CheckStorm({.crashing = 3,
              .interval = milliseconds(1500),
              .away_time = milliseconds(1400),
              .has_advisor = true});
  CheckStorm({.crashing = 1,
              .interval = milliseconds(500),
              .away_time = milliseconds(400),
              .has_advisor = true});
  CheckStorm(
      {.crashing = 14, .interval = milliseconds(11'000), .has_advisor = true});
}

// The same for jobs of one task, whose step gives no evidence for them.
BOOST_AUTO_TEST_CASE(a_storm_over_jobs_of_one_task) {
  CheckStorm({.jobs = 1100, .tasks = 1});
}

// The same for gangs.
BOOST_AUTO_TEST_CASE(a_storm_over_gangs) {
  CheckStorm({.jobs = 275, .tasks = 4, .is_gang = true, .has_advisor = true});
}

}  // namespace
}  // namespace apricotwheel

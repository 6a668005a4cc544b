#include <boost/test/unit_test.hpp>

#include "tests/graph/crash_storm.h"

namespace apricotwheel {
namespace {

using testing::CheckStorm;

// Guards against jobs that wait beside idle workers after a series of crashes,
// because their suspects are judged one by one: jobs whose tasks are all on one
// or two workers.
BOOST_AUTO_TEST_CASE(a_storm_over_small_tasks) {
  CheckStorm({.jobs = 220, .tasks = 20, .need = {250, 256, 0}});
  CheckStorm(
      {.jobs = 220, .tasks = 20, .has_advisor = true, .need = {250, 256, 0}});
}

}  // namespace
}  // namespace apricotwheel

#include "tests/graph/random_walk.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace apricotwheel {
namespace {

using testing::random_walk;
using testing::walk_options;

// APRICOTWHEEL_WALKS raises the number of seeds for a long run by hand.
std::uint64_t CountSeeds() {
  constexpr std::uint64_t kSeeds = 300;
  const char* walks = std::getenv("APRICOTWHEEL_WALKS");
  return walks == nullptr ? kSeeds : std::strtoull(walks, nullptr, 10);
}

void CheckWalks(walk_options options) {
  const std::uint64_t seeds = CountSeeds();
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const std::string finding = random_walk(seed, options).Run();
    BOOST_CHECK_MESSAGE(finding.empty(), "seed " << seed << ": " << finding);
  }
}

// Guards against accepted work that is lost: a task that is placed without a
// run, or that waits although its job could go on.
BOOST_AUTO_TEST_CASE(no_task_is_lost) { CheckWalks({}); }

BOOST_AUTO_TEST_CASE(no_task_under_approval_is_lost) {
  CheckWalks({.has_advisor = true});
}

BOOST_AUTO_TEST_CASE(no_gang_is_lost) { CheckWalks({.has_gangs = true}); }

BOOST_AUTO_TEST_CASE(no_gang_under_approval_is_lost) {
  CheckWalks({.has_advisor = true, .has_gangs = true});
}

}  // namespace
}  // namespace apricotwheel

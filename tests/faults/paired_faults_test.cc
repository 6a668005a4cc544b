// Guards guarantees 1 and 2 against two faults at the same time.
#include <array>
#include <boost/test/unit_test.hpp>

#include "tests/faults/fault_cases.h"

namespace apricotwheel::testing {

constexpr int kBasePort = 28'800;

BOOST_AUTO_TEST_CASE(SurvivesPairsOfFaults) {
  const std::array<fault_case, 6> cases = {{
      {&kDaemonFrozen, &kDaemonKilled, 3000, false},
      {&kKvResponsesLostAfterWrite, &kDaemonKilled, 2500, false},
      {&kWorkerFrozen, &kDaemonKilled, 6500, false},
      {&kKvSlow, &kDaemonsReplacedAtOnce, 2500, false},
      {&kKvCut, &kDaemonFrozen, 3000, false},
      {&kKvDown, &kDaemonFrozen, 6500, false},
  }};
  RunFaultCases("paired", kBasePort, cases);
}

}  // namespace apricotwheel::testing

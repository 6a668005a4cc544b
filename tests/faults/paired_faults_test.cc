// Guards guarantees 1 (no worker exceeds its capacity) and 2 (no task runs
// twice at a time) when a second fault occurs while a first one is active. A
// daemon may then have to take over the work of another one while it is frozen
// itself, cannot reach the key-value service, or a worker does not respond.
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

// Guards guarantees 1 (no worker exceeds its capacity) and 2 (no task runs
// twice at a time) when daemons are killed, frozen or replaced, or lose their
// connection to the key-value service. A superseded owner, or a successor with
// incomplete state, could then place tasks on capacity that is in use.
#include <array>
#include <boost/test/unit_test.hpp>

#include "tests/faults/fault_cases.h"

namespace apricotwheel::testing {

constexpr int kBasePort = 28'000;

BOOST_AUTO_TEST_CASE(SurvivesFaultsOfDaemons) {
  const std::array<fault_case, 7> cases = {{
      {&kDaemonKilled, nullptr, 0, false},
      {&kDaemonFrozen, nullptr, 3500, false},
      {&kKvRequestsCut, nullptr, 3500, false},
      {&kKvResponsesCut, nullptr, 3500, false},
      {&kKvCut, nullptr, 3500, false},
      {&kDaemonsReplacedInTurn, nullptr, 0, false},
      {&kDaemonsReplacedAtOnce, nullptr, 0, false},
  }};
  RunFaultCases("daemon", kBasePort, cases);
}

}  // namespace apricotwheel::testing

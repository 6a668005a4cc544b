// Guards guarantees 1 and 2 against faults of workers.
#include <array>
#include <boost/test/unit_test.hpp>

#include "tests/faults/fault_cases.h"

namespace apricotwheel::testing {

constexpr int kBasePort = 30'000;

BOOST_AUTO_TEST_CASE(SurvivesFaultsOfWorkers) {
  const std::array<fault_case, 3> cases = {{
      {&kWorkerFrozen, nullptr, 6500, false},
      {&kWorkerFailsTasks, nullptr, 2500, true},
      {&kWorkersUnderreportUsage, nullptr, 2500, false},
  }};
  RunFaultCases("worker", kBasePort, cases);
}

}  // namespace apricotwheel::testing

// Guards guarantees 1 (no worker exceeds its capacity) and 2 (no task runs
// twice at a time) when a worker is frozen past its task leases, fails its
// tasks or reports less use than it has. A daemon could then restart a task
// that still runs, or place tasks on capacity that is in use.
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

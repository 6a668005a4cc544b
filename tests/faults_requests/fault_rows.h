#pragma once

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "testing/cell/process_cell.h"
#include "tests/faults_requests/request_load.h"
#include "tests/faults_requests/run_checks.h"

namespace apricotwheel::testing {

// One fault case. `inject` and `heal` run in the main thread of the test while
// requests are in flight.
struct fault_row {
  using action = std::function<void(process_cell& cell, std::size_t victim)>;

  std::string name;  // Label in the test's output.
  action inject;
  action heal;
  int hold_ms = 0;  // Minimum time between inject and heal.
  entry_choice entry = entry_choice::kAny;
  bool tickets_of_victim = false;
  std::vector<request_kind> kinds = {};  // Empty for all kinds.
  bool victim_owns_most = false;         // Otherwise the victim is random.
  unsigned killed_daemons = 0;           // Divisor of `unknown_per_kill`.
};

// Runs all cases in one cell, then checks guarantees 3 (a delivered response is
// complete and belongs to its request), 4 (a request reported as `not_run` did
// not run) and 5 (a request that must not be repeated runs at most once), and
// reports the counts.
void RunFaultRows(process_cell& cell, std::span<const fault_row> rows);

// Actions for the fields `inject` and `heal`.
void KillDaemon(process_cell& cell, std::size_t victim);
void RestartDaemon(process_cell& cell, std::size_t victim);
void FreezeDaemon(process_cell& cell, std::size_t victim);
void ResumeDaemon(process_cell& cell, std::size_t victim);

}  // namespace apricotwheel::testing

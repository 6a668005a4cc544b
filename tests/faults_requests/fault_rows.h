#pragma once

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "testing/cell/process_cell.h"
#include "tests/faults_requests/request_load.h"
#include "tests/faults_requests/run_checks.h"

namespace apricotwheel::testing {

// One fault case. `inject` and `heal` run in the test's main thread while
// requests are in flight.
struct fault_row {
  using action = std::function<void(process_cell& cell, std::size_t victim)>;

  std::string name;
  action inject;
  action heal;
  int hold_ms = 0;  // Least time between the two.
  entry_choice entry = entry_choice::kAny;
  bool tickets_of_victim = false;
  std::vector<request_kind> kinds = {};  // Empty: all.
  bool victim_owns_most = false;         // Else chosen by the seed.
  unsigned killed_daemons = 0;           // For the figure `unknown_per_kill`.
};

// Runs all rows in one cell, checks guarantees 3, 4 and 5 at the end with
// Boost.Test, and reports the figures.
void RunFaultRows(process_cell& cell, std::span<const fault_row> rows);

// Actions that rows share.
void KillDaemon(process_cell& cell, std::size_t victim);
void RestartDaemon(process_cell& cell, std::size_t victim);
void FreezeDaemon(process_cell& cell, std::size_t victim);
void ResumeDaemon(process_cell& cell, std::size_t victim);

}  // namespace apricotwheel::testing

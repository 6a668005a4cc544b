#pragma once

#include <functional>
#include <span>
#include <string>

#include "tests/faults/fault_rig.h"

namespace apricotwheel::testing {

// The daemons and the worker that the faults of a case affect, chosen at random
// from the test's seed.
struct fault_target {
  std::size_t daemon = 0;
  std::size_t other_daemon = 0;
  std::string worker;
};

// A fault and the functions that inject and heal it.
struct fault {
  const char* name;
  void (*inject)(fault_rig& rig, const fault_target& target);
  void (*heal)(fault_rig& rig, const fault_target& target);
};

// One case of a table-driven fault test. The second fault, if there is one, is
// injected while the first one is active.
struct fault_case {
  const fault* first_fault;
  const fault* second_fault;  // May be null.
  // Time between the injection and the end of the faults. In the tests' cell,
  // daemon leases last 1500 ms and task leases 5000 ms.
  int hold_ms;
  bool jobs_may_fail;  // Whether `failed` is an allowed end state of jobs.
};

extern const fault kDaemonKilled;
extern const fault kDaemonFrozen;
extern const fault kKvRequestsCut;
extern const fault kKvResponsesCut;
extern const fault kKvCut;
extern const fault kKvDown;
extern const fault kKvSlow;
extern const fault kKvResponsesLostAfterWrite;
extern const fault kVmListStale;
extern const fault kWorkerFrozen;
extern const fault kWorkerFailsTasks;
extern const fault kWorkersUnderreportUsage;
extern const fault kDaemonsReplacedInTurn;
extern const fault kDaemonsReplacedAtOnce;

// Runs each case under load in one cell, checks guarantees 1 and 2 and that the
// cell recovers, and reports the violations and the recovery times.
void RunFaultCases(const std::string& name, int base_port,
                   std::span<const fault_case> cases);

}  // namespace apricotwheel::testing

#pragma once

#include <functional>
#include <span>
#include <string>

#include "tests/faults/fault_rig.h"

namespace apricotwheel::testing {

// The daemon and the worker that a case disturbs, chosen by the seed.
struct fault_target {
  std::size_t daemon = 0;
  std::size_t other_daemon = 0;
  std::string worker;
};

// One fault: how it begins and how it ends.
struct fault {
  const char* name;
  void (*inject)(fault_rig& rig, const fault_target& target);
  void (*heal)(fault_rig& rig, const fault_target& target);
};

// One row of the table that drives a test. The second fault, if there is one,
// begins while the first one lasts.
struct fault_case {
  const fault* first_fault;
  const fault* second_fault;  // May be null.
  int hold_ms;
  bool jobs_may_fail;
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

// Runs each case under load, checks guarantees 1 and 2 and the recovery, and
// reports the counts and the recovery figures.
void RunFaultCases(const std::string& name, int base_port,
                   std::span<const fault_case> cases);

}  // namespace apricotwheel::testing

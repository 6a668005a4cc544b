#include <boost/test/unit_test.hpp>

#include "tests/faults_requests/fault_cell.h"
#include "tests/faults_requests/fault_rows.h"

namespace apricotwheel::testing {
namespace {

constexpr int kBasePort = 8400;
constexpr int kHoldMs = 1000;

void ClearInstanceFaults(process_cell& cell, std::size_t) {
  BOOST_TEST(SetInstanceFaults(cell, nlohmann::json::object()) ==
             kEchoInstanceCount);
}

// Returns an action that sets the fault `name` on every instance.
fault_row::action SetFaultOnInstances(const char* name, int count) {
  return [=](process_cell& cell, std::size_t) {
    BOOST_TEST(SetInstanceFaults(cell, {{name, count}}) == kEchoInstanceCount);
  };
}

bool SetWorkersFrozen(process_cell& cell, bool frozen) {
  bool all = true;
  for (std::size_t index = 0; index < 3; ++index) {
    const auto& vm = cell.CellFile()["vms"][index];
    all =
        PostAdmin(vm["address"], "/admin/faults", {{"frozen", frozen}}) && all;
  }
  return all;
}

void FreezeWorkers(process_cell& cell, std::size_t) {
  BOOST_TEST(SetWorkersFrozen(cell, true));
}

void UnfreezeWorkers(process_cell& cell, std::size_t) {
  BOOST_TEST(SetWorkersFrozen(cell, false));
}

// Freezes the process that contains the workers and all instances.
void FreezeAllInstances(process_cell& cell, std::size_t) {
  cell.Workers().Freeze();
}

void ResumeAllInstances(process_cell& cell, std::size_t) {
  cell.Workers().Resume();
}

// Makes every instance close connections in mid-response, and kills a daemon.
void CloseResponsesAndKillDaemon(process_cell& cell, std::size_t victim) {
  SetFaultOnInstances("close_mid_reply", 5)(cell, victim);
  KillDaemon(cell, victim);
}

void ClearFaultsAndRestartDaemon(process_cell& cell, std::size_t victim) {
  SetInstanceFaults(cell, nlohmann::json::object());
  RestartDaemon(cell, victim);
}

const std::vector<fault_row> kRows = {
    {"closes in mid-reply", SetFaultOnInstances("close_mid_reply", 10),
     ClearInstanceFaults, kHoldMs},
    {"truncates the body", SetFaultOnInstances("truncate_body", 10),
     ClearInstanceFaults, kHoldMs},
    {"omits the last chunk", SetFaultOnInstances("omit_last_chunk", 10),
     ClearInstanceFaults, kHoldMs},
    {"answers twice", SetFaultOnInstances("answer_twice", 20),
     ClearInstanceFaults, kHoldMs},
    {"answers with another correlation id",
     SetFaultOnInstances("wrong_correlation", 10), ClearInstanceFaults,
     kHoldMs},
    {"answers after the deadline", SetFaultOnInstances("delay_ms", 3500),
     ClearInstanceFaults, 2000},
    {"workers frozen", FreezeWorkers, UnfreezeWorkers, 4000},
    {"all workers paused", FreezeAllInstances, ResumeAllInstances, 1500},
    {"closes in mid-reply and a daemon is killed", CloseResponsesAndKillDaemon,
     ClearFaultsAndRestartDaemon, 4000},
};

// Guards guarantees 3 to 5 when instances send truncated, late, duplicate or
// mismatched responses. A daemon could deliver such a response as complete, or
// send the request a second time after it.
BOOST_AUTO_TEST_CASE(RequestsKeepTheirGuaranteesWhenInstancesFail) {
  const auto cell = StartFaultCell({"instance_faults", kBasePort});
  RunFaultRows(*cell, kRows);
}

}  // namespace
}  // namespace apricotwheel::testing

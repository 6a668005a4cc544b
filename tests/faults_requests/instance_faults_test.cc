#include <boost/test/unit_test.hpp>

#include "tests/faults_requests/fault_cell.h"
#include "tests/faults_requests/fault_rows.h"

namespace apricotwheel::testing {
namespace {

constexpr int kBasePort = 8400;
constexpr int kHoldMs = 1000;

void Heal(process_cell& cell, std::size_t) {
  BOOST_TEST(SetInstanceFaults(cell, nlohmann::json::object()) ==
             kFaultInstances);
}

// Sets a fault for the next requests of every instance.
fault_row::action Fault(const char* name, int count) {
  return [=](process_cell& cell, std::size_t) {
    BOOST_TEST(SetInstanceFaults(cell, {{name, count}}) == kFaultInstances);
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

void ThawWorkers(process_cell& cell, std::size_t) {
  BOOST_TEST(SetWorkersFrozen(cell, false));
}

// The workers' process with all instances stops for a moment.
void FreezeAllInstances(process_cell& cell, std::size_t) {
  cell.Workers().Freeze();
}

void ResumeAllInstances(process_cell& cell, std::size_t) {
  cell.Workers().Resume();
}

// A burst of closed replies on every instance while a daemon dies.
void CloseAndKill(process_cell& cell, std::size_t victim) {
  Fault("close_mid_reply", 5)(cell, victim);
  KillDaemon(cell, victim);
}

void HealAndRestart(process_cell& cell, std::size_t victim) {
  SetInstanceFaults(cell, nlohmann::json::object());
  RestartDaemon(cell, victim);
}

const std::vector<fault_row> kRows = {
    {"closes in mid-reply", Fault("close_mid_reply", 10), Heal, kHoldMs},
    {"truncates the body", Fault("truncate_body", 10), Heal, kHoldMs},
    {"omits the last chunk", Fault("omit_last_chunk", 10), Heal, kHoldMs},
    {"answers twice", Fault("answer_twice", 20), Heal, kHoldMs},
    {"answers with another correlation id", Fault("wrong_correlation", 10),
     Heal, kHoldMs},
    {"answers after the deadline", Fault("delay_ms", 3500), Heal, 2000},
    {"workers frozen", FreezeWorkers, ThawWorkers, 4000},
    {"all workers paused", FreezeAllInstances, ResumeAllInstances, 1500},
    {"closes in mid-reply and a daemon is killed", CloseAndKill, HealAndRestart,
     4000},
};

// Guards against a broken, late or foreign response that is delivered as
// complete, and against a second run after one.
BOOST_AUTO_TEST_CASE(RequestsKeepTheirGuaranteesWhenInstancesFail) {
  const auto cell = StartFaultCell({"instance_faults", kBasePort});
  RunFaultRows(*cell, kRows);
}

}  // namespace
}  // namespace apricotwheel::testing

#include <boost/test/unit_test.hpp>

#include "tests/faults_requests/fault_cell.h"
#include "tests/faults_requests/fault_rows.h"

namespace apricotwheel::testing {
namespace {

constexpr int kBasePort = 9600;
constexpr int kStopMs = 60'000;
constexpr int kReadyMs = 60'000;

void StopPlanned(process_cell& cell, std::size_t daemon) {
  cell.Daemon(daemon).Terminate();
  const auto code = cell.Daemon(daemon).WaitForExit(kStopMs);
  BOOST_TEST(code.value_or(-1) == 0, "a planned stop did not end with 0");
}

void StartAndWait(process_cell& cell, std::size_t daemon) {
  RestartDaemon(cell, daemon);
  BOOST_TEST(cell.WaitUntil(kReadyMs, [&] {
    return SendRequest(cell.DaemonAddress(daemon),
                       {"GET", "/readyz", "", {}, 1000})
               .status == 200;
  }));
}

fault_row::action Stop(std::size_t daemon) {
  return [=](process_cell& cell, std::size_t) { StopPlanned(cell, daemon); };
}

fault_row::action Restart(std::size_t daemon) {
  return [=](process_cell& cell, std::size_t) { StartAndWait(cell, daemon); };
}

void ReplaceAll(process_cell& cell, std::size_t) {
  for (std::size_t daemon = 0; daemon < cell.DaemonCount(); ++daemon) {
    StopPlanned(cell, daemon);
    StartAndWait(cell, daemon);
  }
}

// The second daemon dies while the first hands its keys over.
void StopOneKillAnother(process_cell& cell, std::size_t victim) {
  cell.Daemon(victim).Terminate();
  cell.Clock().SleepFor(milliseconds(1000));
  KillDaemon(cell, (victim + 1) % cell.DaemonCount());
  BOOST_TEST(cell.Daemon(victim).WaitForExit(kStopMs).has_value());
}

void RestartBoth(process_cell& cell, std::size_t victim) {
  StartAndWait(cell, victim);
  StartAndWait(cell, (victim + 1) % cell.DaemonCount());
}

void Nothing(process_cell&, std::size_t) {}

const std::vector<fault_row> kRows = {
    {"first daemon stopped", Stop(0), Restart(0)},
    {"second daemon stopped", Stop(1), Restart(1)},
    {"third daemon stopped", Stop(2), Restart(2)},
    {"all replaced one after another", ReplaceAll, Nothing},
    {"one stopped, another killed", StopOneKillAnother, RestartBoth},
};

// Guards against keys that are lost or run again when their owner hands them
// over, and against a false `not_run` of a daemon that stops.
BOOST_AUTO_TEST_CASE(RequestsKeepTheirGuaranteesWhenDaemonsAreReplaced) {
  const auto cell = StartFaultCell({"replaced_daemons", kBasePort});
  RunFaultRows(*cell, kRows);
}

}  // namespace
}  // namespace apricotwheel::testing

#include <boost/test/unit_test.hpp>

#include "tests/faults_requests/fault_cell.h"
#include "tests/faults_requests/fault_rows.h"

namespace apricotwheel::testing {
namespace {

constexpr int kBasePort = 9200;
// Longer than the daemon lease: daemons cannot renew it in time.
constexpr int kOutageMs = 4500;

fault_row::action SetKvFaults(const nlohmann::json& faults) {
  return [=](process_cell& cell, std::size_t) {
    BOOST_TEST(PostAdmin(cell.KvAddress(), "/admin/faults", faults));
  };
}

void ClearKvFaults(process_cell& cell, std::size_t victim) {
  SetKvFaults(nlohmann::json::object())(cell, victim);
}

void StopKvAndKillDaemon(process_cell& cell, std::size_t victim) {
  SetKvFaults({{"outage", "close"}})(cell, victim);
  KillDaemon(cell, victim);
}

void ClearKvFaultsAndRestartDaemon(process_cell& cell, std::size_t victim) {
  ClearKvFaults(cell, victim);
  RestartDaemon(cell, victim);
}

void SlowKvAndFreezeDaemon(process_cell& cell, std::size_t victim) {
  SetKvFaults({{"slow_ms", 400}})(cell, victim);
  FreezeDaemon(cell, victim);
}

void ResumeDaemonAndClearKvFaults(process_cell& cell, std::size_t victim) {
  ResumeDaemon(cell, victim);
  ClearKvFaults(cell, victim);
}

void DisconnectFromKv(process_cell& cell, std::size_t victim) {
  cell.KvRelay(victim).SetMode(relay_mode::kDropBoth);
}

void ReconnectToKv(process_cell& cell, std::size_t victim) {
  cell.KvRelay(victim).SetMode(relay_mode::kForward);
}

const std::vector<fault_row> kRows = {
    {"service down", SetKvFaults({{"outage", "close"}}), ClearKvFaults,
     kOutageMs},
    {"service slow", SetKvFaults({{"slow_ms", 600}}), ClearKvFaults, kOutageMs},
    {"service hangs", SetKvFaults({{"outage", "hang"}}), ClearKvFaults,
     kOutageMs},
    {"one daemon cut from the service", DisconnectFromKv, ReconnectToKv,
     kOutageMs},
    {"service slow and a daemon frozen", SlowKvAndFreezeDaemon,
     ResumeDaemonAndClearKvFaults, kOutageMs},
    {"service down and a daemon killed", StopKvAndKillDaemon,
     ClearKvFaultsAndRestartDaemon, kOutageMs},
};

// Guards guarantees 3 to 5 when the key-value service is down, slow or hangs.
// Daemons that cannot renew their leases could leave two owners for a key or an
// instance, which leads to a second run or a wrong `not_run`.
BOOST_AUTO_TEST_CASE(RequestsKeepTheirGuaranteesWhenTheServiceFails) {
  const auto cell =
      StartFaultCell({"kv_outage", kBasePort, 3, /*relay_kv=*/true});
  RunFaultRows(*cell, kRows);
}

}  // namespace
}  // namespace apricotwheel::testing

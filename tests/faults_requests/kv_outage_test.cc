#include <boost/test/unit_test.hpp>

#include "tests/faults_requests/fault_cell.h"
#include "tests/faults_requests/fault_rows.h"

namespace apricotwheel::testing {
namespace {

constexpr int kBasePort = 9200;
// Longer than the daemon lease.
constexpr int kOutageMs = 4500;

fault_row::action Outage(const nlohmann::json& faults) {
  return [=](process_cell& cell, std::size_t) {
    BOOST_TEST(PostAdmin(cell.KvAddress(), "/admin/faults", faults));
  };
}

void Heal(process_cell& cell, std::size_t victim) {
  Outage(nlohmann::json::object())(cell, victim);
}

void OutageAndKill(process_cell& cell, std::size_t victim) {
  Outage({{"outage", "close"}})(cell, victim);
  KillDaemon(cell, victim);
}

void HealAndRestart(process_cell& cell, std::size_t victim) {
  Heal(cell, victim);
  RestartDaemon(cell, victim);
}

void FreezeInOutage(process_cell& cell, std::size_t victim) {
  Outage({{"slow_ms", 400}})(cell, victim);
  FreezeDaemon(cell, victim);
}

void HealAndResume(process_cell& cell, std::size_t victim) {
  ResumeDaemon(cell, victim);
  Heal(cell, victim);
}

void Cut(process_cell& cell, std::size_t victim) {
  cell.KvRelay(victim).SetMode(relay_mode::kDropBoth);
}

void Join(process_cell& cell, std::size_t victim) {
  cell.KvRelay(victim).SetMode(relay_mode::kForward);
}

const std::vector<fault_row> kRows = {
    {"service down", Outage({{"outage", "close"}}), Heal, kOutageMs},
    {"service slow", Outage({{"slow_ms", 600}}), Heal, kOutageMs},
    {"service hangs", Outage({{"outage", "hang"}}), Heal, kOutageMs},
    {"one daemon cut from the service", Cut, Join, kOutageMs},
    {"service slow and a daemon frozen", FreezeInOutage, HealAndResume,
     kOutageMs},
    {"service down and a daemon killed", OutageAndKill, HealAndRestart,
     kOutageMs},
};

// Guards against a second run under two owners of a key or an instance, and
// against a false `not_run`, while the key-value service fails.
BOOST_AUTO_TEST_CASE(RequestsKeepTheirGuaranteesWhenTheServiceFails) {
  const auto cell =
      StartFaultCell({"kv_outage", kBasePort, 3, /*relay_kv=*/true});
  RunFaultRows(*cell, kRows);
}

}  // namespace
}  // namespace apricotwheel::testing

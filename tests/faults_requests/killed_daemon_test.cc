#include <boost/test/unit_test.hpp>

#include "tests/faults_requests/fault_cell.h"
#include "tests/faults_requests/fault_rows.h"

namespace apricotwheel::testing {
namespace {

constexpr int kBasePort = 7600;
// Longer than the daemon lease: successors take over before the restart.
constexpr int kTakeoverMs = 4000;
const std::vector<request_kind> kTicketRequests = {request_kind::kTicket};
const std::vector<request_kind> kUnkeyedRequests = {request_kind::kPlain,
                                                    request_kind::kRepeatable};

const std::vector<fault_row> kRows = {
    {"entry killed",
     KillDaemon,
     RestartDaemon,
     kTakeoverMs,
     entry_choice::kVictim,
     false,
     {},
     false,
     1},
    {"key owner killed", KillDaemon, RestartDaemon, kTakeoverMs,
     entry_choice::kOthers, true, kTicketRequests, false, 1},
    {"instance owner killed", KillDaemon, RestartDaemon, kTakeoverMs,
     entry_choice::kOthers, false, kUnkeyedRequests, true, 1},
    {"any killed, restarted at once",
     KillDaemon,
     RestartDaemon,
     0,
     entry_choice::kAny,
     false,
     {},
     false,
     1},
};

// Guards guarantees 3 to 5 when a daemon is killed with requests in flight. Its
// successors start without its memory. They could run a request a second time
// or report it as `not_run` although it ran, and a caller could get a truncated
// response or that of another request.
BOOST_AUTO_TEST_CASE(RequestsKeepTheirGuaranteesWhenADaemonIsKilled) {
  const auto cell = StartFaultCell({"killed_daemon", kBasePort});
  RunFaultRows(*cell, kRows);
}

}  // namespace
}  // namespace apricotwheel::testing

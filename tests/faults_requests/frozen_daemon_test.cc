#include <boost/test/unit_test.hpp>

#include "tests/faults_requests/fault_cell.h"
#include "tests/faults_requests/fault_rows.h"

namespace apricotwheel::testing {
namespace {

constexpr int kBasePort = 8000;
// Longer than the daemon lease: the daemon is superseded when it resumes.
constexpr int kFrozenMs = 5000;
const std::vector<request_kind> kTicketRequests = {request_kind::kTicket};
const std::vector<request_kind> kUnkeyedRequests = {request_kind::kPlain,
                                                    request_kind::kRepeatable};

const std::vector<fault_row> kRows = {
    {"entry frozen", FreezeDaemon, ResumeDaemon, kFrozenMs,
     entry_choice::kVictim},
    {"key owner frozen", FreezeDaemon, ResumeDaemon, kFrozenMs,
     entry_choice::kOthers, true, kTicketRequests},
    {"instance owner frozen", FreezeDaemon, ResumeDaemon, kFrozenMs,
     entry_choice::kOthers, false, kUnkeyedRequests, true},
    {"any frozen for a short time", FreezeDaemon, ResumeDaemon, 1000},
};

// Guards guarantees 3 to 5 when a daemon freezes past its lease with requests
// in flight and resumes as a superseded owner. It could then send a request a
// second time, or deliver a response to the wrong caller.
BOOST_AUTO_TEST_CASE(RequestsKeepTheirGuaranteesWhenADaemonIsFrozen) {
  const auto cell = StartFaultCell({"frozen_daemon", kBasePort});
  RunFaultRows(*cell, kRows);
}

}  // namespace
}  // namespace apricotwheel::testing

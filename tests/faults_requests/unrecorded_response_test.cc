#include <boost/test/unit_test.hpp>

#include "tests/faults_requests/fault_cell.h"
#include "tests/faults_requests/fault_rows.h"

namespace apricotwheel::testing {
namespace {

constexpr int kBasePort = 7200;
// Shorter than any response of the stand-in instance.
constexpr int kMaxRecordedBytes = 16;

void DoNothing(process_cell&, std::size_t) {}

const std::vector<fault_row> kRows = {
    {"responses too large to record", DoNothing, DoNothing, 500},
};

// Guards against an empty response to a retry: a response over the size limit
// is not recorded, and a retry with the same key must not get an empty body as
// the complete response.
BOOST_AUTO_TEST_CASE(RepeatsGetNoEmptyResponse) {
  const auto cell = StartFaultCell(
      {"unrecorded_response", kBasePort, 3, false, kMaxRecordedBytes});
  RunFaultRows(*cell, kRows);
}

}  // namespace
}  // namespace apricotwheel::testing

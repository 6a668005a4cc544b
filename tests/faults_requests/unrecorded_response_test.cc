#include <boost/test/unit_test.hpp>

#include "tests/faults_requests/fault_cell.h"
#include "tests/faults_requests/fault_rows.h"

namespace apricotwheel::testing {
namespace {

constexpr int kBasePort = 7200;
// Less than any response of the stand-in instance.
constexpr int kMaxRecordedBytes = 16;

void DoNothing(process_cell&, std::size_t) {}

const std::vector<fault_row> kRows = {
    {"responses too large to record", DoNothing, DoNothing, 500},
};

// Guards against a repeat of a key that gets an empty body as the complete
// response, because the recorded one was over the limit.
BOOST_AUTO_TEST_CASE(RepeatsGetNoEmptyResponse) {
  const auto cell = StartFaultCell(
      {"unrecorded_response", kBasePort, 3, false, kMaxRecordedBytes});
  RunFaultRows(*cell, kRows);
}

}  // namespace
}  // namespace apricotwheel::testing

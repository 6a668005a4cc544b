#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tests/faults_requests/request_load.h"

namespace apricotwheel::testing {

// What the records and the instances' journal show about guarantees 3 to 5.
struct run_report {
  std::uint64_t non_repeatable_requests =
      0;  // Requests that may not run twice.
  std::uint64_t requests_with_not_run =
      0;                                 // Requests with an attempt `not_run`.
  std::uint64_t completed_attempts = 0;  // Responses delivered as complete.
  std::uint64_t unknown_attempts = 0;    // Attempts.
  std::uint64_t not_run_attempts = 0;    // Attempts.
  // Requests whose first attempt was lost in flight. Refusals of later requests
  // because of a lost key history are left out.
  std::uint64_t lost_in_flight = 0;
  std::map<std::string, std::uint64_t> reasons;  // Of all such attempts.
  std::vector<std::string> run_twice;
  std::vector<std::string> ran_despite_not_run;
  std::vector<std::string> wrong_responses;
};

// Runs by request id, over all instances that ever lived.
std::map<std::string, std::uint64_t> CountRunsByRequest(
    const std::string& journal_path);

run_report CheckRuns(const std::vector<request_record>& records,
                     const std::map<std::string, std::uint64_t>& runs);

}  // namespace apricotwheel::testing

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tests/faults_requests/request_load.h"

namespace apricotwheel::testing {

// Counts and violations of guarantees 3 to 5, from the callers' records and the
// instances' journal.
struct run_report {
  std::uint64_t non_repeatable_requests = 0;  // Must run at most once.
  std::uint64_t requests_with_not_run = 0;    // In at least one attempt.
  std::uint64_t completed_attempts = 0;  // Responses delivered as complete.
  std::uint64_t unknown_attempts = 0;
  std::uint64_t not_run_attempts = 0;
  // Requests whose first attempt was lost in flight. Requests rejected because
  // of a lost key history or an expired ticket do not count.
  std::uint64_t lost_in_flight = 0;
  std::map<std::string, std::uint64_t> reasons;  // Attempts by reason.
  // Descriptions of the requests that violate guarantees 5, 4 and 3.
  std::vector<std::string> run_twice;
  std::vector<std::string> ran_despite_not_run;
  std::vector<std::string> wrong_responses;
};

// Returns the number of runs by request id, from the journal of all instances
// of the cell, including those that ended.
std::map<std::string, std::uint64_t> CountRunsByRequest(
    const std::string& journal_path);

// Checks the records against the numbers of runs.
run_report CheckRuns(const std::vector<request_record>& records,
                     const std::map<std::string, std::uint64_t>& runs);

}  // namespace apricotwheel::testing

#include "tests/faults_requests/run_checks.h"

#include <fstream>

namespace apricotwheel::testing {

namespace {

constexpr std::string_view kRunPathPrefix = "/run/";

std::string DescribeRuns(const request_record& record, std::uint64_t runs) {
  std::string text = record.case_name + ": request " + record.id + " of kind " +
                     std::to_string(static_cast<int>(record.kind)) + " ran " +
                     std::to_string(runs) + " times; attempts:";
  for (const request_attempt& attempt : record.attempts) {
    text += " ";
    text += attempt.outcome.empty() ? "no-response" : attempt.outcome;
    text += "/" + attempt.reason;
  }
  return text;
}

}  // namespace

std::map<std::string, std::uint64_t> CountRunsByRequest(
    const std::string& path) {
  std::map<std::string, std::uint64_t> runs;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    const auto entry = nlohmann::json::parse(line, nullptr, false);
    if (!entry.is_object() || entry.value("event", "") != "request_run") {
      continue;
    }
    const std::string target = entry.value("target", "");
    if (!target.starts_with(kRunPathPrefix)) continue;
    const std::size_t end = target.find('?');
    ++runs[target.substr(kRunPathPrefix.size(), end - kRunPathPrefix.size())];
  }
  return runs;
}

run_report CheckRuns(const std::vector<request_record>& records,
                     const std::map<std::string, std::uint64_t>& runs) {
  run_report report;
  for (const request_record& record : records) {
    const auto found = runs.find(record.id);
    const std::uint64_t count = found == runs.end() ? 0 : found->second;
    if (record.attempts.empty()) continue;
    const request_attempt& first = record.attempts.front();
    if (first.outcome == "unknown" && first.reason != "key_history_lost" &&
        first.reason != "ticket_expired") {
      ++report.lost_in_flight;
    }
    std::uint64_t may_have_run = 0;
    for (const request_attempt& attempt : record.attempts) {
      if (attempt.outcome == "unknown") ++report.unknown_attempts;
      if (!attempt.reason.empty()) ++report.reasons[attempt.reason];
      if (attempt.outcome == "not_run") {
        ++report.not_run_attempts;
      } else {
        ++may_have_run;
      }
      if (attempt.outcome == "completed") {
        ++report.completed_attempts;
        if (!attempt.digest_matches || count == 0) {
          report.wrong_responses.push_back(DescribeRuns(record, count));
        }
      } else if (attempt.digest_matches) {
        // A response that is not reported as complete must not contain a
        // complete body.
        report.wrong_responses.push_back(DescribeRuns(record, count));
      }
    }
    const bool repeatable = record.kind == request_kind::kRepeatable;
    if (may_have_run < record.attempts.size()) ++report.requests_with_not_run;
    // Each attempt of a non-repeatable request runs at most once. If there are
    // more runs than attempts that may have run, an attempt reported as
    // `not_run` did run.
    if ((may_have_run == 0 && count > 0) ||
        (!repeatable && may_have_run < record.attempts.size() &&
         count > may_have_run)) {
      report.ran_despite_not_run.push_back(DescribeRuns(record, count));
    }
    if (!repeatable) {
      ++report.non_repeatable_requests;
      if (count > 1) report.run_twice.push_back(DescribeRuns(record, count));
    }
  }
  return report;
}

}  // namespace apricotwheel::testing

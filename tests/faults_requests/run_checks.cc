#include "tests/faults_requests/run_checks.h"

#include <fstream>

namespace apricotwheel::testing {

namespace {

constexpr std::string_view kPathStart = "/run/";

std::string Explain(const request_record& record, std::uint64_t runs) {
  std::string text = record.row + ": request " + record.id + " of kind " +
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

std::map<std::string, std::uint64_t> ReadRuns(const std::string& path) {
  std::map<std::string, std::uint64_t> runs;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    const auto entry = nlohmann::json::parse(line, nullptr, false);
    if (!entry.is_object() || entry.value("event", "") != "request_run") {
      continue;
    }
    const std::string target = entry.value("target", "");
    if (!target.starts_with(kPathStart)) continue;
    const std::size_t end = target.find('?');
    ++runs[target.substr(kPathStart.size(), end - kPathStart.size())];
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
    bool all_not_run = true;
    for (const request_attempt& attempt : record.attempts) {
      if (attempt.outcome == "unknown") ++report.unknown;
      if (!attempt.reason.empty()) ++report.reasons[attempt.reason];
      if (attempt.outcome == "not_run") {
        ++report.not_run;
      } else {
        all_not_run = false;
      }
      if (attempt.outcome == "completed") {
        ++report.complete_trials;
        if (!attempt.digest_matches || count == 0) {
          report.wrong_responses.push_back(Explain(record, count));
        }
      } else if (attempt.digest_matches) {
        // A response that is not marked as complete must not look like one.
        report.wrong_responses.push_back(Explain(record, count));
      }
    }
    if (all_not_run) {
      ++report.not_run_trials;
      if (count > 0) {
        report.ran_despite_not_run.push_back(Explain(record, count));
      }
    }
    if (record.kind != request_kind::kRepeatable) {
      ++report.once_trials;
      if (count > 1) report.run_twice.push_back(Explain(record, count));
    }
  }
  return report;
}

}  // namespace apricotwheel::testing

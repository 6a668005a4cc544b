#include "tests/faults_requests/fault_rows.h"

#include <boost/test/unit_test.hpp>
#include <iostream>
#include <random>

#include "testing/cell/fault_report.h"
#include "tests/faults_requests/fault_cell.h"

namespace apricotwheel::testing {

namespace {

constexpr std::uint64_t kRequestsBeforeFault = 300;
constexpr std::uint64_t kRequestsAfterFault = 300;
constexpr int kProgressTimeoutMs = 60'000;
constexpr std::size_t kMaxPrintedViolations = 5;

void ExpectNoViolations(const std::vector<std::string>& violations,
                        const char* guarantee) {
  for (std::size_t index = 0;
       index < std::min(violations.size(), kMaxPrintedViolations); ++index) {
    BOOST_TEST_MESSAGE(guarantee << ": " << violations[index]);
  }
  BOOST_TEST(violations.size() == 0U, guarantee << " violated");
}

std::vector<request_record> RunCase(process_cell& cell, const fault_row& row,
                                    std::uint64_t seed) {
  BOOST_REQUIRE_MESSAGE(
      cell.WaitForInstances(kEchoInstanceCount, kProgressTimeoutMs),
      row.name << ": not all instances accept requests");
  request_load_options options;
  options.case_name = row.name;
  options.seed = seed;
  options.entry = row.entry;
  options.victim = row.victim_owns_most ? FindDaemonWithMostInstances(cell)
                                        : seed % cell.DaemonCount();
  options.tickets_of_victim = row.tickets_of_victim;
  if (!row.kinds.empty()) options.kinds = row.kinds;
  request_load load(cell, options);
  BOOST_CHECK_MESSAGE(
      cell.WaitUntil(
          kProgressTimeoutMs,
          [&] { return load.FinishedRequestCount() >= kRequestsBeforeFault; }),
      row.name << ": no progress before the fault");
  row.inject(cell, options.victim);
  cell.Clock().SleepFor(milliseconds(row.hold_ms));
  row.heal(cell, options.victim);
  const std::uint64_t finished_at_heal = load.FinishedRequestCount();
  const std::uint64_t max_requests =
      options.callers * options.max_requests_per_caller;
  BOOST_CHECK_MESSAGE(
      cell.WaitUntil(kProgressTimeoutMs,
                     [&] {
                       return load.FinishedRequestCount() >=
                              std::min(finished_at_heal + kRequestsAfterFault,
                                       max_requests);
                     }),
      row.name << ": no progress after the fault");
  return load.Stop();
}

}  // namespace

void RunFaultRows(process_cell& cell, std::span<const fault_row> rows) {
  std::mt19937_64 random(TestSeed());
  std::vector<request_record> all;
  std::uint64_t kills = 0;
  std::uint64_t lost_by_kills = 0;
  for (const fault_row& row : rows) {
    auto records = RunCase(cell, row, random());
    const run_report case_report =
        CheckRuns(records, CountRunsByRequest(cell.JournalPath()));
    std::cout << row.name << ": " << records.size() << " requests, "
              << case_report.completed_attempts << " completed, "
              << case_report.not_run_attempts << " not_run and "
              << case_report.unknown_attempts << " unknown attempts;";
    for (const auto& [reason, count] : case_report.reasons) {
      std::cout << " " << reason << " " << count;
    }
    std::cout << std::endl;
    BOOST_TEST(case_report.completed_attempts >= kRequestsBeforeFault / 2,
               row.name << ": too few requests completed");
    if (row.killed_daemons > 0) {
      kills += row.killed_daemons;
      lost_by_kills += case_report.lost_in_flight;
    }
    std::move(records.begin(), records.end(), std::back_inserter(all));
  }
  // Checks all requests again after the last case: a process that resumes can
  // cause a second run after its own case was checked.
  BOOST_TEST(cell.WaitForInstances(kEchoInstanceCount, kProgressTimeoutMs));
  const run_report report =
      CheckRuns(all, CountRunsByRequest(cell.JournalPath()));
  ExpectNoViolations(report.run_twice, "guarantee 5");
  ExpectNoViolations(report.ran_despite_not_run, "guarantee 4");
  ExpectNoViolations(report.wrong_responses, "guarantee 3");
  ReportGuarantee(5, report.non_repeatable_requests, report.run_twice.size());
  ReportGuarantee(4, report.requests_with_not_run,
                  report.ran_despite_not_run.size());
  ReportGuarantee(3, report.completed_attempts, report.wrong_responses.size());
  if (kills > 0) {
    ReportMeasurement("unknown_per_kill",
                      static_cast<std::int64_t>(lost_by_kills / kills),
                      "requests");
  }
}

void KillDaemon(process_cell& cell, std::size_t victim) {
  cell.Daemon(victim).Kill();
}

void RestartDaemon(process_cell& cell, std::size_t victim) {
  BOOST_REQUIRE(Attempt([&] { return cell.RestartDaemon(victim); }));
}

void FreezeDaemon(process_cell& cell, std::size_t victim) {
  cell.Daemon(victim).Freeze();
}

void ResumeDaemon(process_cell& cell, std::size_t victim) {
  cell.Daemon(victim).Resume();
}

}  // namespace apricotwheel::testing

#include "tests/faults_requests/fault_rows.h"

#include <boost/test/unit_test.hpp>
#include <iostream>
#include <random>

#include "testing/cell/fault_report.h"
#include "tests/faults_requests/fault_cell.h"

namespace apricotwheel::testing {

namespace {

constexpr std::uint64_t kRequestsBefore = 300;
constexpr std::uint64_t kRequestsAfter = 300;
constexpr int kProgressMs = 60'000;
constexpr std::size_t kShownViolations = 5;

void Expect(const std::vector<std::string>& violations, const char* guarantee) {
  for (std::size_t index = 0;
       index < std::min(violations.size(), kShownViolations); ++index) {
    BOOST_TEST_MESSAGE(guarantee << ": " << violations[index]);
  }
  BOOST_TEST(violations.size() == 0U, guarantee << " violated");
}

std::vector<request_record> RunRow(process_cell& cell, const fault_row& row,
                                   std::uint64_t seed) {
  BOOST_REQUIRE_MESSAGE(cell.WaitForInstances(kFaultInstances, kProgressMs),
                        row.name << ": the cell is not whole");
  request_load_options options;
  options.row = row.name;
  options.seed = seed;
  options.entry = row.entry;
  options.victim = row.victim_owns_most ? LargestInstanceOwner(cell)
                                        : seed % cell.DaemonCount();
  options.tickets_of_victim = row.tickets_of_victim;
  if (!row.kinds.empty()) options.kinds = row.kinds;
  request_load load(cell, options);
  BOOST_CHECK_MESSAGE(
      cell.WaitUntil(kProgressMs,
                     [&] { return load.Finished() >= kRequestsBefore; }),
      row.name << ": no progress before the fault");
  row.inject(cell, options.victim);
  cell.Clock().SleepFor(milliseconds(row.hold_ms));
  row.heal(cell, options.victim);
  const std::uint64_t healed = load.Finished();
  const std::uint64_t last = options.callers * options.max_requests_per_caller;
  BOOST_CHECK_MESSAGE(cell.WaitUntil(kProgressMs,
                                     [&] {
                                       return load.Finished() >=
                                              std::min(healed + kRequestsAfter,
                                                       last);
                                     }),
                      row.name << ": no progress after the fault");
  return load.Stop();
}

}  // namespace

void RunFaultRows(process_cell& cell, std::span<const fault_row> rows) {
  std::mt19937_64 random(TestSeed());
  std::vector<request_record> all;
  std::uint64_t kills = 0;
  std::uint64_t unknown_of_kills = 0;
  for (const fault_row& row : rows) {
    auto records = RunRow(cell, row, random());
    const run_report seen = CheckRuns(records, ReadRuns(cell.JournalPath()));
    std::cout << row.name << ": " << records.size() << " requests, "
              << seen.complete_trials << " completed, " << seen.not_run
              << " not_run and " << seen.unknown << " unknown attempts;";
    for (const auto& [reason, count] : seen.reasons) {
      std::cout << " " << reason << " " << count;
    }
    std::cout << std::endl;
    BOOST_TEST(seen.complete_trials >= kRequestsBefore / 2,
               row.name << ": the cell did not serve");
    if (row.kills > 0) {
      kills += row.kills;
      unknown_of_kills += seen.lost_in_flight;
    }
    std::move(records.begin(), records.end(), std::back_inserter(all));
  }
  // The journal is read again after the last row, so that a run that a woken
  // process caused later is found too.
  BOOST_TEST(cell.WaitForInstances(kFaultInstances, kProgressMs));
  const run_report report = CheckRuns(all, ReadRuns(cell.JournalPath()));
  Expect(report.run_twice, "guarantee 5");
  Expect(report.ran_despite_not_run, "guarantee 4");
  Expect(report.wrong_responses, "guarantee 3");
  ReportGuarantee(5, report.once_trials, report.run_twice.size());
  ReportGuarantee(4, report.not_run_trials, report.ran_despite_not_run.size());
  ReportGuarantee(3, report.complete_trials, report.wrong_responses.size());
  if (kills > 0) {
    ReportMeasurement("unknown_per_kill",
                      static_cast<std::int64_t>(unknown_of_kills / kills),
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

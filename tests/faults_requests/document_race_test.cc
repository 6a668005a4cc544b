#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <span>
#include <sstream>

#include "clients/kv_client.h"
#include "config/document.h"
#include "testing/cell/fault_report.h"
#include "tests/faults_requests/document_observer.h"
#include "tests/faults_requests/fault_cell.h"

namespace apricotwheel::testing {
namespace {

constexpr int kBasePort = 8800;
constexpr int kConcurrentOperators = 3;
constexpr int kOperatorTimeoutMs = 30'000;
constexpr int kConvergenceTimeoutMs = 60'000;
constexpr std::size_t kMaxPrintedViolations = 5;
constexpr int kSigkillExitCode = 128 + 9;  // Of child_process::Wait().
constexpr std::uint64_t kKillPercent = 25;
constexpr std::uint64_t kMaxKillDelayMs = 40;

// One run of `apricotwheelctl apply`.
struct operator_run {
  std::string author;
  std::string output_file;
  std::unique_ptr<child_process> process;
  int exit_code = -1;
};

// Runs `apricotwheelctl apply` as several operators.
class operator_runner {
 public:
  operator_runner(process_cell& cell, std::string folder, std::uint64_t seed)
      : cell_(cell), folder_(std::move(folder)), random_(seed) {}

  // Runs `count` operators with different documents at once and waits for all.
  // With `kill_some`, kills a random part of them.
  void RunConcurrently(int count, bool kill_some) {
    const std::size_t first = runs.size();
    for (int index = 0; index < count; ++index) StartOperator();
    for (std::size_t index = first; kill_some && index < runs.size(); ++index) {
      if (random_() % 100 >= kKillPercent) continue;
      const auto delay = static_cast<int>(random_() % kMaxKillDelayMs);
      cell_.Clock().SleepFor(milliseconds(delay));
      runs[index].process->Kill();
    }
    for (std::size_t index = first; index < runs.size(); ++index) {
      const auto code = runs[index].process->WaitForExit(kOperatorTimeoutMs);
      BOOST_TEST(code.has_value(), "apricotwheelctl apply did not end in time");
      runs[index].exit_code = code.value_or(-1);
    }
  }

  std::vector<operator_run> runs;

 private:
  void StartOperator() {
    operator_run run;
    const std::string number = std::to_string(runs.size() + 1);
    run.author = "operator-" + number;
    run.output_file = folder_ + "/" + run.author + ".log";
    const std::string document = folder_ + "/" + run.author + ".yaml";
    std::ofstream(document) << FaultDocument(static_cast<int>(runs.size()) + 1);
    auto started = Attempt([&] {
      return child_process::Start(
          {{APRICOTWHEEL_CTL_PATH, "apply", document, "--kv", cell_.KvAddress(),
            "--author", run.author, "--timeout_ms", "2000"},
           run.output_file});
    });
    BOOST_REQUIRE(started);
    run.process = std::move(*started);
    runs.push_back(std::move(run));
  }

  process_cell& cell_;
  const std::string folder_;
  std::mt19937_64 random_;
};

void SetKvFaults(process_cell& cell, const nlohmann::json& faults) {
  BOOST_TEST(PostAdmin(cell.KvAddress(), "/admin/faults", faults));
}

void Restart(process_cell& cell, std::size_t index) {
  cell.Daemon(index).Kill();
  BOOST_REQUIRE(Attempt([&] { return cell.RestartDaemon(index); }));
}

// A fault that is active while operators apply documents concurrently. `victim`
// is a random daemon.
struct document_fault {
  const char* name;
  void (*inject)(process_cell& cell, std::size_t victim);
  void (*heal)(process_cell& cell, std::size_t victim);
  int hold_ms;
};

void DoNothing(process_cell&, std::size_t) {}

const document_fault kFaults[] = {
    {"none", DoNothing, DoNothing, 0},
    {"replies lost",
     [](process_cell& cell, std::size_t) {
       SetKvFaults(cell, {{"lose_replies", 4}});
     },
     [](process_cell& cell, std::size_t) {
       SetKvFaults(cell, nlohmann::json::object());
     },
     0},
    {"daemon restarted", Restart, DoNothing, 0},
    {"service slow",
     [](process_cell& cell, std::size_t) {
       SetKvFaults(cell, {{"slow_ms", 300}});
     },
     [](process_cell& cell, std::size_t) {
       SetKvFaults(cell, nlohmann::json::object());
     },
     1000},
    {"service down, daemon restarted",
     [](process_cell& cell, std::size_t victim) {
       SetKvFaults(cell, {{"outage", "close"}});
       Restart(cell, victim);
     },
     [](process_cell& cell, std::size_t) {
       SetKvFaults(cell, nlohmann::json::object());
     },
     2500},
    {"service hangs, daemon restarted",
     [](process_cell& cell, std::size_t victim) {
       SetKvFaults(cell, {{"outage", "hang"}});
       Restart(cell, victim);
     },
     [](process_cell& cell, std::size_t) {
       SetKvFaults(cell, nlohmann::json::object());
     },
     2000},
    // Lasts longer than the 5 s of guarantee 8: the cut daemon can meet it only
    // with the document that other daemons send to it.
    {"daemon cut from the service",
     [](process_cell& cell, std::size_t victim) {
       cell.KvRelay(victim).SetMode(relay_mode::kDropBoth);
     },
     [](process_cell& cell, std::size_t victim) {
       cell.KvRelay(victim).SetMode(relay_mode::kForward);
     },
     7000},
};

std::uint64_t ActiveRevision(const process_cell& cell, std::size_t index) {
  const nlohmann::json status = cell.FetchDaemonStatus(index);
  if (!status.contains("document")) return 0;
  return status["document"].value("revision", std::uint64_t{0});
}

// Checks that every revision has exactly one audit entry and that the
// operators' exit codes agree with the entries. Returns the violations.
std::vector<std::string> CheckAudit(kv_client& kv, std::uint64_t last,
                                    const std::vector<operator_run>& runs) {
  std::vector<std::string> violations;
  const auto entries = Attempt([&] { return kv.List(kAuditPrefix); });
  BOOST_REQUIRE(entries);
  std::map<std::string, int> entries_by_author;
  std::map<std::uint64_t, int> entries_by_revision;
  for (const kv_entry& entry : *entries) {
    const auto audit = nlohmann::json::parse(entry.value, nullptr, false);
    BOOST_REQUIRE(audit.is_object());
    ++entries_by_author[audit.value("author", "")];
    ++entries_by_revision[audit.value("revision", std::uint64_t{0})];
  }
  for (std::uint64_t revision = 1; revision <= last; ++revision) {
    if (entries_by_revision[revision] == 1) continue;
    violations.push_back("revision " + std::to_string(revision) + " has " +
                         std::to_string(entries_by_revision[revision]) +
                         " audit entries");
  }
  if (entries->size() != last)
    violations.emplace_back(
        "the numbers of audit entries and revisions differ");
  for (const operator_run& run : runs) {
    const int count = entries_by_author[run.author];
    // After a kill or exit code 5 the change may or may not have been made.
    const bool outcome_unknown =
        run.exit_code == kSigkillExitCode || run.exit_code == 5;
    const bool is_consistent = run.exit_code == 0 ? count == 1 : count == 0;
    if (count > 1 || (!outcome_unknown && !is_consistent)) {
      violations.push_back(run.author + " ended with " +
                           std::to_string(run.exit_code) + " and has " +
                           std::to_string(count) + " entries");
    }
  }
  return violations;
}

// Guards guarantee 8: no daemon returns to an older document, all daemons use a
// new one within 5 s, and each change has its audit entry. Concurrent
// operators, killed operators and faults of the key-value service or of a
// daemon could lose a change or its audit entry, or leave a daemon with an old
// document.
BOOST_AUTO_TEST_CASE(DocumentsNeverRevert) {
  std::mt19937_64 random(TestSeed());
  const auto cell =
      StartFaultCell({"document_race", kBasePort, 3, /*relay_kv=*/true});
  operator_runner operators(
      *cell, std::string(APRICOTWHEEL_WORK_FOLDER) + "/document_race",
      random());
  document_observer observers(*cell, 3);
  for (const document_fault& fault : kFaults) {
    const std::size_t victim = random() % cell->DaemonCount();
    operators.RunConcurrently(kConcurrentOperators, true);
    fault.inject(*cell, victim);
    operators.RunConcurrently(kConcurrentOperators, true);
    cell->Clock().SleepFor(milliseconds(fault.hold_ms));
    fault.heal(*cell, victim);
    operators.RunConcurrently(kConcurrentOperators, true);
    std::cout << fault.name << ": done" << std::endl;
  }
  // A killed operator may have written its document but not its audit entry;
  // the next successful one writes the missing entry.
  operators.RunConcurrently(1, false);
  BOOST_TEST(operators.runs.back().exit_code == 0);

  auto kv = Attempt([&] { return kv_client::Create({cell->KvAddress()}); });
  BOOST_REQUIRE(kv);
  const auto stored = Attempt([&] { return (*kv)->Get(kDocumentKey); });
  BOOST_REQUIRE(stored);
  BOOST_REQUIRE(stored->has_value());
  const auto envelope =
      Attempt([&] { return DecodeEnvelope((*stored)->value); });
  BOOST_REQUIRE(envelope);
  const std::uint64_t last = envelope->revision;
  BOOST_TEST(envelope->author == operators.runs.back().author);
  for (std::size_t index = 0; index < cell->DaemonCount(); ++index) {
    BOOST_TEST(cell->WaitUntil(kConvergenceTimeoutMs, [&] {
      return ActiveRevision(*cell, index) == last;
    }));
  }
  const observer_report observed = observers.Stop();
  const auto audit = CheckAudit(**kv, last, operators.runs);
  for (const auto* violations :
       {&observed.reverted_revisions, &observed.late_revisions, &audit}) {
    for (const std::string& violation :
         std::span(*violations)
             .first(std::min(violations->size(), kMaxPrintedViolations))) {
      BOOST_TEST_MESSAGE("guarantee 8: " << violation);
    }
    BOOST_TEST(violations->size() == 0U);
  }
  std::map<int, int> codes;
  for (const operator_run& run : operators.runs) ++codes[run.exit_code];
  for (const auto& [code, count] : codes) {
    std::cout << "exit code " << code << ": " << count << "\n";
  }
  std::cout << "revisions " << last << ", longest lag "
            << observed.longest_lag.count() << " ms" << std::endl;
  // With fewer accepted changes the observers would have little to compare.
  BOOST_TEST(codes[0] > 10);
  ReportGuarantee(8, observed.observations,
                  observed.reverted_revisions.size() +
                      observed.late_revisions.size() + audit.size());
}

}  // namespace
}  // namespace apricotwheel::testing

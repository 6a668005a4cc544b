#include "tests/faults/fault_cases.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

namespace apricotwheel::testing {

namespace {

constexpr int kStartTimeoutMs = 30'000;
constexpr int kRecoveryTimeoutMs = 40'000;
constexpr int kLoadAfterFaultMs = 1200;

void RestartDaemonAt(fault_rig& rig, std::size_t daemon) {
  BOOST_CHECK(Attempt([&] { return rig.Cell().RestartDaemon(daemon); }));
}

bool IsReady(fault_rig& rig, std::size_t daemon) {
  return SendRequest(rig.Cell().DaemonAddress(daemon),
                     {"GET", "/readyz", "", {}, 2000})
             .status == 200;
}

bool OwnsShards(fault_rig& rig, std::size_t daemon) {
  const auto status = rig.Cell().FetchDaemonStatus(daemon);
  if (!status.contains("shards")) return false;
  return std::any_of(
      status["shards"].begin(), status["shards"].end(),
      [&](const auto& line) { return line["owner"] == status["member_id"]; });
}

void DoNothing(fault_rig& /*rig*/, const fault_target& /*target*/) {}

void SetKvRelayMode(fault_rig& rig, const fault_target& target,
                    relay_mode mode) {
  rig.Cell().KvRelay(target.daemon).SetMode(mode);
}

void ReconnectKv(fault_rig& rig, const fault_target& target) {
  // Closes the connections that lost bytes: their streams are incomplete.
  SetKvRelayMode(rig, target, relay_mode::kRefuse);
  rig.Cell().Clock().SleepFor(milliseconds(100));
  SetKvRelayMode(rig, target, relay_mode::kForward);
}

void ClearKvFaults(fault_rig& rig, const fault_target& /*target*/) {
  rig.SetKvFaults("{}");
}

void ClearWorkerFaults(fault_rig& rig, const fault_target& target) {
  rig.SetWorkerFaults(target.worker, "{}");
}

fault_target ChooseTarget(fault_rig& rig) {
  fault_target target;
  target.daemon = rig.RandomBelow(rig.Cell().DaemonCount());
  // A daemon may own no rack. Its loss would not test the takeover of workers,
  // so the target is a daemon that owns some.
  for (std::size_t tries = 0; tries < rig.Cell().DaemonCount() &&
                              rig.OwnedWorkers(target.daemon).empty();
       ++tries) {
    target.daemon = (target.daemon + 1) % rig.Cell().DaemonCount();
  }
  target.other_daemon =
      (target.daemon + 1 + rig.RandomBelow(rig.Cell().DaemonCount() - 1)) %
      rig.Cell().DaemonCount();
  // The target worker hosts an instance, because a fault of it can lead to the
  // instance's task being placed a second time.
  std::vector<std::string> workers;
  for (const auto daemon : {target.daemon, target.other_daemon}) {
    const auto status = rig.Cell().FetchDaemonStatus(daemon);
    if (!workers.empty() || !status.contains("instances")) continue;
    for (const auto& line : status["instances"]) {
      workers.push_back(line["worker"]);
    }
  }
  std::sort(workers.begin(), workers.end());
  if (!workers.empty())
    target.worker = workers[rig.RandomBelow(workers.size())];
  return target;
}

// Returns the time from `since_ms` to the first later task start on one of
// `workers`, or -1 if there is none.
std::int64_t TimeToFirstTaskStart(fault_rig& rig,
                                  const std::vector<std::string>& workers,
                                  std::int64_t since_ms) {
  for (const auto& entry : ReadJournal(rig.Cell().JournalPath())) {
    if (entry.event == "task_started" && entry.at_ms > since_ms &&
        std::find(workers.begin(), workers.end(), entry.worker) !=
            workers.end()) {
      return entry.at_ms - since_ms;
    }
  }
  return -1;
}

void ReportViolations(const std::string& guarantee,
                      const std::vector<std::string>& lines) {
  for (const auto& line : lines) {
    BOOST_ERROR(guarantee << ": " << line);
  }
}

std::string CaseLabel(const fault_case& row) {
  return std::string(row.first_fault->name) +
         (row.second_fault != nullptr
              ? std::string(" + ") + row.second_fault->name
              : "");
}

// Returns whether the label of `row` contains the text of the environment
// variable APRICOTWHEEL_CASE, or the variable is unset.
bool IsSelected(const fault_case& row) {
  const char* wanted = std::getenv("APRICOTWHEEL_CASE");
  return wanted == nullptr || CaseLabel(row).find(wanted) != std::string::npos;
}

struct case_totals {
  std::int64_t cases = 0;
  std::int64_t breaches = 0;
  std::int64_t overlaps = 0;
};

void RunCase(fault_rig& rig, const fault_case& row, case_totals& totals) {
  const auto began_ms = MonotonicNowMs();
  const auto target = ChooseTarget(rig);
  const std::string label = CaseLabel(row);
  BOOST_TEST_CONTEXT(label) {
    const int unknown_before = rig.Traffic().unknown;
    const int completed_before = rig.Traffic().completed;
    rig.StartLoad();
    rig.Cell().Clock().SleepFor(milliseconds(500 + rig.RandomBelow(500)));
    const auto lost_workers = rig.OwnedWorkers(target.daemon);
    BOOST_CHECK(!lost_workers.empty());
    const auto injected_ms = MonotonicNowMs();
    row.first_fault->inject(rig, target);
    if (row.second_fault != nullptr) {
      rig.Cell().Clock().SleepFor(milliseconds(rig.RandomBelow(500)));
      row.second_fault->inject(rig, target);
    }
    rig.Cell().Clock().SleepFor(milliseconds(row.hold_ms));
    if (row.first_fault == &kDaemonKilled && row.second_fault == nullptr) {
      std::int64_t recovery_ms = -1;
      rig.Cell().WaitUntil(kRecoveryTimeoutMs, [&] {
        recovery_ms = TimeToFirstTaskStart(rig, lost_workers, injected_ms);
        return recovery_ms >= 0;
      });
      BOOST_CHECK_GE(recovery_ms, 0);
      ReportMeasurement("recovery_to_first_placement_ms", recovery_ms, "ms");
      ReportMeasurement("unknown_per_kill",
                        rig.Traffic().unknown - unknown_before, "requests");
    }
    if (row.second_fault != nullptr) row.second_fault->heal(rig, target);
    row.first_fault->heal(rig, target);
    const auto healed_ms = MonotonicNowMs();
    const auto accepted_after_ms =
        rig.WaitForAcceptedAfter(healed_ms, kRecoveryTimeoutMs);
    BOOST_CHECK_MESSAGE(accepted_after_ms >= 0,
                        "no job was accepted after the fault");
    if (row.first_fault == &kKvDown && row.second_fault == nullptr) {
      ReportMeasurement("outage_to_normal_ms", accepted_after_ms, "ms");
    }
    // Keeps the load running, because placements that use rebuilt state can
    // violate the guarantees.
    rig.Cell().Clock().SleepFor(milliseconds(kLoadAfterFaultMs));
    rig.StopSubmitting();
    BOOST_CHECK_MESSAGE(rig.WaitForServices(kRecoveryTimeoutMs),
                        "not all service instances accept requests again");
    BOOST_CHECK_MESSAGE(rig.WaitForJobs(kRecoveryTimeoutMs),
                        "an accepted job has not ended");
    rig.StopLoad();
    BOOST_CHECK_GT(rig.Traffic().completed, completed_before);
    for (const auto& job : rig.AcceptedJobs()) {
      const bool is_allowed_end =
          job.end_state == "finished" ||
          (row.jobs_may_fail && job.end_state == "failed") ||
          job.accepted_at_ms < began_ms;
      BOOST_CHECK_MESSAGE(is_allowed_end, "job " << job.id << " ended as '"
                                                 << job.end_state << "'");
    }
    const auto breaches = rig.NewCapacityBreaches();
    const auto overlaps = rig.NewTaskOverlaps();
    ReportViolations("guarantee 1", breaches);
    ReportViolations("guarantee 2", overlaps);
    const auto difference = rig.DescribeServiceMismatch();
    BOOST_CHECK_MESSAGE(difference.empty(), difference);
    ++totals.cases;
    totals.breaches += breaches.empty() ? 0 : 1;
    totals.overlaps += overlaps.empty() ? 0 : 1;
    std::cout << label << ": fault " << healed_ms - injected_ms << " ms, all "
              << MonotonicNowMs() - began_ms << " ms, "
              << rig.Traffic().completed - completed_before << " completed, "
              << rig.Traffic().unknown - unknown_before << " unknown, "
              << rig.AcceptedJobs().size() << " jobs so far\n"
              << std::flush;
  }
}

}  // namespace

const fault kDaemonKilled = {"daemon killed",
                             [](fault_rig& rig, const fault_target& target) {
                               rig.Cell().Daemon(target.daemon).Kill();
                             },
                             [](fault_rig& rig, const fault_target& target) {
                               RestartDaemonAt(rig, target.daemon);
                             }};

const fault kDaemonFrozen = {"daemon frozen past its lease and woken",
                             [](fault_rig& rig, const fault_target& target) {
                               rig.Cell().Daemon(target.other_daemon).Freeze();
                             },
                             [](fault_rig& rig, const fault_target& target) {
                               rig.Cell().Daemon(target.other_daemon).Resume();
                             }};

const fault kKvRequestsCut = {"requests to the key-value service cut",
                              [](fault_rig& rig, const fault_target& target) {
                                SetKvRelayMode(rig, target,
                                               relay_mode::kDropToServer);
                              },
                              ReconnectKv};

const fault kKvResponsesCut = {"replies of the key-value service cut",
                               [](fault_rig& rig, const fault_target& target) {
                                 SetKvRelayMode(rig, target,
                                                relay_mode::kDropToClient);
                               },
                               ReconnectKv};

const fault kKvCut = {"link to the key-value service cut",
                      [](fault_rig& rig, const fault_target& target) {
                        SetKvRelayMode(rig, target, relay_mode::kDropBoth);
                      },
                      ReconnectKv};

const fault kKvDown = {"key-value service down for longer than the task lease",
                       [](fault_rig& rig, const fault_target& /*target*/) {
                         rig.SetKvFaults(R"({"outage": "refuse"})");
                       },
                       ClearKvFaults};

const fault kKvSlow = {"key-value service slow",
                       [](fault_rig& rig, const fault_target& /*target*/) {
                         rig.SetKvFaults(R"({"slow_ms": 200})");
                       },
                       ClearKvFaults};

const fault kKvResponsesLostAfterWrite = {
    "replies lost after the write",
    [](fault_rig& rig, const fault_target& /*target*/) {
      rig.SetKvFaults(R"({"lose_replies": 20})");
    },
    ClearKvFaults};

const fault kVmListStale = {"VM list stale",
                            [](fault_rig& rig, const fault_target& /*target*/) {
                              rig.PostToVmList("/admin/faults",
                                               R"({"frozen": true})");
                            },
                            [](fault_rig& rig, const fault_target& /*target*/) {
                              rig.PostToVmList("/admin/faults", "{}");
                            }};

const fault kWorkerFrozen = {"worker frozen past its task lease and woken",
                             [](fault_rig& rig, const fault_target& target) {
                               rig.SetWorkerFaults(target.worker,
                                                   R"({"frozen": true})");
                             },
                             ClearWorkerFaults};

const fault kWorkerFailsTasks = {
    "worker fails every task at once",
    [](fault_rig& rig, const fault_target& target) {
      rig.SetWorkerFaults(target.worker, R"({"fail_tasks": true})");
    },
    ClearWorkerFaults};

const fault kWorkersUnderreportUsage = {
    "workers report a third of their use",
    [](fault_rig& rig, const fault_target& /*target*/) {
      for (const auto& vm : rig.Cell().CellFile()["vms"]) {
        rig.SetWorkerFaults(vm["id"], R"({"report_percent": 33})");
      }
    },
    [](fault_rig& rig, const fault_target& /*target*/) {
      for (const auto& vm : rig.Cell().CellFile()["vms"]) {
        rig.SetWorkerFaults(vm["id"], "{}");
      }
    }};

const fault kDaemonsReplacedInTurn = {
    "all daemons replaced in turn",
    [](fault_rig& rig, const fault_target& /*target*/) {
      for (std::size_t index = 0; index < rig.Cell().DaemonCount(); ++index) {
        rig.Cell().Daemon(index).Kill();
        RestartDaemonAt(rig, index);
        BOOST_CHECK(rig.Cell().WaitUntil(kRecoveryTimeoutMs, [&] {
          return IsReady(rig, index) && OwnsShards(rig, index);
        }));
      }
    },
    DoNothing};

const fault kDaemonsReplacedAtOnce = {
    "all daemons replaced at once",
    [](fault_rig& rig, const fault_target& /*target*/) {
      for (std::size_t index = 0; index < rig.Cell().DaemonCount(); ++index) {
        rig.Cell().Daemon(index).Kill();
      }
      for (std::size_t index = 0; index < rig.Cell().DaemonCount(); ++index) {
        RestartDaemonAt(rig, index);
      }
    },
    DoNothing};

void RunFaultCases(const std::string& name, int base_port,
                   std::span<const fault_case> cases) {
  const auto rig = fault_rig::Start(name, base_port);
  BOOST_REQUIRE(rig);
  BOOST_REQUIRE(rig->WaitForServices(kStartTimeoutMs));
  case_totals totals;
  for (const fault_case& row : cases) {
    if (IsSelected(row)) RunCase(*rig, row, totals);
  }
  ReportGuarantee(1, totals.cases, totals.breaches, "cases");
  ReportGuarantee(2, totals.cases, totals.overlaps, "cases");
}

}  // namespace apricotwheel::testing

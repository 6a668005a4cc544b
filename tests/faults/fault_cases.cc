#include "tests/faults/fault_cases.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

namespace apricotwheel::testing {

namespace {

constexpr int kStartMs = 30'000;
constexpr int kRecoverMs = 40'000;
constexpr int kLoadAfterMs = 1200;

void Restart(fault_rig& rig, std::size_t daemon) {
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

void Nothing(fault_rig& /*rig*/, const fault_target& /*target*/) {}

void SetKvLink(fault_rig& rig, const fault_target& target, relay_mode mode) {
  rig.Cell().KvRelay(target.daemon).SetMode(mode);
}

void ResetKvLink(fault_rig& rig, const fault_target& target) {
  // Connections that lost bytes cannot be used any more.
  SetKvLink(rig, target, relay_mode::kRefuse);
  rig.Cell().Clock().SleepFor(milliseconds(100));
  SetKvLink(rig, target, relay_mode::kForward);
}

void ResetKv(fault_rig& rig, const fault_target& /*target*/) {
  rig.AdminKv("{}");
}

void ResetWorker(fault_rig& rig, const fault_target& target) {
  rig.AdminWorker(target.worker, "{}");
}

fault_target ChooseTarget(fault_rig& rig) {
  fault_target target;
  target.daemon = rig.Below(rig.Cell().DaemonCount());
  // Racks may be spread so that a daemon owns none; the loss of that one shows
  // nothing of how workers change hands.
  for (std::size_t tries = 0;
       tries < rig.Cell().DaemonCount() && rig.WorkersOf(target.daemon).empty();
       ++tries) {
    target.daemon = (target.daemon + 1) % rig.Cell().DaemonCount();
  }
  target.other_daemon =
      (target.daemon + 1 + rig.Below(rig.Cell().DaemonCount() - 1)) %
      rig.Cell().DaemonCount();
  // A worker with an instance: its task must not be placed twice.
  std::vector<std::string> workers;
  for (const auto daemon : {target.daemon, target.other_daemon}) {
    const auto status = rig.Cell().FetchDaemonStatus(daemon);
    if (!workers.empty() || !status.contains("instances")) continue;
    for (const auto& line : status["instances"]) {
      workers.push_back(line["worker"]);
    }
  }
  std::sort(workers.begin(), workers.end());
  if (!workers.empty()) target.worker = workers[rig.Below(workers.size())];
  return target;
}

// First task start on one of `workers` after `since_ms`; -1 if there is none.
std::int64_t FirstStartAfter(fault_rig& rig,
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

void PrintAll(const std::string& guarantee,
              const std::vector<std::string>& lines) {
  for (const auto& line : lines) {
    BOOST_ERROR(guarantee << ": " << line);
  }
}

std::string LabelOf(const fault_case& row) {
  return std::string(row.first->name) +
         (row.second != nullptr ? std::string(" + ") + row.second->name : "");
}

// APRICOTWHEEL_CASE limits a run to the cases whose label contains its text.
bool IsSelected(const fault_case& row) {
  const char* wanted = std::getenv("APRICOTWHEEL_CASE");
  return wanted == nullptr || LabelOf(row).find(wanted) != std::string::npos;
}

struct run_totals {
  std::int64_t trials = 0;
  std::int64_t breaches = 0;
  std::int64_t overlaps = 0;
};

void RunCase(fault_rig& rig, const fault_case& row, run_totals& totals) {
  const auto began_ms = NowMs();
  const auto target = ChooseTarget(rig);
  const std::string label = LabelOf(row);
  BOOST_TEST_CONTEXT(label) {
    const int unknown_before = rig.Counts().unknown;
    const int completed_before = rig.Counts().completed;
    rig.StartLoad();
    rig.Cell().Clock().SleepFor(milliseconds(500 + rig.Below(500)));
    const auto lost_workers = rig.WorkersOf(target.daemon);
    BOOST_CHECK(!lost_workers.empty());
    const auto fault_ms = NowMs();
    row.first->begin(rig, target);
    if (row.second != nullptr) {
      rig.Cell().Clock().SleepFor(milliseconds(rig.Below(500)));
      row.second->begin(rig, target);
    }
    rig.Cell().Clock().SleepFor(milliseconds(row.hold_ms));
    if (row.first == &kDaemonKilled && row.second == nullptr) {
      std::int64_t recovery = -1;
      rig.Cell().WaitUntil(kRecoverMs, [&] {
        recovery = FirstStartAfter(rig, lost_workers, fault_ms);
        return recovery >= 0;
      });
      BOOST_CHECK_GE(recovery, 0);
      ReportMeasurement("recovery_to_first_placement_ms", recovery, "ms");
      ReportMeasurement("unknown_per_kill",
                        rig.Counts().unknown - unknown_before, "requests");
    }
    if (row.second != nullptr) row.second->end(rig, target);
    row.first->end(rig, target);
    const auto ended_ms = NowMs();
    const auto accepted = rig.WaitForAcceptedAfter(ended_ms, kRecoverMs);
    BOOST_CHECK_MESSAGE(accepted >= 0, "no job was accepted after the fault");
    if (row.first == &kKvDown && row.second == nullptr) {
      ReportMeasurement("outage_to_normal_ms", accepted, "ms");
    }
    // Placements on rebuilt state are the ones that could go wrong.
    rig.Cell().Clock().SleepFor(milliseconds(kLoadAfterMs));
    rig.StopSubmitting();
    BOOST_CHECK_MESSAGE(rig.WaitForServices(kRecoverMs),
                        "the services did not return to their instances");
    BOOST_CHECK_MESSAGE(rig.WaitForJobs(kRecoverMs),
                        "an accepted job has not ended");
    rig.StopLoad();
    BOOST_CHECK_GT(rig.Counts().completed, completed_before);
    for (const auto& job : rig.Jobs()) {
      const bool as_allowed =
          job.end_state == "finished" ||
          (row.jobs_may_fail && job.end_state == "failed") ||
          job.accepted_at_ms < began_ms;
      BOOST_CHECK_MESSAGE(as_allowed, "job " << job.id << " ended as '"
                                             << job.end_state << "'");
    }
    const auto breaches = rig.NewBreaches();
    const auto overlaps = rig.NewOverlaps();
    PrintAll("guarantee 1", breaches);
    PrintAll("guarantee 2", overlaps);
    const auto difference = rig.ServiceDifference();
    BOOST_CHECK_MESSAGE(difference.empty(), difference);
    ++totals.trials;
    totals.breaches += breaches.empty() ? 0 : 1;
    totals.overlaps += overlaps.empty() ? 0 : 1;
    std::cout << label << ": fault " << ended_ms - fault_ms << " ms, all "
              << NowMs() - began_ms << " ms, "
              << rig.Counts().completed - completed_before << " completed, "
              << rig.Counts().unknown - unknown_before << " unknown, "
              << rig.Jobs().size() << " jobs so far\n"
              << std::flush;
  }
}

}  // namespace

const fault kDaemonKilled = {"daemon killed",
                             [](fault_rig& rig, const fault_target& target) {
                               rig.Cell().Daemon(target.daemon).Kill();
                             },
                             [](fault_rig& rig, const fault_target& target) {
                               Restart(rig, target.daemon);
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
                                SetKvLink(rig, target,
                                          relay_mode::kDropToServer);
                              },
                              ResetKvLink};

const fault kKvRepliesCut = {"replies of the key-value service cut",
                             [](fault_rig& rig, const fault_target& target) {
                               SetKvLink(rig, target,
                                         relay_mode::kDropToClient);
                             },
                             ResetKvLink};

const fault kKvCut = {"link to the key-value service cut",
                      [](fault_rig& rig, const fault_target& target) {
                        SetKvLink(rig, target, relay_mode::kDropBoth);
                      },
                      ResetKvLink};

const fault kKvDown = {"key-value service down for longer than the task lease",
                       [](fault_rig& rig, const fault_target& /*target*/) {
                         rig.AdminKv(R"({"outage": "refuse"})");
                       },
                       ResetKv};

const fault kKvSlow = {"key-value service slow",
                       [](fault_rig& rig, const fault_target& /*target*/) {
                         rig.AdminKv(R"({"slow_ms": 200})");
                       },
                       ResetKv};

const fault kKvLosesReplies = {
    "replies lost after the write",
    [](fault_rig& rig, const fault_target& /*target*/) {
      rig.AdminKv(R"({"lose_replies": 20})");
    },
    ResetKv};

const fault kVmListStale = {"VM list stale",
                            [](fault_rig& rig, const fault_target& /*target*/) {
                              rig.AdminVmList("/admin/faults",
                                              R"({"frozen": true})");
                            },
                            [](fault_rig& rig, const fault_target& /*target*/) {
                              rig.AdminVmList("/admin/faults", "{}");
                            }};

const fault kWorkerFrozen = {"worker frozen past its task lease and woken",
                             [](fault_rig& rig, const fault_target& target) {
                               rig.AdminWorker(target.worker,
                                               R"({"frozen": true})");
                             },
                             ResetWorker};

const fault kWorkerFailsTasks = {
    "worker fails every task at once",
    [](fault_rig& rig, const fault_target& target) {
      rig.AdminWorker(target.worker, R"({"fail_tasks": true})");
    },
    ResetWorker};

const fault kWorkerUnderReports = {
    "workers report a third of their use",
    [](fault_rig& rig, const fault_target& /*target*/) {
      for (const auto& vm : rig.Cell().CellFile()["vms"]) {
        rig.AdminWorker(vm["id"], R"({"report_percent": 33})");
      }
    },
    [](fault_rig& rig, const fault_target& /*target*/) {
      for (const auto& vm : rig.Cell().CellFile()["vms"]) {
        rig.AdminWorker(vm["id"], "{}");
      }
    }};

const fault kReplacedInTurn = {
    "all daemons replaced in turn",
    [](fault_rig& rig, const fault_target& /*target*/) {
      for (std::size_t index = 0; index < rig.Cell().DaemonCount(); ++index) {
        rig.Cell().Daemon(index).Kill();
        Restart(rig, index);
        BOOST_CHECK(rig.Cell().WaitUntil(kRecoverMs, [&] {
          return IsReady(rig, index) && OwnsShards(rig, index);
        }));
      }
    },
    Nothing};

const fault kReplacedAtOnce = {
    "all daemons replaced at once",
    [](fault_rig& rig, const fault_target& /*target*/) {
      for (std::size_t index = 0; index < rig.Cell().DaemonCount(); ++index) {
        rig.Cell().Daemon(index).Kill();
      }
      for (std::size_t index = 0; index < rig.Cell().DaemonCount(); ++index) {
        Restart(rig, index);
      }
    },
    Nothing};

void RunFaultCases(const std::string& name, int base_port,
                   std::span<const fault_case> cases) {
  const auto rig = fault_rig::Start(name, base_port);
  BOOST_REQUIRE(rig);
  BOOST_REQUIRE(rig->WaitForServices(kStartMs));
  run_totals totals;
  for (const fault_case& row : cases) {
    if (IsSelected(row)) RunCase(*rig, row, totals);
  }
  ReportGuarantee(1, totals.trials, totals.breaches, "cases");
  ReportGuarantee(2, totals.trials, totals.overlaps, "cases");
}

}  // namespace apricotwheel::testing

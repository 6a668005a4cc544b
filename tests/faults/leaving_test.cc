// Guards guarantee 6: new work on a VM more than 5 s after it was drained by
// the document or marked as leaving in the VM list.
#include <algorithm>
#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <thread>

#include "tests/faults/fault_rig.h"

namespace apricotwheel::testing {

namespace {

constexpr int kBasePort = 29'600;
constexpr int kStartMs = 30'000;
constexpr int kRecoverMs = 40'000;
// The bound of guarantee 6 itself.
constexpr std::int64_t kLeaveMs = 5000;
constexpr int kObserveMs = 2000;
constexpr int kCallers = 6;
const std::string kLargeVms = "large-0, large-1, large-2";

enum class how { kDrained, kMarkedLeaving };

struct leaving_case {
  const char* name;
  how way;
  bool owner_list_lags;  // The owner of the VM reads no VM list.
};

// The VMs that host instances of `service` of the partitions of one daemon.
std::vector<std::string> WorkersOf(fault_rig& rig, std::size_t daemon,
                                   const std::string& service) {
  std::vector<std::string> workers;
  const auto status = rig.Cell().FetchDaemonStatus(daemon);
  if (!status.contains("instances")) return workers;
  for (const auto& instance : status["instances"]) {
    if (instance["service"] == service) workers.push_back(instance["worker"]);
  }
  return workers;
}

bool IsSmall(const std::string& worker) { return worker.starts_with("small"); }

// Gangs need all large VMs, so a small one has to leave, and every case needs
// one that hosts an instance. Instances are free to settle on large VMs, more
// so the more small ones have left: a drain of the large ones moves them.
bool MoveFrontsToSmallVms(fault_rig& rig, const std::string& drained) {
  auto& cell = rig.Cell();
  const auto apply = [&](const std::string& drain) {
    return !!Attempt(
        [&] { return cell.ApplyDocument(RigDocument(drain), "test"); });
  };
  if (!apply(drained.empty() ? kLargeVms : kLargeVms + (", " + drained))) {
    return false;
  }
  const bool moved = cell.WaitUntil(kRecoverMs, [&] {
    std::vector<std::string> workers;
    for (std::size_t daemon = 0; daemon < cell.DaemonCount(); ++daemon) {
      for (auto& worker : WorkersOf(rig, daemon, "front")) {
        workers.push_back(std::move(worker));
      }
    }
    return !workers.empty() &&
           std::all_of(workers.begin(), workers.end(), IsSmall);
  });
  return apply(drained) && moved && rig.WaitForServices(kStartMs);
}

}  // namespace

BOOST_AUTO_TEST_CASE(LeavingVmGetsNoNewWork) {
  const auto rig = fault_rig::Start("leaving", kBasePort);
  BOOST_REQUIRE(rig);
  BOOST_REQUIRE(rig->WaitForServices(kStartMs));
  auto& cell = rig->Cell();
  const std::array<leaving_case, 3> cases = {{
      {"drained by the document", how::kDrained, false},
      {"marked as leaving in the VM list", how::kMarkedLeaving, false},
      {"marked as leaving while the owner's list lags", how::kMarkedLeaving,
       true},
  }};
  std::int64_t violated = 0;
  std::string drained;
  for (const auto& row : cases) {
    BOOST_TEST_CONTEXT(row.name) {
      BOOST_REQUIRE(MoveFrontsToSmallVms(*rig, drained));
      // A VM that hosts an instance, and the daemon that owns it.
      std::string worker;
      std::size_t owner = 0;
      const std::size_t first = rig->Below(cell.DaemonCount());
      for (std::size_t step = 0; step < cell.DaemonCount() && worker.empty();
           ++step) {
        owner = (first + step) % cell.DaemonCount();
        const auto workers = WorkersOf(*rig, owner, "front");
        const auto found =
            std::find_if(workers.begin(), workers.end(), IsSmall);
        if (found != workers.end()) worker = *found;
      }
      BOOST_REQUIRE(!worker.empty());
      rig->StartLoad();
      if (row.owner_list_lags) {
        cell.VmListRelay(owner).SetMode(relay_mode::kDropToClient);
      }
      std::atomic<std::int64_t> limit_ms = 0;
      std::atomic<int> late_requests = 0;
      std::atomic<int> requests_before = 0;
      std::atomic<int> observed = 0;
      std::atomic<bool> done = false;
      std::vector<std::thread> callers;
      callers.reserve(kCallers);
      for (int index = 0; index < kCallers; ++index) {
        callers.emplace_back([&, index] {
          while (!done) {
            const auto sent_ms = NowMs();
            const auto answer = SendRequest(
                cell.DaemonAddress(static_cast<std::size_t>(index) %
                                   cell.DaemonCount()),
                {"GET", "/v1/services/front/x?service_ms=5", "", {}, 8000});
            const auto limit = limit_ms.load();
            if (limit != 0 && sent_ms > limit) {
              ++observed;
              if (answer.worker == worker) ++late_requests;
            } else if (answer.worker == worker) {
              ++requests_before;
            }
            cell.Clock().SleepFor(milliseconds(5));
          }
        });
      }
      BOOST_CHECK(
          cell.WaitUntil(kRecoverMs, [&] { return requests_before > 0; }));
      if (row.way == how::kDrained) {
        drained = worker;
        BOOST_CHECK(Attempt(
            [&] { return cell.ApplyDocument(RigDocument(worker), "test"); }));
      } else {
        BOOST_CHECK_EQUAL(
            rig->AdminVmList("/admin/leaving", R"({"id": ")" + worker + "\"}")
                .status,
            200);
      }
      limit_ms = NowMs() + kLeaveMs;
      cell.WaitUntil(static_cast<int>(kLeaveMs) + kObserveMs,
                     [&] { return NowMs() > limit_ms + kObserveMs; });
      done = true;
      for (auto& caller : callers) caller.join();
      int late_starts = 0;
      int starts_before = 0;
      for (const auto& entry : ReadJournal(cell.JournalPath())) {
        if (entry.event != "task_started" || entry.worker != worker) continue;
        ++(entry.at_ms > limit_ms ? late_starts : starts_before);
      }
      BOOST_CHECK_GT(observed, 0);
      BOOST_CHECK_GT(starts_before, 0);
      BOOST_CHECK_MESSAGE(late_starts == 0,
                          "guarantee 6: " << late_starts << " late starts");
      BOOST_CHECK_MESSAGE(late_requests == 0,
                          "guarantee 6: " << late_requests << " late requests");
      if (late_starts > 0 || late_requests > 0) ++violated;
      std::cout << row.name << ": " << worker << ", " << requests_before
                << " requests before, " << observed << " observed after, "
                << late_requests << " of them there, " << late_starts
                << " late starts\n"
                << std::flush;
      if (row.owner_list_lags) {
        cell.VmListRelay(owner).SetMode(relay_mode::kForward);
      }
      rig->StopSubmitting();
      BOOST_CHECK(rig->WaitForServices(kRecoverMs));
      BOOST_CHECK(rig->WaitForJobs(kRecoverMs));
      rig->StopLoad();
      for (const auto& line : rig->NewBreaches()) BOOST_ERROR(line);
      for (const auto& line : rig->NewOverlaps()) BOOST_ERROR(line);
    }
  }
  ReportGuarantee(6, cases.size(), violated, "VMs");
}

}  // namespace apricotwheel::testing

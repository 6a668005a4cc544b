// Guards guarantee 6: a VM gets no new work more than 5 s after the document
// drained it or the VM list marked it as leaving. A daemon that uses an old
// document or an old VM list would still send tasks or requests there.
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
constexpr int kStartTimeoutMs = 30'000;
constexpr int kRecoveryTimeoutMs = 40'000;
// The bound of guarantee 6.
constexpr std::int64_t kMaxTimeToLeaveMs = 5000;
constexpr int kObservationMs = 2000;
constexpr int kCallerThreads = 6;
const std::string kLargeVms = "large-0, large-1, large-2";

enum class leave_method { kDrained, kMarkedLeaving };

struct leaving_case {
  const char* name;
  leave_method method;
  bool owner_list_lags;  // The VM list does not reach the owner of the VM.
};

// Returns the VMs that host instances of `service` and belong to `daemon`.
std::vector<std::string> WorkersWithInstancesOf(fault_rig& rig,
                                                std::size_t daemon,
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

// Moves all instances of `front` to small VMs by a temporary drain of the large
// ones. Gangs need all large VMs, so each case removes a small VM that hosts an
// instance. Without this step instances may be placed on large VMs, which gets
// more likely with each small VM that leaves.
bool MoveFrontInstancesToSmallVms(fault_rig& rig, const std::string& drained) {
  auto& cell = rig.Cell();
  const auto apply_drain_list = [&](const std::string& drain) {
    return !!Attempt(
        [&] { return cell.ApplyDocument(RigDocument(drain), "test"); });
  };
  if (!apply_drain_list(drained.empty() ? kLargeVms
                                        : kLargeVms + (", " + drained))) {
    return false;
  }
  const bool moved = cell.WaitUntil(kRecoveryTimeoutMs, [&] {
    std::vector<std::string> workers;
    for (std::size_t daemon = 0; daemon < cell.DaemonCount(); ++daemon) {
      for (auto& worker : WorkersWithInstancesOf(rig, daemon, "front")) {
        workers.push_back(std::move(worker));
      }
    }
    return !workers.empty() &&
           std::all_of(workers.begin(), workers.end(), IsSmall);
  });
  return apply_drain_list(drained) && moved &&
         rig.WaitForServices(kStartTimeoutMs);
}

}  // namespace

BOOST_AUTO_TEST_CASE(LeavingVmGetsNoNewWork) {
  const auto rig = fault_rig::Start("leaving", kBasePort);
  BOOST_REQUIRE(rig);
  BOOST_REQUIRE(rig->WaitForServices(kStartTimeoutMs));
  auto& cell = rig->Cell();
  const std::array<leaving_case, 3> cases = {{
      {"drained by the document", leave_method::kDrained, false},
      {"marked as leaving in the VM list", leave_method::kMarkedLeaving, false},
      {"marked as leaving while the owner's list lags",
       leave_method::kMarkedLeaving, true},
  }};
  std::int64_t violated = 0;
  std::string drained;
  for (const auto& row : cases) {
    BOOST_TEST_CONTEXT(row.name) {
      BOOST_REQUIRE(MoveFrontInstancesToSmallVms(*rig, drained));
      // Finds a small VM that hosts an instance, and the daemon that owns it.
      std::string worker;
      std::size_t owner = 0;
      const std::size_t first = rig->RandomBelow(cell.DaemonCount());
      for (std::size_t step = 0; step < cell.DaemonCount() && worker.empty();
           ++step) {
        owner = (first + step) % cell.DaemonCount();
        const auto workers = WorkersWithInstancesOf(*rig, owner, "front");
        const auto found =
            std::find_if(workers.begin(), workers.end(), IsSmall);
        if (found != workers.end()) worker = *found;
      }
      BOOST_REQUIRE(!worker.empty());
      rig->StartLoad();
      if (row.owner_list_lags) {
        cell.VmListRelay(owner).SetMode(relay_mode::kDropToClient);
      }
      std::atomic<std::int64_t> leave_deadline_ms = 0;
      std::atomic<int> late_requests = 0;
      std::atomic<int> requests_before = 0;
      std::atomic<int> requests_after = 0;
      std::atomic<bool> done = false;
      std::vector<std::thread> callers;
      callers.reserve(kCallerThreads);
      for (int index = 0; index < kCallerThreads; ++index) {
        callers.emplace_back([&, index] {
          while (!done) {
            const auto sent_ms = MonotonicNowMs();
            const auto response = SendRequest(
                cell.DaemonAddress(static_cast<std::size_t>(index) %
                                   cell.DaemonCount()),
                {"GET", "/v1/services/front/x?service_ms=5", "", {}, 8000});
            const auto deadline = leave_deadline_ms.load();
            if (deadline != 0 && sent_ms > deadline) {
              ++requests_after;
              if (response.worker == worker) ++late_requests;
            } else if (response.worker == worker) {
              ++requests_before;
            }
            cell.Clock().SleepFor(milliseconds(5));
          }
        });
      }
      BOOST_CHECK(cell.WaitUntil(kRecoveryTimeoutMs,
                                 [&] { return requests_before > 0; }));
      if (row.method == leave_method::kDrained) {
        drained = worker;
        BOOST_CHECK(Attempt(
            [&] { return cell.ApplyDocument(RigDocument(worker), "test"); }));
      } else {
        BOOST_CHECK_EQUAL(
            rig->PostToVmList("/admin/leaving", R"({"id": ")" + worker + "\"}")
                .status,
            200);
      }
      leave_deadline_ms = MonotonicNowMs() + kMaxTimeToLeaveMs;
      cell.WaitUntil(static_cast<int>(kMaxTimeToLeaveMs) + kObservationMs, [&] {
        return MonotonicNowMs() > leave_deadline_ms + kObservationMs;
      });
      done = true;
      for (auto& caller : callers) caller.join();
      int late_starts = 0;
      int starts_before = 0;
      for (const auto& entry : ReadJournal(cell.JournalPath())) {
        if (entry.event != "task_started" || entry.worker != worker) continue;
        ++(entry.at_ms > leave_deadline_ms ? late_starts : starts_before);
      }
      BOOST_CHECK_GT(requests_after, 0);
      BOOST_CHECK_GT(starts_before, 0);
      BOOST_CHECK_MESSAGE(late_starts == 0,
                          "guarantee 6: " << late_starts << " late starts");
      BOOST_CHECK_MESSAGE(late_requests == 0,
                          "guarantee 6: " << late_requests << " late requests");
      if (late_starts > 0 || late_requests > 0) ++violated;
      std::cout << row.name << ": " << worker << ", " << requests_before
                << " requests before, " << requests_after << " observed after, "
                << late_requests << " of them there, " << late_starts
                << " late starts\n"
                << std::flush;
      if (row.owner_list_lags) {
        cell.VmListRelay(owner).SetMode(relay_mode::kForward);
      }
      rig->StopSubmitting();
      BOOST_CHECK(rig->WaitForServices(kRecoveryTimeoutMs));
      BOOST_CHECK(rig->WaitForJobs(kRecoveryTimeoutMs));
      rig->StopLoad();
      for (const auto& line : rig->NewCapacityBreaches()) BOOST_ERROR(line);
      for (const auto& line : rig->NewTaskOverlaps()) BOOST_ERROR(line);
    }
  }
  ReportGuarantee(6, cases.size(), violated, "VMs");
}

}  // namespace apricotwheel::testing

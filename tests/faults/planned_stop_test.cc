// Guards guarantee 7: a planned stop of a daemon completes the requests in
// flight, reports the daemon as not ready, hands its work over and exits with
// code 0. A daemon that closes connections too early or exits before the
// takeover would lose requests or jobs.
#include <array>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <thread>

#include "tests/faults/fault_rig.h"

namespace apricotwheel::testing {

namespace {

constexpr int kBasePort = 29'200;
constexpr int kStartTimeoutMs = 30'000;
constexpr int kRecoveryTimeoutMs = 40'000;
constexpr int kStopTimeoutMs = 20'000;
constexpr int kHeldRequests = 8;
// Requests of the load end within this number of status polls, so a count that
// stays high for that long comes from the held requests.
constexpr int kPollsWithHeldRequests = 4;
constexpr int kProbeThreads = 4;

// One planned stop. `disturb` runs first; then requests that take `service_ms`
// are sent, and are in flight when the daemon receives the signal.
struct stop_case {
  const char* name;
  std::size_t daemon;
  int service_ms;
  void (*disturb)(fault_rig& rig, std::size_t daemon);
};

void DoNothing(fault_rig& /*rig*/, std::size_t /*daemon*/) {}

std::string DescribeResponse(const http_response& response) {
  return "status " + std::to_string(response.status) + " outcome '" +
         response.outcome + "' reason '" + response.reason + "' " +
         (response.connected ? "" : "not connected");
}

// Responses that one caller of the stopping daemon received, in order.
struct probe_result {
  std::vector<http_response> responses;
};

// Stops a daemon with requests in flight and returns the violations.
std::vector<std::string> CheckPlannedStop(fault_rig& rig,
                                          const stop_case& row) {
  std::vector<std::string> violations;
  auto& cell = rig.Cell();
  const std::string address = cell.DaemonAddress(row.daemon);
  std::array<http_response, kHeldRequests> held;
  std::array<probe_result, kProbeThreads> probes;
  std::atomic<bool> stopped = false;
  std::vector<std::thread> threads;
  threads.reserve(kHeldRequests + kProbeThreads);
  row.disturb(rig, row.daemon);
  for (int index = 0; index < kHeldRequests; ++index) {
    threads.emplace_back([&, index] {
      held[static_cast<std::size_t>(index)] =
          SendRequest(address, {"POST",
                                "/v1/services/front/held?service_ms=" +
                                    std::to_string(row.service_ms),
                                "",
                                {{"Apricotwheel-Deadline-Ms", "15000"}},
                                20'000});
    });
  }
  // Waits until the held requests are in flight.
  int polls = 0;
  const bool in_flight = cell.WaitUntil(kStartTimeoutMs, [&] {
    const bool all_in_flight =
        cell.FetchDaemonStatus(row.daemon).value("in_flight", 0) >=
        kHeldRequests;
    polls = all_in_flight ? polls + 1 : 0;
    return polls == kPollsWithHeldRequests;
  });
  if (!in_flight) violations.emplace_back("the requests were not in flight");
  for (auto& probe : probes) {
    threads.emplace_back([&] {
      while (!stopped) {
        probe.responses.push_back(SendRequest(
            address,
            {"POST", "/v1/services/front/new?service_ms=10", "", {}, 10'000}));
        cell.Clock().SleepFor(milliseconds(10));
      }
    });
  }
  cell.Daemon(row.daemon).Terminate();
  http_response readiness;
  cell.WaitUntil(kStopTimeoutMs, [&] {
    readiness = SendRequest(address, {"GET", "/readyz", "", {}, 2000});
    return readiness.status != 200;
  });
  if (readiness.status != 503) {
    violations.push_back("readiness: " + DescribeResponse(readiness));
  }
  const auto exit_code = cell.Daemon(row.daemon).WaitForExit(kStopTimeoutMs);
  stopped = true;
  for (auto& thread : threads) thread.join();
  if (exit_code != 0) {
    violations.push_back("exit code " +
                         (exit_code ? std::to_string(*exit_code) : "none"));
  }
  for (const auto& response : held) {
    if (response.outcome != "completed") {
      violations.push_back("request in flight: " + DescribeResponse(response));
    }
  }
  std::size_t served = 0;
  std::size_t refused = 0;
  std::size_t closed = 0;
  for (const auto& probe : probes) {
    for (const auto& response : probe.responses) {
      if (response.outcome == "completed") {
        ++served;
      } else if (response.outcome == "not_run") {
        ++refused;
      } else if (!response.connected) {
        ++closed;
      } else {
        violations.push_back("new request: " + DescribeResponse(response));
      }
    }
  }
  if (served == 0) violations.emplace_back("no new request was served");
  std::cout << row.name << ": " << served << " new requests served, " << refused
            << " not_run, " << closed << " not connected\n"
            << std::flush;
  return violations;
}

}  // namespace

BOOST_AUTO_TEST_CASE(PlannedStopInterruptsNothing) {
  const auto rig = fault_rig::Start("stop", kBasePort);
  BOOST_REQUIRE(rig);
  BOOST_REQUIRE(rig->WaitForServices(kStartTimeoutMs));
  const std::array<stop_case, 4> cases = {{
      {"short requests", 0, 900, DoNothing},
      {"requests longer than the readiness grace", 1, 2500, DoNothing},
      {"another daemon was killed just before", 2, 2500,
       [](fault_rig& r, std::size_t daemon) {
         r.Cell().Daemon((daemon + 1) % r.Cell().DaemonCount()).Kill();
       }},
      {"key-value service slow", 1, 1500,
       [](fault_rig& r, std::size_t /*daemon*/) {
         r.SetKvFaults(R"({"slow_ms": 200})");
       }},
  }};
  std::int64_t violated = 0;
  for (const auto& row : cases) {
    BOOST_TEST_CONTEXT(row.name) {
      rig->StartLoad();
      rig->Cell().Clock().SleepFor(milliseconds(300 + rig->RandomBelow(300)));
      const auto violations = CheckPlannedStop(*rig, row);
      for (const auto& line : violations) BOOST_ERROR("guarantee 7: " << line);
      if (!violations.empty()) ++violated;
      rig->SetKvFaults("{}");
      rig->StopSubmitting();
      // Restarts only killed daemons: the others take over the work of the
      // stopped one before it returns.
      for (std::size_t index = 0; index < rig->Cell().DaemonCount(); ++index) {
        if (index == row.daemon || rig->Cell().Daemon(index).IsRunning()) {
          continue;
        }
        BOOST_CHECK(Attempt([&] { return rig->Cell().RestartDaemon(index); }));
      }
      BOOST_CHECK(rig->WaitForServices(kRecoveryTimeoutMs));
      BOOST_CHECK(rig->WaitForJobs(kRecoveryTimeoutMs));
      rig->StopLoad();
      for (const auto& job : rig->AcceptedJobs()) {
        BOOST_CHECK_EQUAL(job.end_state, "finished");
      }
      for (const auto& line : rig->NewCapacityBreaches()) BOOST_ERROR(line);
      for (const auto& line : rig->NewTaskOverlaps()) BOOST_ERROR(line);
      BOOST_REQUIRE(
          Attempt([&] { return rig->Cell().RestartDaemon(row.daemon); }));
      BOOST_REQUIRE(rig->Cell().WaitUntil(kRecoveryTimeoutMs, [&] {
        return SendRequest(rig->Cell().DaemonAddress(row.daemon),
                           {"GET", "/readyz", "", {}, 2000})
                   .status == 200;
      }));
      BOOST_REQUIRE(rig->WaitForServices(kRecoveryTimeoutMs));
    }
  }
  ReportGuarantee(7, cases.size(), violated, "stops");
}

}  // namespace apricotwheel::testing

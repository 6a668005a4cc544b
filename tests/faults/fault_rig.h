#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "kernel/random.h"
#include "testing/cell/fault_report.h"
#include "testing/cell/process_cell.h"
#include "testing/cell/task_journal.h"

namespace apricotwheel::testing {

// What the callers of one run saw.
struct traffic_counts {
  std::atomic<int> completed = 0;
  std::atomic<int> not_run = 0;
  std::atomic<int> unknown = 0;
  std::atomic<int> no_response = 0;
};

struct accepted_job {
  std::string id;
  std::int64_t accepted_at_ms = 0;  // CLOCK_MONOTONIC, as in the journal.
  std::string end_state;            // Empty until it was read.
  std::int64_t ended_at_ms = 0;
};

// A cell of three daemons under a mix of services, batch jobs and gangs. The
// timeouts of its settings are shorter than the defaults, so that many cases
// fit into one run.
class fault_rig {
 public:
  // The folder and the seed are printed. APRICOTWHEEL_SEED sets the seed.
  static std::unique_ptr<fault_rig> Start(const std::string& name,
                                          int base_port);
  ~fault_rig();

  process_cell& Cell() { return *cell_; }
  std::uint64_t RandomBelow(std::uint64_t bound) {
    return NextBelow(random_, bound);
  }
  // All instances of the document accept requests.
  bool WaitForServices(int timeout_ms);

  void StartLoad();
  void StopSubmitting() { submitting_ = false; }
  void StopLoad();
  const traffic_counts& Traffic() const { return counts_; }

  std::vector<accepted_job> AcceptedJobs();
  // Waits until every accepted job has ended. False after `timeout_ms`.
  bool WaitForJobs(int timeout_ms);
  // Waits until a job is accepted after `since_ms`; returns the time between,
  // or -1 after `timeout_ms`.
  std::int64_t WaitForAcceptedAfter(std::int64_t since_ms, int timeout_ms);

  std::vector<std::string> OwnedWorkers(std::size_t daemon);
  http_response SetWorkerFaults(const std::string& worker,
                                const std::string& faults);
  http_response SetKvFaults(const std::string& faults);
  http_response PostToVmList(const std::string& path, const std::string& body);

  // Violations of guarantees 1 and 2 in the journal since the last call.
  std::vector<std::string> NewCapacityBreaches();
  std::vector<std::string> NewTaskOverlaps();
  // Service tasks that run on more or fewer places than declared.
  std::string DescribeServiceMismatch();

 private:
  fault_rig() = default;
  void SendRequests(std::uint64_t seed);
  void SubmitJobs(std::uint64_t seed);

  std::unique_ptr<process_cell> cell_;
  random_source random_{};
  std::atomic<bool> running_ = false;
  std::atomic<bool> submitting_ = false;
  std::vector<std::thread> threads_;
  traffic_counts counts_;
  std::mutex mutex_;
  std::vector<accepted_job> jobs_;
  std::size_t breaches_seen_ = 0;
  std::size_t overlaps_seen_ = 0;
  int load_starts_ = 0;
};

// Milliseconds of CLOCK_MONOTONIC.
std::int64_t MonotonicNowMs();

// Text of the operators' document of the rig's cell.
std::string RigDocument(const std::string& drained = "");

}  // namespace apricotwheel::testing

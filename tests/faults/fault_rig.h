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

// Outcomes of the service requests that the load has sent.
struct traffic_counts {
  std::atomic<int> completed = 0;
  std::atomic<int> not_run = 0;
  std::atomic<int> unknown = 0;
  std::atomic<int> no_response = 0;
};

struct accepted_job {
  std::string id;
  std::int64_t accepted_at_ms = 0;  // CLOCK_MONOTONIC, as in the journal.
  std::string end_state;            // Empty until the first read.
  std::int64_t ended_at_ms = 0;
};

// A cell of three daemons with a load of service requests, batch jobs and
// gangs. Its timeouts are shorter than the defaults to keep the tests short.
class fault_rig {
 public:
  // Starts the cell and prints its log folder and the seed, which the
  // environment variable APRICOTWHEEL_SEED sets. Returns null if the cell does
  // not start.
  static std::unique_ptr<fault_rig> Start(const std::string& name,
                                          int base_port);
  ~fault_rig();

  process_cell& Cell() { return *cell_; }
  std::uint64_t RandomBelow(std::uint64_t bound) {
    return NextBelow(random_, bound);
  }
  // Waits until all instances of the document accept requests. Returns false
  // after `timeout_ms`.
  bool WaitForServices(int timeout_ms);

  void StartLoad();
  void StopSubmitting() { submitting_ = false; }
  void StopLoad();
  const traffic_counts& Traffic() const { return counts_; }

  std::vector<accepted_job> AcceptedJobs();
  // Waits until every accepted job has ended. Returns false after `timeout_ms`.
  bool WaitForJobs(int timeout_ms);
  // Waits until a job is accepted after `since_ms`. Returns the time from
  // `since_ms` to that, or -1 after `timeout_ms`.
  std::int64_t WaitForAcceptedAfter(std::int64_t since_ms, int timeout_ms);

  // Returns the workers that `daemon` owns according to its status.
  std::vector<std::string> OwnedWorkers(std::size_t daemon);
  http_response SetWorkerFaults(const std::string& worker,
                                const std::string& faults);
  http_response SetKvFaults(const std::string& faults);
  http_response PostToVmList(const std::string& path, const std::string& body);

  // Return the violations of guarantee 1 (no worker exceeds its capacity) and
  // of guarantee 2 (no task runs twice at a time) since the previous call.
  std::vector<std::string> NewCapacityBreaches();
  std::vector<std::string> NewTaskOverlaps();
  // Describes service tasks that run more than once or not at all. Returns an
  // empty text if there are none.
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

// Returns the time of CLOCK_MONOTONIC in milliseconds.
std::int64_t MonotonicNowMs();

// Returns the document of the rig's cell, with `drained` as its drain list.
std::string RigDocument(const std::string& drained = "");

}  // namespace apricotwheel::testing

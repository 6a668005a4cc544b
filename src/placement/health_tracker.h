#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/clock.h"

namespace apricotwheel {

struct health_settings {
  // A worker is quarantined when this many jobs have failed on it, and a job is
  // at fault when it has failed on this many workers.
  std::size_t failed_jobs_to_quarantine = 3;
  std::size_t failed_workers_to_fault_job = 3;
  // Older failures are ignored.
  duration window = std::chrono::minutes(10);
  // Duration of the first quarantine. Each further one lasts twice as long, up
  // to the limit.
  duration quarantine_base = std::chrono::minutes(1);
  duration quarantine_limit = std::chrono::hours(1);
  // Tasks that must succeed before probation ends.
  std::uint32_t probation_successes = 3;
};

enum class worker_health {
  kHealthy,
  kQuarantined,  // Gets no tasks.
  kProbation,    // Gets one task at a time; a failure quarantines it.
};

struct failure_record {
  std::string name;  // Id of the job or the worker.
  time_point failed_at;
};

struct tracked_worker {
  // Each job once, with its last failure.
  std::vector<failure_record> failed_jobs;
  int quarantines = 0;
  bool quarantined = false;  // Also during probation.
  time_point quarantine_end;
  std::uint32_t successes_in_probation = 0;
};

struct tracked_job {
  std::vector<failure_record> failed_workers;  // Each worker once.
  bool at_fault = false;
};

// Decides whether failures are caused by a worker or by a job: a worker on
// which many jobs fail is quarantined, a job that fails on many workers is at
// fault. Only the functions below may change it. Not thread-safe.
struct health_tracker {
  health_settings settings;
  std::map<std::string, tracked_worker, std::less<>> workers;
  std::map<std::string, tracked_job, std::less<>> jobs;
};

// Records that a task of the job failed on the worker. Failures of a job at
// fault do not count against workers, which may end a quarantine. Failures on a
// quarantined worker do not count against jobs.
void RecordFailure(health_tracker& tracker, std::string_view worker,
                   std::string_view job, time_point now);

// Records that a task of the job succeeded on the worker.
void RecordSuccess(health_tracker& tracker, std::string_view worker,
                   std::string_view job, time_point now);

worker_health HealthOf(const health_tracker& tracker, std::string_view worker,
                       time_point now);

// Returns true if the job failed on several workers that are not in quarantine.
// It should not be started again.
bool IsJobAtFault(const health_tracker& tracker, std::string_view job);

// Returns the workers on which the job failed, for `excluded_workers` of a
// request.
std::vector<std::string> FailedWorkers(const health_tracker& tracker,
                                       std::string_view job);

void ForgetWorker(health_tracker& tracker, std::string_view worker);
void ForgetJob(health_tracker& tracker, std::string_view job);

// Removes workers and jobs whose failures are all older than the window.
void ForgetExpired(health_tracker& tracker, time_point now);

}  // namespace apricotwheel

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/clock.h"

namespace apricotwheel {

struct health_settings {
  // Failed jobs on one worker, and failed workers of one job, that decide.
  std::size_t failed_jobs_to_quarantine = 3;
  std::size_t failed_workers_to_fault_job = 3;
  // Older failures are forgotten.
  duration window = std::chrono::minutes(10);
  // The first quarantine; each further one lasts twice as long, up to the
  // limit.
  duration quarantine_base = std::chrono::minutes(1);
  duration quarantine_limit = std::chrono::hours(1);
  // Tasks that must succeed in probation, and that may run at once there.
  std::uint32_t probation_successes = 3;
};

enum class worker_health {
  kHealthy,
  kQuarantined,  // Gets no tasks.
  kProbation,    // Gets one task at a time; a failure returns it to quarantine.
};

struct failure_record {
  std::string name;  // The job, or the worker.
  time_point failed_at;
};

struct tracked_worker {
  std::vector<failure_record> failed_jobs;  // Each job once, the latest time.
  int quarantines = 0;
  bool quarantined = false;  // Until the quarantine ends and probation is over.
  time_point quarantine_end;
  std::uint32_t successes_in_probation = 0;
};

struct tracked_job {
  std::vector<failure_record> failed_workers;  // Each worker once.
  bool at_fault = false;
};

// Tells a bad worker from a bad job by who fails with whom. Plain data, to be
// changed only by the functions below; not thread-safe.
struct health_tracker {
  health_settings settings;
  std::map<std::string, tracked_worker, std::less<>> workers;
  std::map<std::string, tracked_job, std::less<>> jobs;
};

// A task of the job failed on the worker. A job at fault no longer counts
// against any worker, which may end a quarantine; a quarantined worker no
// longer counts against any job.
void RecordFailure(health_tracker& tracker, std::string_view worker,
                   std::string_view job, time_point now);

// A task of the job succeeded on the worker.
void RecordSuccess(health_tracker& tracker, std::string_view worker,
                   std::string_view job, time_point now);

worker_health HealthOf(const health_tracker& tracker, std::string_view worker,
                       time_point now);

// True if the job failed on several workers that are not themselves at fault.
// It should not be started again.
bool IsJobAtFault(const health_tracker& tracker, std::string_view job);

// Workers on which the job failed, for `excluded_workers` of a request.
std::vector<std::string> FailedWorkers(const health_tracker& tracker,
                                       std::string_view job);

void ForgetWorker(health_tracker& tracker, std::string_view worker);
void ForgetJob(health_tracker& tracker, std::string_view job);

// Drops records that say nothing any more.
void ForgetExpired(health_tracker& tracker, time_point now);

}  // namespace apricotwheel

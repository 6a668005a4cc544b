#include "placement/health_tracker.h"

#include <algorithm>

namespace apricotwheel {
namespace {

// Adds a failure, and removes earlier ones of the same name and old ones.
void AddFailure(std::vector<failure_record>& records, std::string_view name,
                time_point now, duration window) {
  records.erase(std::remove_if(records.begin(), records.end(),
                               [&](const failure_record& each) {
                                 return each.name == name ||
                                        now - each.failed_at > window;
                               }),
                records.end());
  records.push_back({std::string(name), now});
}

void RemoveFailures(std::vector<failure_record>& records,
                    std::string_view name) {
  records.erase(std::remove_if(records.begin(), records.end(),
                               [&](const failure_record& each) {
                                 return each.name == name;
                               }),
                records.end());
}

void QuarantineWorker(const health_settings& settings, tracked_worker& worker,
                      time_point now) {
  constexpr int kMaxDoublings = 20;
  const auto factor = std::int64_t{1}
                      << std::min(worker.quarantines, kMaxDoublings);
  ++worker.quarantines;
  worker.quarantined = true;
  worker.quarantine_end = now + std::min(settings.quarantine_limit,
                                         settings.quarantine_base * factor);
  worker.successes_in_probation = 0;
}

// Removes the failures of a job at fault from its workers. Workers that would
// not be in quarantine without them are released.
void ClearFailuresOfJob(health_tracker& tracker, const tracked_job& job,
                        std::string_view name) {
  for (const failure_record& record : job.failed_workers) {
    const auto found = tracker.workers.find(record.name);
    if (found == tracker.workers.end()) continue;
    tracked_worker& worker = found->second;
    RemoveFailures(worker.failed_jobs, name);
    if (worker.quarantined && worker.failed_jobs.size() <
                                  tracker.settings.failed_jobs_to_quarantine) {
      worker.quarantined = false;
      worker.quarantines = std::max(worker.quarantines - 1, 0);
    }
  }
}

bool IsQuarantined(const health_tracker& tracker, const std::string& worker) {
  const auto found = tracker.workers.find(worker);
  return found != tracker.workers.end() && found->second.quarantined;
}

}  // namespace

void RecordFailure(health_tracker& tracker, std::string_view worker_id,
                   std::string_view job_id, time_point now) {
  const health_settings& settings = tracker.settings;
  tracked_worker& worker = tracker.workers[std::string(worker_id)];
  tracked_job& job = tracker.jobs[std::string(job_id)];
  AddFailure(job.failed_workers, worker_id, now, settings.window);
  if (!job.at_fault) {
    const auto healthy =
        std::count_if(job.failed_workers.begin(), job.failed_workers.end(),
                      [&](const failure_record& each) {
                        return !IsQuarantined(tracker, each.name);
                      });
    if (static_cast<std::size_t>(healthy) >=
        settings.failed_workers_to_fault_job) {
      job.at_fault = true;
      ClearFailuresOfJob(tracker, job, job_id);
    }
  }
  if (job.at_fault) return;
  AddFailure(worker.failed_jobs, job_id, now, settings.window);
  const bool in_probation = worker.quarantined && now >= worker.quarantine_end;
  if (in_probation ||
      (!worker.quarantined &&
       worker.failed_jobs.size() >= settings.failed_jobs_to_quarantine)) {
    QuarantineWorker(settings, worker, now);
  }
}

void RecordSuccess(health_tracker& tracker, std::string_view worker_id,
                   std::string_view job_id, time_point now) {
  const auto job = tracker.jobs.find(job_id);
  if (job != tracker.jobs.end())
    RemoveFailures(job->second.failed_workers, worker_id);
  const auto found = tracker.workers.find(worker_id);
  if (found == tracker.workers.end()) return;
  tracked_worker& worker = found->second;
  if (!worker.quarantined) {
    // One success offsets the oldest failed job.
    if (!worker.failed_jobs.empty()) {
      worker.failed_jobs.erase(worker.failed_jobs.begin());
    }
    return;
  }
  // A success during quarantine is of a task that started before it and proves
  // nothing about the worker.
  if (now < worker.quarantine_end) return;
  if (++worker.successes_in_probation < tracker.settings.probation_successes) {
    return;
  }
  worker.quarantined = false;
  worker.failed_jobs.clear();
}

worker_health HealthOf(const health_tracker& tracker, std::string_view worker,
                       time_point now) {
  const auto found = tracker.workers.find(worker);
  if (found == tracker.workers.end() || !found->second.quarantined) {
    return worker_health::kHealthy;
  }
  return now < found->second.quarantine_end ? worker_health::kQuarantined
                                            : worker_health::kProbation;
}

bool IsJobAtFault(const health_tracker& tracker, std::string_view job) {
  const auto found = tracker.jobs.find(job);
  return found != tracker.jobs.end() && found->second.at_fault;
}

std::vector<std::string> FailedWorkers(const health_tracker& tracker,
                                       std::string_view job) {
  std::vector<std::string> names;
  const auto found = tracker.jobs.find(job);
  if (found == tracker.jobs.end()) return names;
  for (const failure_record& record : found->second.failed_workers) {
    names.push_back(record.name);
  }
  return names;
}

void ForgetWorker(health_tracker& tracker, std::string_view worker) {
  const auto found = tracker.workers.find(worker);
  if (found != tracker.workers.end()) tracker.workers.erase(found);
}

void ForgetJob(health_tracker& tracker, std::string_view job) {
  const auto found = tracker.jobs.find(job);
  if (found != tracker.jobs.end()) tracker.jobs.erase(found);
}

void ForgetExpired(health_tracker& tracker, time_point now) {
  const duration window = tracker.settings.window;
  const auto is_old = [&](const failure_record& each) {
    return now - each.failed_at > window;
  };
  std::erase_if(tracker.jobs, [&](const auto& item) {
    const auto& records = item.second.failed_workers;
    return std::all_of(records.begin(), records.end(), is_old);
  });
  std::erase_if(tracker.workers, [&](const auto& item) {
    const auto& records = item.second.failed_jobs;
    return !item.second.quarantined &&
           std::all_of(records.begin(), records.end(), is_old);
  });
}

}  // namespace apricotwheel

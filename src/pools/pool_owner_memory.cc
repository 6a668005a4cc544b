// The memory that accepted jobs take: refusals of new jobs, and jobs of earlier
// owners that wait in the store until there is memory for them.
#include <algorithm>
#include <tuple>
#include <utility>

#include "graph/job_footprint.h"
#include "pools/pool_events.h"
#include "pools/pool_owner.h"

namespace apricotwheel {

namespace {

constexpr auto kDeferredCheckInterval = milliseconds(200);
constexpr auto kMemoryReportInterval = milliseconds(2000);
// Memory becomes free when jobs end, which no estimate tells. Callers have a
// few seconds, so they are spread over two.
constexpr std::int64_t kMemoryRetryAfterMs = 1000;
constexpr std::uint64_t kMemoryRetrySpread = 2;
// At a takeover this part of the free memory is left to new jobs.
constexpr std::size_t kLoadReserveDivisor = 4;

}  // namespace

std::string pool_owner::MemoryKey() const {
  return options_.pool + "#" + std::to_string(options_.epoch);
}

void pool_owner::UpdateJobMemory() {
  if (options_.jobs_memory == nullptr || is_stopped_) return;
  options_.jobs_memory->SetUsed(MemoryKey(), scheduler_->JobMemoryBytes());
}

std::size_t pool_owner::MemoryToLoad() const {
  if (options_.jobs_memory == nullptr) {
    return std::numeric_limits<std::size_t>::max();
  }
  const std::size_t free = options_.jobs_memory->FreeBytes();
  return free - free / kLoadReserveDivisor;
}

std::optional<job_call_response> pool_owner::ReserveMemory(
    const job_submission& job) {
  if (options_.jobs_memory == nullptr) return std::nullopt;
  const std::size_t bytes = EstimateJobMemory(job);
  const std::size_t limit = options_.least_job_memory();
  job_call_response response;
  switch (options_.jobs_memory->Reserve(bytes, limit)) {
    case job_grant::kGranted:
      return std::nullopt;
    case job_grant::kTooLarge:
      response.status = job_call_status::kInvalid;
      response.reason = "the job has more steps and tasks than fit in memory";
      return response;
    case job_grant::kNoneNow:
      break;
  }
  options_.metrics->memory_refusals.Increment();
  response.status = job_call_status::kRefused;
  response.retry_after_ms =
      kMemoryRetryAfterMs *
      static_cast<std::int64_t>(1 + ++memory_refusals_ % kMemoryRetrySpread);
  response.reason = "the accepted jobs take the memory of the pool's owner";
  const auto now = options_.clock->Now();
  if (now - memory_reported_at_ < kMemoryReportInterval) return response;
  memory_reported_at_ = now;
  Emit(options_.log, pool_events::kMemoryRefusals,
       {Field("pool", options_.pool), Field("refused", memory_refusals_),
        Field("job_bytes", bytes),
        Field("used_bytes", options_.jobs_memory->UsedBytes()),
        Field("limit_bytes", std::min(limit, options_.jobs_memory->MaxBytes())),
        Field("deferred", deferred_jobs_.size())});
  return response;
}

const deferred_job* pool_owner::FindDeferred(std::string_view job_id) const {
  const auto found = deferred_jobs_.find(job_id);
  return found == deferred_jobs_.end() ? nullptr : &found->second;
}

std::size_t pool_owner::CountDeferred(std::string_view queue) const {
  return static_cast<std::size_t>(std::count_if(
      deferred_jobs_.begin(), deferred_jobs_.end(), [&](const auto& row) {
        return row.second.queue == queue &&
               row.second.state == job_state::kQueued;
      }));
}

bool pool_owner::LoadDeferred(const std::string& job_id) {
  auto read = Attempt([&] { return journal_->ReadJob(job_id); });
  const std::int64_t wall_ms = WallClockMs();
  const std::lock_guard lock(mutex_);
  if (is_stopped_) return false;
  if (!deferred_jobs_.contains(job_id)) return true;
  if (!read) return false;
  deferred_jobs_.erase(deferred_jobs_.find(job_id));
  std::optional<stored_job>& job = *read;
  if (job) {
    const auto age = milliseconds(
        std::max<std::int64_t>(0, wall_ms - job->submission.accepted_at_ms));
    scheduler_->RestoreJob(std::move(job->submission), std::move(job->progress),
                           options_.clock->Now() - age);
  }
  UpdateJobMemory();
  RequestDecision();
  return true;
}

bool pool_owner::LoadReported(const worker_report& report) {
  std::set<std::string> wanted;
  {
    const std::lock_guard lock(mutex_);
    if (deferred_jobs_.empty()) return true;
    const auto add = [&](const task_key& task) {
      if (FindDeferred(task.job_id) != nullptr) wanted.insert(task.job_id);
    };
    for (const reported_run& run : report.running) add(run.task);
    for (const reported_end& end : report.ended) add(end.task);
  }
  return std::all_of(wanted.begin(), wanted.end(),
                     [&](const std::string& id) { return LoadDeferred(id); });
}

std::string pool_owner::NextDeferred() const {
  const std::size_t free = options_.jobs_memory->FreeBytes();
  using rank = std::tuple<bool, int, std::int64_t>;
  const auto rank_of = [](const deferred_job& job) {
    return rank{job.state == job_state::kQueued, job.priority,
                job.accepted_at_ms};
  };
  auto next = deferred_jobs_.end();
  for (auto it = deferred_jobs_.begin(); it != deferred_jobs_.end(); ++it) {
    // As a new job, it leaves room for others. One alone is always loaded.
    const bool fits =
        it->second.memory_bytes <= free / 2 || scheduler_->CountOpenJobs() == 0;
    if (!fits) continue;
    if (next == deferred_jobs_.end() ||
        rank_of(it->second) < rank_of(next->second)) {
      next = it;
    }
  }
  return next == deferred_jobs_.end() ? std::string() : next->first;
}

void pool_owner::RunDeferredLoads() {
  while (true) {
    std::string next;
    {
      std::unique_lock lock(mutex_);
      options_.clock->WaitUntil(
          lock, deferred_changed_, time_point::max(),
          [&] { return is_stopped_ || !deferred_jobs_.empty(); });
      if (is_stopped_) return;
      next = NextDeferred();
    }
    if (!next.empty() && LoadDeferred(next)) continue;
    std::unique_lock lock(mutex_);
    options_.clock->WaitFor(lock, deferred_changed_, kDeferredCheckInterval,
                            [&] { return is_stopped_; });
  }
}

}  // namespace apricotwheel

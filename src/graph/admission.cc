#include "graph/admission.h"

#include <algorithm>
#include <chrono>

#include "graph/queue_order.h"

namespace apricotwheel {

namespace {

// A measured overload counts for this long, because the pauses between the
// starts of large tasks last some seconds and tell nothing about the rate.
constexpr auto kOverloadMemory = milliseconds(4000);
// Weight of the last interval in the smoothed rate of an overloaded queue.
constexpr double kRateWeight = 0.5;
// Part of the rate that is kept in an interval without a backlog. Its starts
// show how much was wanted and not how much is possible.
constexpr double kRateKept = 0.75;
// Callers have about 3 s and round up to whole seconds, so that a third second
// would be too late for them.
constexpr std::int64_t kRetryUnitMs = 1000;
constexpr std::uint64_t kLongRetriesPerShort = 3;
// An estimate that is further ahead is not worth more.
constexpr std::int64_t kMaxRetryMs = 60'000;

// Returns the larger of the last and the smoothed rate: an interval in which
// more was started shows at once that more is possible.
double SmoothRate(double rate, double last) {
  return std::max(last, rate + kRateWeight * (last - rate));
}

double Ratio(std::int64_t need, std::int64_t capacity) {
  return capacity > 0
             ? static_cast<double>(need) / static_cast<double>(capacity)
             : 0.0;
}

}  // namespace

task_load LoadOf(const graph_step& step, double count,
                 const resource_vector& capacity) {
  constexpr double kMsPerSecond = 1000;
  const double share =
      std::max({Ratio(step.need.cpu_milli, capacity.cpu_milli),
                Ratio(step.need.memory_mib, capacity.memory_mib),
                Ratio(step.need.accelerators, capacity.accelerators)});
  return {count,
          count * share * static_cast<double>(step.estimate_ms) / kMsPerSecond};
}

task_load& task_load::operator+=(const task_load& other) {
  tasks += other.tasks;
  pool_seconds += other.pool_seconds;
  return *this;
}

task_load& task_load::operator-=(const task_load& other) {
  tasks = std::max(0.0, tasks - other.tasks);
  pool_seconds = std::max(0.0, pool_seconds - other.pool_seconds);
  return *this;
}

void EndLoadInterval(queue_load& load, duration length, time_point now) {
  const double seconds = std::chrono::duration<double>(length).count();
  const task_load last{load.started.tasks / seconds,
                       load.started.pool_seconds / seconds};
  task_load& rate = load.drained_per_second;
  if (load.ready_at_begin <= load.started.tasks) {
    rate.tasks = std::max(last.tasks, kRateKept * rate.tasks);
    rate.pool_seconds =
        std::max(last.pool_seconds, kRateKept * rate.pool_seconds);
  } else if (load.started.tasks > 0) {
    rate.tasks = SmoothRate(rate.tasks, last.tasks);
    rate.pool_seconds = SmoothRate(rate.pool_seconds, last.pool_seconds);
    load.overloaded_until = now + duration(kOverloadMemory);
  }
  load.ready_at_begin = load.ready_tasks;
  load.started = {};
}

admission_estimate EstimateAdmission(const queue_load& load, const new_job& job,
                                     time_point now) {
  admission_estimate estimate;
  estimate.completion = job.critical_path;
  estimate.limit = kLateLimitFactor * job.objective;
  const task_load& rate = load.drained_per_second;
  if (now >= load.overloaded_until || rate.tasks <= 0) return estimate;
  // A pool that is not full is limited by the starts that its owner can order,
  // a full one by the work. The work counts at least at the pool's capacity,
  // and at the measured rate where run times are shorter than estimated.
  const double by_starts = load.waiting.tasks / rate.tasks;
  const double by_capacity =
      load.waiting.pool_seconds / std::max(1.0, rate.pool_seconds);
  const double by_work = rate.pool_seconds > 0
                             ? load.waiting.pool_seconds / rate.pool_seconds
                             : by_starts;
  const double seconds = std::max(by_capacity, std::min(by_starts, by_work));
  estimate.wait = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
  estimate.completion += estimate.wait;
  estimate.is_refused = estimate.completion > estimate.limit;
  return estimate;
}

admission_estimate EstimateShare(const queue_load& load,
                                 const organisation_load& organisation,
                                 const new_job& job, time_point now) {
  queue_load seen;
  seen.waiting =
      organisation.is_beyond_rate ? load.waiting : organisation.ahead;
  seen.drained_per_second = load.drained_per_second;
  seen.overloaded_until = load.overloaded_until;
  admission_estimate estimate = EstimateAdmission(seen, job, now);
  if (organisation.is_beyond_rate && estimate.wait > duration{}) {
    estimate.limit = job.objective;
    estimate.is_refused = estimate.completion > estimate.limit;
  }
  if (estimate.is_refused) {
    estimate.retry_after = std::max(estimate.completion - estimate.limit,
                                    organisation.to_entitlement);
  }
  return estimate;
}

std::int64_t RetryAfterMs(const admission_estimate& estimate,
                          std::uint64_t ordinal) {
  if (estimate.retry_after > duration{}) {
    return std::clamp<std::int64_t>(ToMs(estimate.retry_after), kRetryUnitMs,
                                    kMaxRetryMs);
  }
  const duration excess = estimate.completion - estimate.limit;
  const bool is_short = excess <= duration(milliseconds(kRetryUnitMs))
                            ? ordinal % 2 == 0
                            : ordinal % kLongRetriesPerShort == 0;
  return is_short ? kRetryUnitMs : 2 * kRetryUnitMs;
}

}  // namespace apricotwheel

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "graph/job_graph.h"
#include "kernel/clock.h"
#include "kernel/resources.h"

namespace apricotwheel {

// Decides whether a pool can serve another job of a queue. What is measured:
// the starts, and the work of the started tasks, in each interval in which more
// tasks were ready at its begin than were started. What is assumed: that run
// times are as the submitters estimated them, and that a queue goes on being
// drained at the rate measured last.

// An amount of tasks.
struct task_load {
  double tasks = 0;
  // Capacity of the pool that the tasks need, times their run time: 1 fills the
  // pool for a second. Each task counts by the resource that it needs most of.
  double pool_seconds = 0;

  task_load& operator+=(const task_load& other);
  // Does not go below zero.
  task_load& operator-=(const task_load& other);
};

// Returns the load of `count` tasks of a step in a pool with this capacity.
task_load LoadOf(const graph_step& step, double count,
                 const resource_vector& capacity);

// What is known about the waiting work of one queue of a pool.
struct queue_load {
  // Tasks of accepted jobs that have to be started, ready or not. Tasks of jobs
  // that are too late count as well, because they have to run, too.
  task_load waiting;
  double ready_tasks = 0;  // Of these, tasks that could start now.
  // The waiting tasks by the organisations of their jobs, without those beyond
  // their rates; an empty name stands for none. Filled only with organisations.
  std::map<std::string, task_load, std::less<>> waiting_by_organisation;

  // Of the current interval.
  double ready_at_begin = 0;
  task_load started;

  task_load drained_per_second;
  // Until this time the measured rate is what the pool can do for the queue.
  time_point overloaded_until{};
  time_point refused_at{};  // When a job was last refused.
};

// The rate of a queue is measured over intervals of this length. A shorter one
// would take the normal wait for approvals for a backlog.
inline constexpr auto kLoadInterval = milliseconds(1000);

// Updates the rate at the end of an interval of `length`, and begins the next
// one.
void EndLoadInterval(queue_load& load, duration length, time_point now);

// How busy the workers of a pool or partition are.
struct pool_load {
  double backlog_seconds = 0;  // Waiting work, in pool-seconds.
  double busy_share = 0;       // Of the resource that is used most.
  bool has_workers = true;     // Without, waiting work never starts.

  friend bool operator==(const pool_load&, const pool_load&) = default;
};

struct new_job {
  duration critical_path{};
  duration objective{};
};

struct admission_estimate {
  duration wait{};        // Until the work ahead of the job is started.
  duration completion{};  // From now on.
  duration limit{};       // After it the result is worth nothing.
  bool is_refused = false;
  // For a job of an organisation: when its own work is expected to have become
  // small enough, and its rate allows another job.
  duration retry_after{};
};

// Estimates the completion of a job behind all waiting work of its queue.
// Nothing is refused without a measured overload.
admission_estimate EstimateAdmission(const queue_load& load, const new_job& job,
                                     time_point now);

// What an organisation's new job finds.
struct organisation_load {
  task_load ahead;  // Waiting work that is started before the job.
  bool is_beyond_rate = false;
  duration to_entitlement{};  // Until it is entitled to another job.
};

// Like `EstimateAdmission`, for a job of an organisation. A job beyond its rate
// waits for all other work, and is refused unless it would be in time.
admission_estimate EstimateShare(const queue_load& load,
                                 const organisation_load& organisation,
                                 const new_job& job, time_point now);

// Returns when a refused caller should return. `ordinal` counts the refusals
// and spreads the callers.
std::int64_t RetryAfterMs(const admission_estimate& estimate,
                          std::uint64_t ordinal);

}  // namespace apricotwheel

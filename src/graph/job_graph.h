#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/clock.h"
#include "kernel/resources.h"

namespace apricotwheel {

// One step of a job: `task_count` equal tasks that become ready together when
// all tasks of the steps in `after` are done.
struct graph_step {
  std::uint32_t task_count = 0;
  resource_vector need;          // Resources of each task.
  std::int64_t estimate_ms = 0;  // Run time as the submitter guessed it.
  std::vector<std::uint32_t> after;
  std::string required_label;  // Label that a worker must have, or empty.
  std::string data_rack;       // Tasks run slower in other racks; or empty.
  std::uint32_t max_per_worker = 0;  // 0: no limit.
  std::string image;
  // Target for the tail latency that users of a serving task see, or 0.
  std::int64_t latency_target_ms = 0;
  std::uint32_t disruption_budget = 0;  // See docs/platform.md.
  bool has_disruption_budget = false;
  bool checkpoints = false;
  bool is_gang = false;        // All tasks start together or none does.
  bool one_rack = false;       // Tasks run slower across several racks.
  bool may_duplicate = false;  // Copies may run; the first result counts.
  bool is_service = false;     // Runs until the job is cancelled.
  bool uses_leftover = false;  // Uses processor time that is left over.
};

// Due times of a job that runs several times; each run is an occurrence.
struct run_schedule {
  std::uint32_t repetitions = 0;  // 0: the job runs once, immediately.
  std::int64_t first_run_ms = 0;  // Unix time.
  std::int64_t interval_ms = 0;
};

struct job_graph {
  std::string payload;  // Passed to each task unchanged.
  std::vector<graph_step> steps;
  run_schedule schedule;
};

// Cost of calls to the policy advisor that approves the workers of a queue, and
// the lifetime of its tickets.
struct advisor_settings {
  std::int64_t decision_us = 0;    // Per call.
  std::int64_t per_worker_us = 0;  // Added for each worker in the call.
  duration ticket_lifetime{};
};

// The rules of a queue when a job was accepted.
struct queue_rules {
  std::string name;
  std::string pool;  // Pool whose workers run the tasks.
  int priority = 0;  // 0 is the most urgent.
  std::uint32_t max_attempts = 1;
  // A job's latency objective is its critical path times `slowdown_limit`, plus
  // `target`.
  double slowdown_limit = 1;
  duration target{};
  std::optional<advisor_settings> advisor;
};

enum class job_state { kQueued, kActive, kCompleted, kFailed, kCancelled };

constexpr bool IsFinal(job_state state) {
  return state != job_state::kQueued && state != job_state::kActive;
}

// Tasks that a partition runs for a job of another partition of the pool.
struct guest_tasks {
  struct entry {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint64_t last_run = 0;  // Highest run number known of the task.
  };
  std::string home;  // The partition of the job.
  std::vector<entry> tasks;
};

// An accepted job as it is stored.
struct job_submission {
  std::string id;
  queue_rules queue;
  job_graph graph;
  std::string organisation;          // Empty if it names none.
  std::int64_t accepted_at_ms = 0;   // Unix time.
  std::optional<guest_tasks> guest;  // The only tasks that run here.
};

// Numbers of runs by task index. Most tasks have none.
using run_numbers = std::map<std::uint32_t, std::vector<std::uint64_t>>;

// Progress of one step that survives a restart of the daemon.
struct step_progress {
  std::vector<bool> done;  // By task index.
  // Numbers of the failed runs; a gang counts all in [0].
  run_numbers failed_runs;
  // Numbers of the runs that were on a worker when it crashed; a gang counts
  // all in [0].
  run_numbers crashed_runs;
  // The same for crashes that are no evidence against the task: many workers
  // fell at once, or the worker had not confirmed the run.
  run_numbers excused_runs;
  // The partitions that run tasks of the step for this one, by task index.
  std::map<std::uint32_t, std::string> lent;
};

// Progress of a job that survives a restart of the daemon, by occurrence and
// step.
struct job_progress {
  job_state state = job_state::kQueued;
  // Of the job. The record of a finished job is deleted, and its progress tells
  // whose it was.
  std::string organisation;
  bool is_guest = false;  // The job is of another partition.
  bool has_started = false;
  std::vector<std::vector<step_progress>> occurrences;
};

// Returns the duration of one occurrence if each task starts as soon as it is
// ready and runs for its estimate. With an advisor, each step also takes one
// approval call that names 30 workers.
std::int64_t CriticalPathMs(const job_graph& graph, const queue_rules& queue);

// Returns why the graph is invalid, or nothing if it is valid. Invalid are a
// graph without steps, a step without tasks or with a negative resource amount,
// and a dependency of a step on itself or on a later step.
std::optional<std::string> FindGraphError(const job_graph& graph);

}  // namespace apricotwheel

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kernel/clock.h"
#include "kernel/resources.h"

namespace apricotwheel {

// One step of a job: `task_count` equal tasks that become ready together, once
// all tasks of the steps in `after` are done.
struct graph_step {
  std::uint32_t task_count = 0;
  resource_vector need;          // Of each task.
  std::int64_t estimate_ms = 0;  // The submitter's guess; may be far off.
  std::vector<std::uint32_t> after;
  std::string required_label;        // The worker must carry it; or empty.
  std::string data_rack;             // Elsewhere the task is slower; or empty.
  std::uint32_t max_per_worker = 0;  // 0: no bound.
  std::string image;
  std::int64_t latency_target_ms = 0;   // Of a serving task's own users; or 0.
  std::uint32_t disruption_budget = 0;  // See docs/platform.md.
  bool has_disruption_budget = false;
  bool checkpoints = false;
  bool is_gang = false;        // All tasks run together or not at all.
  bool one_rack = false;       // Slower across racks.
  bool may_duplicate = false;  // Copies may run; the first to end counts.
  bool is_service = false;     // Runs until the job is cancelled.
  bool uses_leftover = false;  // Its processor share is not reserved.
};

// A job that runs several times, each occurrence at its own due time.
struct run_schedule {
  std::uint32_t repetitions = 0;  // 0: the job runs once, at once.
  std::int64_t first_run_ms = 0;  // Unix time.
  std::int64_t interval_ms = 0;
};

struct job_graph {
  std::string payload;  // Passed to each task unchanged.
  std::vector<graph_step> steps;
  run_schedule schedule;
};

// What a policy advisor that must approve workers costs.
struct advisor_settings {
  std::int64_t decision_us = 0;    // Of each call.
  std::int64_t per_worker_us = 0;  // Added for each worker that is named.
  duration ticket_lifetime{};
};

// The rules of a queue at the moment a job was accepted.
struct queue_rules {
  std::string name;
  std::string pool;  // The workers that run the queue's tasks.
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

// An accepted job, as it is stored.
struct job_submission {
  std::string id;
  queue_rules queue;
  job_graph graph;
  std::int64_t accepted_at_ms = 0;  // Unix time.
};

// What must outlast a daemon about one step.
struct step_progress {
  std::vector<bool> done;  // By task index.
  // Numbers of the runs that failed, by task index; of a gang only [0].
  std::vector<std::vector<std::uint64_t>> failed_runs;
};

// What must outlast a daemon about a job. Occurrences are numbered from 0.
struct job_progress {
  job_state state = job_state::kQueued;
  bool has_started = false;
  std::vector<std::vector<step_progress>> occurrences;
};

// Longest time that one occurrence needs if each task starts when it is ready
// and estimates hold, approvals on 30 workers included.
std::int64_t CriticalPathMs(const job_graph& graph, const queue_rules& queue);

// Says why a job of this shape cannot be run, if it cannot: no step,
// a step without tasks, or a dependency on itself or on a later step.
std::optional<std::string> FindGraphError(const job_graph& graph);

}  // namespace apricotwheel

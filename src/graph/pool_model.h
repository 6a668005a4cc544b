#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "graph/approvals.h"
#include "graph/job_graph.h"
#include "graph/worker_report.h"
#include "kernel/clock.h"

namespace apricotwheel {

struct graph_job;

enum class run_phase {
  kStarting,  // The order was given; the answer is open.
  kRunning,   // The worker has confirmed it.
  kStopping,  // It is to be stopped; it may still run, or start late.
};

// A run that may exist on a worker. Its resources are taken until the worker
// has listed its end, or its lease has surely lapsed.
struct task_run {
  task_key task;
  std::uint64_t number = 0;
  graph_job* job = nullptr;  // Null: a run of a job that is not known.
  run_phase phase = run_phase::kStarting;
  bool stop_confirmed = false;  // The stop was answered: it cannot start later.
  time_point ordered_at{};
  time_point confirmed_at{};  // Of the start's or stop's last answer.
  time_point next_stop_at{};  // When the order to stop is due (again).
  std::string checkpoint;
  std::int64_t percent = 0;
  std::int64_t load = 0;
  int speed_percent = 100;  // As last ordered.
};

struct worker_state {
  pool_worker info;
  bool is_listed = true;    // Discovery names it.
  bool is_claimed = false;  // It has answered this owner's epoch.
  // Of the agent that answered last. Discovery may name the next one first,
  // and an order may have reached that one already.
  std::int64_t agent_incarnation = 0;
  resource_vector used;  // Of all runs below.
  // Room kept for a gang or a large task that waits, while steps are placed:
  // what would still run at `reserved_from` must leave it free.
  resource_vector reserved;
  time_point reserved_from{};
  std::map<task_key, task_run> runs;
  bool has_unknown_run = false;   // Takes no work until that run is gone.
  std::uint64_t applied_end = 0;  // Ends up to here are in the progress.
  std::uint64_t stored_end = 0;   // And up to here, it is stored.
  // Runs whose lease had lapsed when they were placed again; a result of
  // theirs comes too late.
  std::set<std::pair<task_key, std::uint64_t>> expired_runs;
  int consecutive_failures = 0;
  time_point avoid_until{};
};

enum class task_phase { kWaiting, kPlaced, kDone };

struct graph_task {
  task_phase phase = task_phase::kWaiting;
  std::uint64_t last_run = 0;
  std::string checkpoint;
  std::string worker;  // Of the current run.
};

struct step_state {
  std::vector<graph_task> tasks;
  std::uint32_t waiting = 0;  // Tasks that wait to be placed.
  std::uint32_t placed = 0;
  std::uint32_t done = 0;
  std::string gang_checkpoint;  // Of all members of the next attempt.
  step_approvals approvals;
  std::set<std::string>
      reserved_workers;  // Workers whose room was kept for it.
};

struct graph_job {
  job_submission submission;
  job_progress progress;
  std::vector<std::vector<step_state>> occurrences;  // [occurrence][step]
  time_point admitted_at{};  // When it was submitted, on this clock.
  std::int64_t critical_path_ms = 0;
  std::vector<std::int64_t> longest_path_ms;  // Longest chain, by step.
  bool is_loaded = false;  // Runs of an earlier owner may exist.
  // Its final state is stored, so that no successor starts its tasks again.
  bool is_result_stored = false;
};

}  // namespace apricotwheel

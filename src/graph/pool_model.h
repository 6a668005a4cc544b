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
#include "graph/place_wait.h"
#include "graph/queue_order.h"
#include "graph/worker_report.h"
#include "graph/worker_speed.h"
#include "kernel/clock.h"

namespace apricotwheel {

struct graph_job;
struct step_state;

enum class run_phase {
  kStarting,  // The start was ordered; its result is not known.
  kRunning,   // The worker has confirmed it.
  kStopping,  // It is to be stopped; it may still run or start.
};

// A run that may exist on a worker. Its resources stay allocated until the
// worker lists its end or its lease has certainly expired.
struct task_run {
  task_key task;
  std::uint64_t number = 0;
  graph_job* job = nullptr;  // Null if the job of the run is unknown.
  run_phase phase = run_phase::kStarting;
  // The worker confirmed a stop, so that the run cannot start any more.
  bool stop_confirmed = false;
  time_point ordered_at{};
  time_point stopping_since{};
  time_point confirmed_at{};  // When the worker last confirmed its state.
  time_point next_stop_at{};  // When the next stop order is due.
  // Until then a copy of its start order may be executed, by this agent or a
  // later one of the worker. Without end while the order has no result.
  time_point may_start_until = time_point::max();
  // It was ordered from an earlier agent of the worker than the present one.
  bool is_of_earlier_agent = false;
  std::string checkpoint;
  std::int64_t percent = 0;
  std::int64_t load = 0;
  int speed_percent = 100;  // Of full speed, as last ordered.
  // When its start was confirmed to this owner, if its run time is compared
  // with others.
  time_point measured_since{};
  // A suspect (see docs/mechanisms.md) that was placed on an empty worker.
  bool is_alone = false;
};

// Resources that the expected end of a run frees.
struct expected_end {
  time_point at{};
  resource_vector freed;
};

// What the scheduler knows about a worker.
struct worker_state {
  pool_worker info;
  bool is_listed = true;    // Discovery lists it.
  bool is_claimed = false;  // It has reported to this owner.
  // Incarnation of the agent that reported last. `info` may already describe a
  // restarted agent, and orders may have reached that one.
  std::int64_t agent_incarnation = 0;
  resource_vector used;  // Sum over `runs`.
  // Resources that are kept for a waiting gang or large task while steps are
  // placed. Tasks that would still run at `reserved_from` must not use them.
  resource_vector reserved;
  time_point reserved_from{};
  const step_state* reserved_by = nullptr;  // Only compared.
  // Since the last pass the worker may have become able to take a task that it
  // could not take then.
  bool has_changed = true;
  // It had changed in a pass that left out steps because of the start limit.
  bool is_change_pending = false;
  std::map<task_key, task_run> runs;
  // Ends of `runs`, earliest first, as expected in the pass with this number.
  std::vector<expected_end> expected_ends;
  std::uint64_t expected_in_pass = 0;
  bool has_unknown_run = false;   // No task is placed here while one exists.
  std::uint64_t applied_end = 0;  // Ends up to this one are in the progress.
  // The next end that the agent lists follows `applied_end`: this owner has
  // seen all earlier ones.
  bool knows_ends = false;
  std::uint64_t stored_end = 0;  // Ends up to this one are stored.
  // Runs whose leases expired before they ended. Their tasks are placed again,
  // so that their results are ignored. The value is true if a crash of the
  // worker counts against the task.
  std::map<std::pair<task_key, std::uint64_t>, bool> expired_runs;
  time_point leases_expired_at{};
  // Its exit was counted as a crash; a report of the same agent refutes that.
  bool is_exit_assumed = false;
  // Last report or confirmed start.
  time_point last_contact_at{};
  // Between the last report and the contact before.
  duration contact_gap{};
  // The agent that reported last drains, so that its exit is no crash.
  bool is_leave_planned = false;
  // A suspect runs here, and nothing is placed beside it.
  bool is_isolated = false;
  // The worker is emptied for a suspect of the job until this time.
  std::string kept_for_job;
  time_point kept_until{};
  int consecutive_failures = 0;
  time_point avoid_until{};  // No task is placed here before.
  speed_estimate speed;      // Of this incarnation.
  // A draining worker stays at least until then.
  time_point leaves_at{};
  // Room for tasks that move here from draining workers.
  resource_vector kept_for_moves;
};

// Counts the runs on the worker of the step whose first task is `first`.
std::uint32_t CountRunsOfStep(const worker_state& worker,
                              const task_key& first);

// Returns how many tasks with this need fit into `room`, at most `limit` unless
// that is 0.
std::uint32_t CountFits(const resource_vector& need, resource_vector room,
                        std::uint32_t limit);

// Lent tasks are run by another partition.
enum class task_phase { kWaiting, kPlaced, kLent, kDone };

// State of one task of a job.
struct graph_task {
  task_phase phase = task_phase::kWaiting;
  // Highest run number known of the task. The run that the task is placed under
  // may have a lower one.
  std::uint64_t last_run = 0;
  std::string checkpoint;
  std::string worker;  // Where the task is placed, if it is.
};

// State of one step of an occurrence.
struct step_state {
  std::vector<graph_task> tasks;
  std::uint32_t waiting = 0;  // Tasks that wait to be placed.
  std::uint32_t placed = 0;
  std::uint32_t lent = 0;
  std::uint32_t done = 0;
  // For lasting tasks that are kept apart: since when some wait and none was
  // placed, and how many were placed then.
  time_point stranded_since{};
  std::uint32_t placed_when_stranded = 0;
  // All members of the next attempt start from it.
  std::string gang_checkpoint;
  step_approvals approvals;
  // Since when suspects of the step wait and none is placed.
  time_point suspects_wait_since{};
  // When workers were last kept in vain for one of them.
  time_point turn_lost_at{};
  // Crashes of workers that are counted against tasks of the step, since it
  // last had no crashed task.
  std::size_t crashes = 0;
  // As many of its tasks have ended, or have run on for a while. Kept up to
  // date while there are crashes.
  bool is_proven = false;
  // For a gang or large step: since when it waits for its first or next start.
  time_point waiting_since{};
  // Workers reserved for the step in the last pass.
  std::set<std::string> reserved_workers;
  // The last pass in which the step waited, and its place in the queue then.
  std::uint64_t queued_in_pass = 0;
  placement_rank rank;
  // The last pass after which no worker could take one more task of the step.
  // If that was the previous pass, only changed workers have to be examined.
  std::uint64_t placed_in_pass = 0;
  // The same for the workers to name in a call to the policy advisor.
  std::uint64_t named_in_pass = 0;
  // Run times near the step's data, or anywhere if it has none, and away from
  // it.
  run_time_group run_times;
  run_time_group remote_run_times;
  place_wait wait;
  // The last pass in which it waited for a better place than a free one.
  std::uint64_t waits_in_pass = 0;
};

// Returns how many tasks of the step are in the phase.
std::uint32_t& CountIn(step_state& step, task_phase phase);
// Moves a task of the step to the phase, with the counts.
void SetPhase(step_state& step, graph_task& task, task_phase phase);

// A job and the state of all its tasks.
struct graph_job {
  job_submission submission;
  job_progress progress;
  std::vector<std::vector<step_state>> occurrences;  // [occurrence][step]
  std::uint64_t number = 0;  // Counts the jobs of the scheduler.
  time_point admitted_at{};  // Submission time on the monotonic clock.
  std::int64_t critical_path_ms = 0;
  // Longest chain of estimates that begins with each step.
  std::vector<std::int64_t> longest_path_ms;
  // The job comes from the store, so an earlier owner may have runs of it.
  bool is_loaded = false;
  // Tasks with a run that was lost in a crash; a gang has index 0.
  std::set<task_key> crashed_tasks;
  int crashes = 0;  // Counted against tasks since one of them last survived.
  time_point last_crash_at{};  // When the last of them became known.
  // Since when tasks that are no suspects are held back, if they are.
  time_point held_back_since{};
  // Workers are kept for a suspect of the job.
  time_point kept_since{};
  time_point kept_until{};
  // The job came when its organisation had used up its rate.
  bool is_beyond_rate = false;
  // The final state is stored, so that no later owner starts its tasks again.
  bool is_result_stored = false;
  // See `EstimateJobMemory`.
  std::size_t memory_bytes = 0;
  // The job is being moved to another partition and must not start here.
  bool is_moving = false;
  // The tasks that the stored progress says are lent, by partition. Only these
  // may run there: a successor would run the others here.
  std::map<std::string, std::vector<task_key>> stored_lent;
};

// Orders jobs by their arrival, so that decisions do not depend on addresses.
struct earlier_job {
  bool operator()(const graph_job* left, const graph_job* right) const {
    return left->number < right->number;
  }
};
using job_set = std::set<graph_job*, earlier_job>;

// Returns true if the task is placed under its run on the worker. A worker has
// at most one run of a task, so the worker alone identifies that run.
bool IsPlacedOn(const graph_task& task, const worker_state& worker);

// Returns true if a run on the worker has been stopping for too long.
bool HasOverdueStop(const worker_state& worker, time_point now);

// Returns true if the run serves as far as the last report of the worker shows.
// A lasting task does once it reports 100 percent.
bool IsAtWork(const worker_state& worker, const task_run& run, bool is_lasting,
              time_point now);

// Returns true if only suspects may be placed on the worker.
bool IsKeptForSuspect(const worker_state& worker, time_point now);

// Returns true if the job has such a task.
bool HasTask(const graph_job& job, const task_key& task);

}  // namespace apricotwheel

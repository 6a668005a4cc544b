#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "kernel/clock.h"
#include "kernel/resources.h"

namespace apricotwheel {

// A call without a response may still be executed for this time after it was
// sent, also by an agent that has started at the worker's address since.
inline constexpr auto kMaxCallDelay = milliseconds(2000);

// Identifies one task of a job graph.
struct task_key {
  std::string job_id;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const task_key&, const task_key&) = default;
  friend bool operator<(const task_key& left, const task_key& right) {
    return std::tie(left.job_id, left.occurrence, left.step, left.index) <
           std::tie(right.job_id, right.occurrence, right.step, right.index);
  }
};

// A worker of a pool as listed by discovery.
struct pool_worker {
  std::string id;
  std::string pool;
  std::string address;  // ip:port of its agent.
  std::string failure_domain;
  std::string rack;
  std::vector<std::string> labels;
  resource_vector capacity;
  // Unix time in ms at which the agent started. A restarted agent has another
  // value and runs none of the earlier agent's tasks.
  std::int64_t incarnation = 0;
  bool is_draining = false;
  std::int64_t min_time_left_ms = 0;  // Least time left of a draining worker.

  friend bool operator==(const pool_worker&, const pool_worker&) = default;
};

// A run that a worker lists as not ended.
struct reported_run {
  task_key task;
  std::uint64_t run = 0;
  std::string checkpoint;
  std::int64_t percent = 0;
  // Over the last half second: the tail latency in ms of a serving task's
  // users, or the processor use of another task in thousandths of a core.
  std::int64_t load = 0;
};

// How a run ended.
enum class run_outcome {
  kDone,
  kFailed,           // The task or the worker failed.
  kStopped,          // A stop order ended it.
  kLeaseExpired,     // Its lease expired.
  kGangMemberEnded,  // Another member of its gang ended.
  kGangIncomplete,   // The other members of its gang did not start in time.
};

// The end of a run on a worker.
struct reported_end {
  std::uint64_t sequence = 0;  // Counts from 1 in each incarnation.
  task_key task;
  std::uint64_t run = 0;
  run_outcome outcome = run_outcome::kDone;
  std::string checkpoint;
};

// A worker's response when its runs are polled.
struct worker_report {
  std::int64_t clock_ms = 0;  // The worker's own monotonic clock.
  std::int64_t incarnation = 0;
  std::vector<reported_run> running;
  std::vector<reported_end> ended;  // Ends not acknowledged yet.
};

// The result of an order to start a run.
enum class start_result {
  kStarted,      // The run has started, now or before.
  kStaleEpoch,   // The worker has accepted a higher epoch.
  kOutdatedRun,  // A run of the task with this or a higher number ended.
  kExpired,      // The lease in the order had expired.
  kNoRoom,
  kNoTicket,          // The ticket is missing or no longer valid.
  kInvalid,           // The worker rejected the order as malformed.
  kUnhealthy,         // The worker refused the order and did nothing.
  kOtherIncarnation,  // Another incarnation of the worker responded.
  kWithdrawn,         // Not sent, because a stop of the run was ordered first.
  kUnreachable,       // The order certainly did not reach the worker.
  kUnknown,           // No response: the run may have started or may start.
};

// Returns JOB.OCCURRENCE.STEP.INDEX.
std::string FormatTask(const task_key& task);
std::string_view ToString(run_outcome outcome);
std::string_view ToString(start_result result);

}  // namespace apricotwheel

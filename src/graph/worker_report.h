#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "kernel/resources.h"

namespace apricotwheel {

// Names one task of a job graph.
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

// A worker of a pool, as discovery names it.
struct pool_worker {
  std::string id;
  std::string pool;
  std::string address;  // ip:port of its agent.
  std::string failure_domain;
  std::string rack;
  std::vector<std::string> labels;
  resource_vector capacity;
  // Unix time of the agent's start in ms; another value is another agent, which
  // runs nothing of what the earlier one ran.
  std::int64_t incarnation = 0;
  bool is_draining = false;
  std::int64_t min_time_left_ms =
      0;  // Of a draining worker: the least time left.

  friend bool operator==(const pool_worker&, const pool_worker&) = default;
};

// A run of a task that a worker has not ended yet.
struct reported_run {
  task_key task;
  std::uint64_t run = 0;
  std::string checkpoint;
  std::int64_t percent = 0;
  // Of a serving task its users' tail latency in ms, of others the processor
  // use in thousandths of a core; both of the last half second.
  std::int64_t load = 0;
};

enum class run_outcome {
  kDone,
  kFailed,           // The task's or the worker's own fault.
  kStopped,          // On an order.
  kLeaseExpired,     // Its lease expired.
  kGangMemberEnded,  // Another member of its gang ended.
  kGangIncomplete,   // The other members of its gang did not come in time.
};

struct reported_end {
  std::uint64_t sequence = 0;  // Rises from 1 in each incarnation.
  task_key task;
  std::uint64_t run = 0;
  run_outcome outcome = run_outcome::kDone;
  std::string checkpoint;
};

// What a worker says when it is asked what it runs.
struct worker_report {
  std::int64_t clock_ms = 0;  // The worker's own monotonic clock.
  std::int64_t incarnation = 0;
  std::vector<reported_run> running;
  std::vector<reported_end> ended;  // Those not acknowledged yet.
};

// How a worker answered an order to start a run.
enum class start_result {
  kStarted,      // It runs, now or already.
  kStaleEpoch,   // The worker has obeyed a higher epoch.
  kOutdatedRun,  // The run number is not above one that ended there.
  kExpired,      // The lease in the order had run out.
  kNoRoom,
  kNoTicket,          // The ticket is missing or no longer valid.
  kInvalid,           // The worker does not understand the order.
  kUnhealthy,         // The worker refused and did nothing.
  kOtherIncarnation,  // Another incarnation answered.
  kUnreachable,       // The order provably did not arrive.
  kUnknown,           // No answer: it may run, now or later.
};

std::string_view ToString(run_outcome outcome);
std::string_view ToString(start_result result);

}  // namespace apricotwheel

#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "clients/worker_client.h"
#include "kernel/clock.h"

namespace apricotwheel {

// The state of a task, not of a single attempt: a job's task whose attempt
// failed or was interrupted returns to `kPending` if it is to run again. So the
// tasks of a gang that restarts pass through no final state. Stored as a
// number: the order must not change.
enum class attempt_state {
  kPending,   // Waits to be placed.
  kPlaced,    // May be running: a place request was sent.
  kRunning,   // Its worker reported that it runs.
  kFinished,  // This and the states below are final.
  kFailed,    // Too many attempts failed.
  // Ended without a result: its job was cancelled, another task of its gang is
  // in `kFailed`, or it was a service instance and is removed.
  kStopped,
};

// A task of a job or an instance of a service, as its shard owner sees it.
struct managed_task {
  std::string task_id;
  attempt_state state = attempt_state::kPending;
  // The member that received the last place request or last reported the task.
  std::string member;
  std::string worker;     // Of the current or final attempt; empty if unknown.
  std::string partition;  // Of the worker; stop requests go to its owner.
  std::string address;    // Reported by the worker.
  // Excludes attempts that did not start or failed because of their worker.
  std::uint32_t failed_attempts = 0;
  std::vector<std::string> failed_on;  // Workers of the failed attempts.
  // Members that could not place it; cleared when none is left to try.
  std::set<std::string> tried_members;
  std::string message;  // From its worker.
  std::string reason;   // Why it is pending.
  // Last checkpoint that a worker reported; sent with the next place request.
  std::string checkpoint;
  std::int64_t waited_ms = 0;  // Until its first start.
  std::int64_t ran_ms = 0;     // Measured run time of all attempts.
  bool had_run = false;        // It was started at least once.
  bool stop_requested = false;
  resource_vector charged_resources;  // Counted against the team's quota.
  time_point queued_at;
  // The task is not queued before this time, so that a failed attempt or place
  // request is not repeated at once. The minimum means no delay.
  time_point backoff_until = time_point::min();
  time_point state_changed_at;
  // Time of the last stop request, which is repeated while the task is active.
  // The minimum means that the next one is sent without delay.
  time_point stop_sent_at = time_point::min();
};

bool HasEnded(attempt_state state);
// True while the task may hold resources.
bool IsActive(attempt_state state);

struct job_record {
  std::string job_id;
  std::string workload;
  std::string team;
  task_kind kind = task_kind::kBatch;
  priority_class priority = priority_class::kBatch;
  std::string policy;       // Name of the placement policy plug-in.
  bool spread = false;      // Spread over failure domains, then racks.
  resource_vector need;     // Of each task.
  std::int64_t run_ms = 0;  // Declared run time of each task.
  // Wall clock times, only for display.
  std::int64_t submitted_at_ms = 0;
  std::int64_t ended_at_ms = 0;  // 0 until all tasks have ended.
  bool cancelled = false;
  std::vector<managed_task> tasks;

  // The fields from here on are not stored.
  bool restarting = false;  // All active tasks of the gang are being stopped.
  // Version of the last staged record, by which `job_store` tells whether it is
  // committed.
  std::uint64_t version = 0;
  // Some version is stored. Tasks are queued only then.
  bool committed = false;
};

bool HasEnded(const job_record& job);
bool HadRun(const job_record& job);
std::string_view JobStateName(const job_record& job);

// Returns the stored form. It holds the final states and what the next owner of
// the shard needs; placements are not stored.
std::string EncodeRecord(const job_record& job);
result<job_record> DecodeRecord(const nlohmann::json& stored);

// Returns the form of the public API, see docs/api.md.
nlohmann::json DescribeJob(const job_record& job, bool with_tasks);

// A job id is `<shard>-<hash>`: two decimal digits and 16 hexadecimal digits.
// Returns the shard that a job id names, or `kShardCount` if it is malformed.
std::uint32_t ShardOfJob(std::string_view job_id);
// Derives the id from the team and `request_id`, so that a repeated submission
// gets the same id. The hash is random if `request_id` is empty.
std::string MakeJobId(std::uint32_t shard, std::string_view team,
                      std::string_view request_id);

}  // namespace apricotwheel

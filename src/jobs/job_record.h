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

enum class attempt_state {
  kPending,   // Waits to be placed.
  kPlaced,    // May be running: a place request was sent.
  kRunning,   // Its worker reported that it runs.
  kFinished,  // This and the states below are final.
  kFailed,
  kStopped,
};

// A task of a job or an instance of a service, as its shard owner sees it.
struct managed_task {
  std::string task_id;
  attempt_state state = attempt_state::kPending;
  std::string member;  // Receiver of the last place request.
  std::string worker;
  std::string partition;
  std::string address;
  std::uint32_t failed_attempts = 0;   // Failed attempts.
  std::vector<std::string> failed_on;  // Workers of the failed attempts.
  // Members that could not place it; cleared when none is left to try.
  std::set<std::string> tried_members;
  std::string message;  // From its worker.
  std::string reason;   // Why it is pending.
  std::string checkpoint;
  std::int64_t waited_ms = 0;  // Until its first start.
  std::int64_t ran_ms = 0;     // In all attempts.
  bool had_run = false;        // It was started at least once.
  bool stop_requested = false;
  resource_vector charged_resources;  // Counted against the team's quota.
  time_point queued_at;
  time_point backoff_until = time_point::min();  // End of its backoff.
  time_point state_changed_at;
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
  std::string policy;
  bool spread = false;
  resource_vector need;
  std::int64_t run_ms = 0;
  // Wall clock times, only for display.
  std::int64_t submitted_at_ms = 0;
  std::int64_t ended_at_ms = 0;  // 0 until all tasks have ended.
  bool cancelled = false;
  std::vector<managed_task> tasks;

  // Not stored.
  bool restarting = false;    // All tasks of the gang are being stopped.
  std::uint64_t version = 0;  // Returned by `job_store::Stage`.
  bool committed = false;     // Some version is stored.
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

// Returns the shard that a job id names, or `kShardCount` if it is malformed.
std::uint32_t ShardOfJob(std::string_view job_id);
// Derives the id from `request_id`, so that a repeated submission gets the same
// id. Returns a random id if `request_id` is empty.
std::string MakeJobId(std::uint32_t shard, std::string_view team,
                      std::string_view request_id);

}  // namespace apricotwheel

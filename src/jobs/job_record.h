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
  kPending,   // Waits for a place.
  kPlaced,    // May run somewhere: a place call was sent.
  kRunning,   // Its worker was seen to run it.
  kFinished,  // The last three are final.
  kFailed,
  kStopped,
};

// A task of a job or an instance of a service, as its job owner sees it.
struct managed_task {
  std::string task_id;
  attempt_state state = attempt_state::kPending;
  std::string member;  // Daemon that was asked to place it.
  std::string worker;
  std::string partition;
  std::string address;
  std::uint32_t failed_attempts = 0;    // Failed ones.
  std::vector<std::string> failed_on;   // Workers of the failed attempts.
  std::set<std::string> tried_members;  // They had no room lately.
  std::string message;
  std::string reason;  // Why it waits.
  std::string checkpoint;
  std::int64_t waited_ms = 0;
  std::int64_t ran_ms = 0;
  bool had_run = false;
  bool stop_requested = false;
  resource_vector charged_resources;  // Counted against the team's quota.
  time_point queued_at;
  time_point backoff_until = time_point::min();  // Back-off after failures.
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
  std::int64_t submitted_at_ms = 0;  // Wall clock, for people.
  std::int64_t ended_at_ms = 0;      // Wall clock; 0 until all tasks ended.
  bool cancelled = false;
  std::vector<managed_task> tasks;

  // Not stored.
  bool restarting = false;  // A gang that is stopped whole.
  std::uint64_t version = 0;
  bool committed = false;
};

bool HasEnded(const job_record& job);
bool HadRun(const job_record& job);
std::string_view JobStateName(const job_record& job);

// The stored form: what a successor needs and final states.
std::string EncodeRecord(const job_record& job);
result<job_record> DecodeRecord(const nlohmann::json& stored);

// The public form of docs/api.md.
nlohmann::json DescribeJob(const job_record& job, bool with_tasks);

// The shard in a job id; `kShardCount` if the id is malformed.
std::uint32_t ShardOfJob(std::string_view job_id);
// A deterministic id if `request_id` is not empty, else a random one.
std::string MakeJobId(std::uint32_t shard, std::string_view team,
                      std::string_view request_id);

}  // namespace apricotwheel

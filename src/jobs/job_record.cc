#include "jobs/job_record.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "cluster/cluster_view.h"
#include "config/document.h"
#include "kernel/random.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

// A placed task counts as pending until its worker reports that it runs.
std::string_view NameOf(attempt_state state) {
  switch (state) {
    case attempt_state::kPending:
    case attempt_state::kPlaced:
      return "pending";
    case attempt_state::kRunning:
      return "running";
    case attempt_state::kFinished:
      return "finished";
    case attempt_state::kFailed:
      return "failed";
    case attempt_state::kStopped:
      return "stopped";
  }
  return "pending";  // For an unknown number in a stored record.
}

// Jobs are batch or gang jobs; `task_kind::kService` is not used for them.
std::string_view NameOf(task_kind kind) {
  return kind == task_kind::kGang ? "gang" : "batch";
}

// Parts of a job id, see `ShardOfJob`.
constexpr std::size_t kShardDigits = 2;
constexpr std::size_t kHashDigits = 16;  // Hexadecimal, of a 64-bit hash.

}  // namespace

bool HasEnded(attempt_state state) { return state >= attempt_state::kFinished; }

bool IsActive(attempt_state state) {
  return state == attempt_state::kPlaced || state == attempt_state::kRunning;
}

bool HasEnded(const job_record& job) {
  return std::all_of(job.tasks.begin(), job.tasks.end(),
                     [](const auto& task) { return HasEnded(task.state); });
}

bool HadRun(const job_record& job) {
  return std::any_of(job.tasks.begin(), job.tasks.end(),
                     [](const auto& task) { return task.had_run; });
}

std::string_view JobStateName(const job_record& job) {
  if (job.cancelled) return "cancelled";
  const auto any = [&](attempt_state state) {
    return std::any_of(job.tasks.begin(), job.tasks.end(),
                       [&](const auto& task) { return task.state == state; });
  };
  if (HasEnded(job)) {
    return any(attempt_state::kFailed) || any(attempt_state::kStopped)
               ? "failed"
               : "finished";
  }
  return any(attempt_state::kRunning) ? "running" : "pending";
}

// Stores `attempt_state`, `task_kind` and `priority_class` as numbers, so the
// order of their values is part of the stored format.
std::string EncodeRecord(const job_record& job) {
  json tasks = json::array();
  for (const auto& task : job.tasks) {
    json stored = json::object();
    if (HasEnded(task.state)) stored["state"] = static_cast<int>(task.state);
    // Holds failed attempts only, unlike "attempts" in the public API.
    if (task.failed_attempts > 0) stored["attempts"] = task.failed_attempts;
    if (!task.failed_on.empty()) stored["failed_on"] = task.failed_on;
    if (!task.message.empty()) stored["message"] = task.message;
    if (!task.checkpoint.empty()) stored["checkpoint"] = task.checkpoint;
    if (HasEnded(task.state) && !task.worker.empty()) {
      stored["worker"] = task.worker;
    }
    if (task.ran_ms > 0) stored["ran_ms"] = task.ran_ms;
    if (task.waited_ms > 0) stored["waited_ms"] = task.waited_ms;
    if (task.had_run) stored["had_run"] = true;
    tasks.push_back(std::move(stored));
  }
  const json stored{{"job_id", job.job_id},
                    {"workload", job.workload},
                    {"team", job.team},
                    {"kind", static_cast<int>(job.kind)},
                    {"class", static_cast<int>(job.priority)},
                    {"policy", job.policy},
                    {"spread", job.spread},
                    {"cpu_milli", job.need.cpu_milli},
                    {"memory_mib", job.need.memory_mib},
                    {"accelerators", job.need.accelerators},
                    {"run_ms", job.run_ms},
                    {"submitted_at_ms", job.submitted_at_ms},
                    {"ended_at_ms", job.ended_at_ms},
                    {"cancelled", job.cancelled},
                    {"tasks", std::move(tasks)}};
  // Messages come from workers and may contain invalid UTF-8.
  return stored.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<job_record> DecodeRecord(const json& stored) {
  try {
    job_record job;
    job.job_id = stored.at("job_id").get<std::string>();
    job.workload = stored.at("workload").get<std::string>();
    job.team = stored.at("team").get<std::string>();
    job.kind = static_cast<task_kind>(stored.at("kind").get<int>());
    job.priority = static_cast<priority_class>(stored.at("class").get<int>());
    job.policy = stored.at("policy").get<std::string>();
    job.spread = stored.at("spread").get<bool>();
    job.need = {stored.at("cpu_milli").get<std::int64_t>(),
                stored.at("memory_mib").get<std::int64_t>(),
                stored.at("accelerators").get<std::int64_t>()};
    job.run_ms = stored.at("run_ms").get<std::int64_t>();
    job.submitted_at_ms = stored.at("submitted_at_ms").get<std::int64_t>();
    job.ended_at_ms = stored.at("ended_at_ms").get<std::int64_t>();
    job.cancelled = stored.at("cancelled").get<bool>();
    for (const auto& entry : stored.at("tasks")) {
      managed_task task;
      task.task_id = job.job_id + "/" + std::to_string(job.tasks.size());
      task.state = static_cast<attempt_state>(entry.value("state", 0));
      task.failed_attempts = entry.value("attempts", 0U);
      task.failed_on = entry.value("failed_on", std::vector<std::string>{});
      task.message = entry.value("message", std::string());
      task.checkpoint = entry.value("checkpoint", std::string());
      task.worker = entry.value("worker", std::string());
      task.ran_ms = entry.value("ran_ms", std::int64_t{0});
      task.waited_ms = entry.value("waited_ms", std::int64_t{0});
      task.had_run = entry.value("had_run", false);
      job.tasks.push_back(std::move(task));
    }
    return job;
  } catch (const json::exception& fault) {
    // A segment is a key whose value holds several records, see job_store.h.
    return Fail(
        error_kind::kCorrupt,
        std::string("a stored job record is malformed: ") + fault.what(),
        "repair the segment in the key-value service");
  }
}

json DescribeJob(const job_record& job, bool with_tasks) {
  std::int64_t waited = 0;
  for (const auto& task : job.tasks) waited = std::max(waited, task.waited_ms);
  json described{{"job_id", job.job_id},
                 {"workload", job.workload},
                 {"kind", NameOf(job.kind)},
                 {"team", job.team},
                 {"class", ToString(job.priority)},
                 {"state", JobStateName(job)},
                 {"submitted_at_ms", job.submitted_at_ms},
                 {"waited_ms", waited},
                 {"had_run", HadRun(job)}};
  if (!with_tasks) return described;
  json tasks = json::array();
  for (const auto& task : job.tasks) {
    tasks.push_back(
        {{"task_id", task.task_id},
         {"state", NameOf(task.state)},
         {"worker", task.worker},
         // The failed attempts, plus one if the task was ever started and has
         // not failed for good.
         {"attempts",
          task.failed_attempts +
              (task.had_run && task.state != attempt_state::kFailed ? 1 : 0)},
         {"waited_ms", task.waited_ms},
         {"ran_ms", task.ran_ms},
         {"message", task.message}});
  }
  described["tasks"] = std::move(tasks);
  return described;
}

std::uint32_t ShardOfJob(std::string_view job_id) {
  if (job_id.size() != kShardDigits + 1 + kHashDigits || job_id[2] != '-') {
    return kShardCount;
  }
  std::uint32_t shard = 0;
  for (const char digit : job_id.substr(0, kShardDigits)) {
    if (digit < '0' || digit > '9') return kShardCount;
    shard = shard * 10 + static_cast<std::uint32_t>(digit - '0');
  }
  return std::min(shard, kShardCount);
}

std::string MakeJobId(std::uint32_t shard, std::string_view team,
                      std::string_view request_id) {
  std::string id = shard < 10 ? "0" : "";
  id += std::to_string(shard) + "-";
  if (request_id.empty()) return id + RandomHex(kHashDigits / 2);
  // The separator keeps the team and the request id apart in the hashed text.
  std::string text(team);
  text.push_back('\0');
  text += request_id;
  constexpr std::string_view kHex = "0123456789abcdef";
  const std::uint64_t hash = XXH3_64bits(text.data(), text.size());
  for (int shift = 60; shift >= 0; shift -= 4) {
    id.push_back(kHex[(hash >> shift) & 15]);
  }
  return id;
}

}  // namespace apricotwheel

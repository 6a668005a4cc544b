#include "jobs/submission.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

#include "cluster/cluster_view.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

constexpr std::int64_t kMaxTaskCount = 1000;
constexpr std::int64_t kMaxRunMs = 7LL * 24 * 3600 * 1000;  // One week.
constexpr std::size_t kMaxRequestIdBytes = 200;

job_api_response MakeMalformedResponse(std::string_view message,
                                       std::string_view remedy) {
  return MakeErrorResponse(
      400,
      {error_kind::kInvalidArgument, std::string(message), std::string(remedy)},
      "not_run", "malformed");
}

std::optional<priority_class> ParsePriorityClass(std::string_view name) {
  for (const auto priority : {priority_class::kUrgent, priority_class::kService,
                              priority_class::kBatch}) {
    if (ToString(priority) == name) return priority;
  }
  return {};
}

}  // namespace

std::variant<job_record, job_api_response> ParseSubmission(
    std::string_view body, const cell_document& document) {
  const auto request = json::parse(body, nullptr, false);
  if (!request.is_object() || !request.contains("workload") ||
      !request["workload"].is_string()) {
    return MakeMalformedResponse(
        "the body is not a JSON object with a string 'workload'",
        R"(send {"workload": "<name>"})");
  }
  const auto name = request["workload"].get<std::string>();
  const auto* workload = document.FindWorkload(name);
  if (workload == nullptr || workload->kind == workload_kind::kService) {
    return MakeErrorResponse(
        404,
        {error_kind::kNotFound,
         "no batch or gang workload is named '" + name + "'",
         "use a batch or gang workload of the cluster document"},
        "not_run", "unknown_workload");
  }
  const auto number = [&](const char* key, std::int64_t fallback,
                          std::int64_t low,
                          std::int64_t high) -> std::optional<std::int64_t> {
    if (!request.contains(key)) return fallback;
    if (!request[key].is_number_integer()) return {};
    const auto value = request[key].get<std::int64_t>();
    if (value < low || value > high) return {};
    return value;
  };
  const auto count = number("count", workload->instances, 1, kMaxTaskCount);
  if (!count)
    return MakeMalformedResponse("count is out of range", "use 1 to 1000");
  const auto run_ms = number("run_ms", workload->run_ms, 1, kMaxRunMs);
  if (!run_ms) {
    return MakeMalformedResponse("run_ms is out of range",
                                 "use 1 to 604800000");
  }
  auto priority = std::optional(workload->priority);
  if (request.contains("class")) {
    priority = request["class"].is_string()
                   ? ParsePriorityClass(request["class"].get<std::string>())
                   : std::nullopt;
  }
  if (!priority) {
    return MakeMalformedResponse("class is unknown",
                                 "use urgent, service or batch");
  }
  std::string request_id;
  if (request.contains("request_id")) {
    if (!request["request_id"].is_string()) {
      return MakeMalformedResponse("request_id is not a string",
                                   "send a string");
    }
    request_id = request["request_id"].get<std::string>();
    if (request_id.size() > kMaxRequestIdBytes) {
      return MakeMalformedResponse("request_id is too long",
                                   "use at most 200 bytes");
    }
  }
  job_record job;
  job.job_id = MakeJobId(ShardOf(workload->team), workload->team, request_id);
  job.workload = name;
  job.team = workload->team;
  job.kind = workload->kind == workload_kind::kGang ? task_kind::kGang
                                                    : task_kind::kBatch;
  job.priority = *priority;
  job.policy = workload->policy;
  job.spread = workload->spread;
  job.need = workload->resources;
  job.run_ms = *run_ms;
  job.submitted_at_ms = WallClockMs();
  for (std::int64_t i = 0; i < *count; ++i) {
    managed_task task;
    task.task_id = job.job_id + "/" + std::to_string(i);
    job.tasks.push_back(std::move(task));
  }
  return job;
}

std::vector<std::string> FindImpossibleResources(const resource_vector& need,
                                                 const vm_list* vms) {
  if (vms == nullptr || vms->vms.empty()) return {};
  resource_vector largest;
  for (const auto& vm : vms->vms) {
    if (Fits(need, vm.capacity)) return {};
    largest = ElementwiseMax(largest, vm.capacity);
  }
  std::vector<std::string> reasons;
  const auto compare = [&](std::string_view name, std::int64_t amount,
                           std::int64_t most) {
    if (amount <= most) return;
    reasons.push_back(std::string(name) + ": a task needs " +
                      std::to_string(amount) + ", the largest VM has " +
                      std::to_string(most));
  };
  compare("cpu_milli", need.cpu_milli, largest.cpu_milli);
  compare("memory_mib", need.memory_mib, largest.memory_mib);
  compare("accelerators", need.accelerators, largest.accelerators);
  if (reasons.empty()) {
    reasons.emplace_back(
        "cpu_milli, memory_mib, accelerators: no single VM has all of them");
  }
  return reasons;
}

}  // namespace apricotwheel

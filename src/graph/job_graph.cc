#include "graph/job_graph.h"

#include <algorithm>

namespace apricotwheel {

namespace {

// Number of workers per approval call that latency objectives assume.
constexpr std::int64_t kAssumedWorkersPerCall = 30;

}  // namespace

std::int64_t CriticalPathMs(const job_graph& graph, const queue_rules& queue) {
  std::int64_t approval_ms = 0;
  if (queue.advisor) {
    approval_ms = (queue.advisor->decision_us +
                   kAssumedWorkersPerCall * queue.advisor->per_worker_us) /
                  1000;
  }
  std::vector<std::int64_t> end_ms;
  std::int64_t longest_ms = 0;
  for (const graph_step& step : graph.steps) {
    std::int64_t begin_ms = 0;
    for (const std::uint32_t dependency : step.after) {
      begin_ms = std::max(begin_ms, end_ms[dependency]);
    }
    end_ms.push_back(begin_ms + approval_ms + step.estimate_ms);
    longest_ms = std::max(longest_ms, end_ms.back());
  }
  return longest_ms;
}

std::optional<std::string> FindGraphError(const job_graph& graph) {
  if (graph.steps.empty()) return "the job has no step";
  for (std::size_t i = 0; i < graph.steps.size(); ++i) {
    const graph_step& step = graph.steps[i];
    const std::string name = "step " + std::to_string(i);
    if (step.task_count == 0) return name + " has no task";
    if (step.need.cpu_milli < 0 || step.need.memory_mib < 0 ||
        step.need.accelerators < 0) {
      return name + " requests a negative amount of a resource";
    }
    const bool in_order =
        std::all_of(step.after.begin(), step.after.end(),
                    [&](std::uint32_t dependency) { return dependency < i; });
    if (!in_order) return name + " depends on itself or on a later step";
  }
  return std::nullopt;
}

}  // namespace apricotwheel

#include "graph/job_footprint.h"

#include <algorithm>

#include "graph/pool_model.h"

namespace apricotwheel {

namespace {

// The entry of a step among those that wait, and the blocks of its state.
constexpr std::size_t kStepOverheadBytes = 320;
// The progress of a step exists once more while it is stored.
constexpr std::size_t kProgressCopies = 2;
// The run of a task, its entry at the worker, and its row in a report. Small
// tasks may all run at once.
constexpr std::size_t kRunBytes =
    sizeof(task_run) + sizeof(task_key) + sizeof(reported_run);
constexpr std::size_t kTaskBytes = sizeof(graph_task) + kRunBytes;
constexpr std::size_t kOccurrenceBytes =
    sizeof(step_state) + kProgressCopies * sizeof(step_progress) +
    kStepOverheadBytes;

}  // namespace

std::size_t EstimateJobMemory(const job_submission& job) {
  std::size_t graph = sizeof(graph_job) + kFinishedJobBytes +
                      job.graph.payload.capacity() + job.organisation.size();
  std::size_t tasks = 0;
  for (const graph_step& step : job.graph.steps) {
    graph += sizeof step + step.after.capacity() * sizeof(std::uint32_t) +
             step.required_label.size() + step.data_rack.size() +
             step.image.size();
    tasks += step.task_count;
  }
  const std::size_t occurrences =
      std::max<std::size_t>(1, job.graph.schedule.repetitions);
  return graph + occurrences * (job.graph.steps.size() * kOccurrenceBytes +
                                tasks * kTaskBytes);
}

}  // namespace apricotwheel

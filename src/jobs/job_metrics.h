#pragma once

#include <memory>
#include <string>

#include "kernel/metrics.h"
#include "kernel/resources.h"

namespace apricotwheel {

// The metrics of jobs and tasks.
struct job_metrics {
  explicit job_metrics(metrics_ptr registry);

  // Records the time from the submission to the first start of a task.
  void ObserveTaskWait(priority_class priority, double seconds);
  // Counts the result of a place request for one task, or the error of a whole
  // request.
  void CountPlacement(const std::string& result);

  metrics_ptr registry;  // Owns the metrics below.
  prometheus::Family<prometheus::Histogram>& task_wait_seconds;
  prometheus::Family<prometheus::Counter>& placements;
  prometheus::Counter& commits;
  prometheus::Gauge& pending_tasks;
  prometheus::Gauge& active_tasks;
};

}  // namespace apricotwheel

#pragma once

#include <memory>
#include <string>

#include "kernel/metrics.h"
#include "kernel/resources.h"

namespace apricotwheel {

// The metric families of this package.
struct job_metrics {
  explicit job_metrics(metrics_ptr registry);

  void ObserveTaskWait(priority_class priority, double seconds);
  void CountPlacement(const std::string& result);

  metrics_ptr registry;  // Keeps the families alive.
  prometheus::Family<prometheus::Histogram>& task_wait_seconds;
  prometheus::Family<prometheus::Counter>& placements;
  prometheus::Counter& commits;
  prometheus::Gauge& pending_tasks;
  prometheus::Gauge& active_tasks;
};

}  // namespace apricotwheel

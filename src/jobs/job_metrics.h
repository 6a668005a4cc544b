#pragma once

#include <memory>
#include <string>

#include "kernel/metrics.h"
#include "kernel/resources.h"

namespace apricotwheel {

// The metric families of this package.
struct job_metrics {
  explicit job_metrics(metrics_ptr registry);

  void Waited(priority_class priority, double seconds);
  void Placed(const std::string& outcome);

  metrics_ptr registry;  // Keeps the families alive.
  prometheus::Family<prometheus::Histogram>& waiting;
  prometheus::Family<prometheus::Counter>& placements;
  prometheus::Counter& commits;
  prometheus::Gauge& pending;
  prometheus::Gauge& running;
};

}  // namespace apricotwheel

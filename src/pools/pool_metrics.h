#pragma once

#include <string>

#include "graph/pool_scheduler.h"
#include "kernel/metrics.h"

namespace apricotwheel {

// The metric families of this package; one object per process.
struct pool_metrics {
  explicit pool_metrics(metrics_ptr registry);

  // Counts the response to a caller's request and observes its latency.
  void RecordResponse(const std::string& verb, const std::string& status,
                      double seconds);
  // Counts the result of a start order.
  void CountStart(const std::string& result);
  void SetWorkerSpeeds(const std::string& pool, const speed_counts& counts);

  metrics_ptr registry;  // Keeps the families alive.
  prometheus::Family<prometheus::Counter>& responses;
  prometheus::Family<prometheus::Histogram>& response_seconds;
  prometheus::Family<prometheus::Counter>& starts;
  prometheus::Histogram& commit_seconds;
  prometheus::Counter& commit_failures;
  prometheus::Counter& worker_reports;
  prometheus::Counter& workers_examined;
  prometheus::Counter& worker_crashes;
  prometheus::Counter& tasks_given_up;
  prometheus::Counter& runs_adopted;
  prometheus::Counter& runs_moved;
  prometheus::Counter& stale_ends;
  prometheus::Counter& state_contradictions;
  prometheus::Counter& place_waits;
  prometheus::Counter& place_waits_paid;
  prometheus::Family<prometheus::Counter>& place_waits_given_up;
  prometheus::Counter& place_waits_expired;
  prometheus::Counter& place_waits_without_place;
  prometheus::Family<prometheus::Gauge>& worker_speeds;
  prometheus::Histogram& decision_delay_seconds;
  prometheus::Histogram& pass_seconds;
  prometheus::Histogram& approval_seconds;
  prometheus::Histogram& approval_wait_seconds;
  prometheus::Gauge& owned_pools;
  prometheus::Counter& expired_requests;
  prometheus::Counter& refused_submissions;
  prometheus::Counter& overload_refusals;
  prometheus::Counter& memory_refusals;
  prometheus::Counter& refused_cancellations;
  prometheus::Counter& moved_jobs;
  prometheus::Counter& rejected_keys;
  prometheus::Counter& forbidden_requests;
  prometheus::Histogram& confirmation_age_seconds;
  // By organisation, partition and resource.
  prometheus::Family<prometheus::Gauge>& organisation_use;
  prometheus::Family<prometheus::Gauge>& organisation_portion;
  prometheus::Counter& limit_writes;
  prometheus::Counter& limit_write_failures;
  prometheus::Counter& limit_requests;
};

}  // namespace apricotwheel

#include "jobs/job_metrics.h"

#include "config/document.h"

namespace apricotwheel {

job_metrics::job_metrics(metrics_ptr metrics)
    : registry(std::move(metrics)),
      task_wait_seconds(prometheus::BuildHistogram()
                            .Name("apricotwheel_task_wait_seconds")
                            .Help("Time from submission to the start of a task")
                            .Register(*registry)),
      placements(prometheus::BuildCounter()
                     .Name("apricotwheel_placements_total")
                     .Help("Answers to place calls by result")
                     .Register(*registry)),
      commits(prometheus::BuildCounter()
                  .Name("apricotwheel_job_commits_total")
                  .Help("Writes of job segments")
                  .Register(*registry)
                  .Add({})),
      pending_tasks(prometheus::BuildGauge()
                        .Name("apricotwheel_tasks_pending")
                        .Help("Tasks that wait for a place")
                        .Register(*registry)
                        .Add({})),
      active_tasks(prometheus::BuildGauge()
                       .Name("apricotwheel_tasks_active")
                       .Help("Tasks that are placed or running")
                       .Register(*registry)
                       .Add({})) {}

void job_metrics::ObserveTaskWait(priority_class priority, double seconds) {
  task_wait_seconds
      .Add({{"class", std::string(ToString(priority))}}, LatencyBuckets())
      .Observe(seconds);
}

void job_metrics::CountPlacement(const std::string& result) {
  placements.Add({{"result", result}}).Increment();
}

}  // namespace apricotwheel

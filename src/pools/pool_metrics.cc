#include "pools/pool_metrics.h"

namespace apricotwheel {

pool_metrics::pool_metrics(metrics_ptr metrics)
    : registry(std::move(metrics)),
      responses(prometheus::BuildCounter()
                    .Name("apricotwheel_queue_answers_total")
                    .Help("Answers to callers by verb and answer")
                    .Register(*registry)),
      response_seconds(prometheus::BuildHistogram()
                           .Name("apricotwheel_queue_answer_seconds")
                           .Help("Time to the answer to a caller by verb")
                           .Register(*registry)),
      starts(prometheus::BuildCounter()
                 .Name("apricotwheel_run_starts_total")
                 .Help("Answers of workers to orders to start a run")
                 .Register(*registry)),
      commit_seconds(prometheus::BuildHistogram()
                         .Name("apricotwheel_pool_commit_seconds")
                         .Help("Time to commit a group of records")
                         .Register(*registry)
                         .Add({}, LatencyBuckets())),
      commit_failures(prometheus::BuildCounter()
                          .Name("apricotwheel_pool_commit_failures_total")
                          .Help("Tries to commit that failed")
                          .Register(*registry)
                          .Add({})),
      worker_reports(prometheus::BuildCounter()
                         .Name("apricotwheel_worker_reports_total")
                         .Help("Reports that workers sent")
                         .Register(*registry)
                         .Add({})),
      workers_examined(prometheus::BuildCounter()
                           .Name("apricotwheel_pool_workers_examined_total")
                           .Help("Workers looked at for a step that waits")
                           .Register(*registry)
                           .Add({})),
      worker_crashes(prometheus::BuildCounter()
                         .Name("apricotwheel_worker_crashes_total")
                         .Help("Workers that crashed while they had runs")
                         .Register(*registry)
                         .Add({})),
      tasks_given_up(
          prometheus::BuildCounter()
              .Name("apricotwheel_tasks_given_up_total")
              .Help("Tasks given up because workers crashed under them")
              .Register(*registry)
              .Add({})),
      runs_adopted(prometheus::BuildCounter()
                       .Name("apricotwheel_runs_adopted_total")
                       .Help("Runs that a worker listed and the owner did not "
                             "know")
                       .Register(*registry)
                       .Add({})),
      runs_moved(prometheus::BuildCounter()
                     .Name("apricotwheel_runs_moved_total")
                     .Help("Runs stopped on draining workers to start "
                           "elsewhere")
                     .Register(*registry)
                     .Add({})),
      stale_ends(prometheus::BuildCounter()
                     .Name("apricotwheel_stale_ends_total")
                     .Help("Ends of runs that their tasks were not placed "
                           "under")
                     .Register(*registry)
                     .Add({})),
      state_contradictions(
          prometheus::BuildCounter()
              .Name("apricotwheel_state_contradictions_total")
              .Help("Checks that found tasks without a run or wrong counts")
              .Register(*registry)
              .Add({})),
      place_waits(prometheus::BuildCounter()
                      .Name("apricotwheel_place_waits_total")
                      .Help("Waits of steps for better places")
                      .Register(*registry)
                      .Add({})),
      place_waits_paid(prometheus::BuildCounter()
                           .Name("apricotwheel_place_waits_paid_total")
                           .Help("Tasks that got a better place by a wait")
                           .Register(*registry)
                           .Add({})),
      place_waits_given_up(prometheus::BuildCounter()
                               .Name("apricotwheel_place_waits_given_up_total")
                               .Help("Waits for better places given up")
                               .Register(*registry)),
      place_waits_expired(place_waits_given_up.Add({{"reason", "bound"}})),
      place_waits_without_place(
          place_waits_given_up.Add({{"reason", "no_place"}})),
      worker_speeds(prometheus::BuildGauge()
                        .Name("apricotwheel_workers_by_speed")
                        .Help("Measured workers of owned pools by speed")
                        .Register(*registry)),
      decision_delay_seconds(
          prometheus::BuildHistogram()
              .Name("apricotwheel_pool_decision_delay_seconds")
              .Help("Time from an event to the start of the pass that handles "
                    "it")
              .Register(*registry)
              .Add({}, LatencyBuckets())),
      pass_seconds(prometheus::BuildHistogram()
                       .Name("apricotwheel_pool_pass_seconds")
                       .Help("Duration of a scheduling pass")
                       .Register(*registry)
                       .Add({}, LatencyBuckets())),
      approval_seconds(prometheus::BuildHistogram()
                           .Name("apricotwheel_approval_seconds")
                           .Help("Time of a call to the policy advisor")
                           .Register(*registry)
                           .Add({}, LatencyBuckets())),
      approval_wait_seconds(
          prometheus::BuildHistogram()
              .Name("apricotwheel_approval_wait_seconds")
              .Help("Time that a request waits for a member that is free to "
                    "call the policy advisor")
              .Register(*registry)
              .Add({}, LatencyBuckets())),
      owned_pools(prometheus::BuildGauge()
                      .Name("apricotwheel_owned_pools")
                      .Help("Pools that this daemon owns")
                      .Register(*registry)
                      .Add({})),
      expired_requests(
          prometheus::BuildCounter()
              .Name("apricotwheel_pool_expired_requests_total")
              .Help("Forwarded requests that expired before they were executed")
              .Register(*registry)
              .Add({})),
      refused_submissions(
          prometheus::BuildCounter()
              .Name("apricotwheel_pool_refused_submissions_total")
              .Help("Forwarded submissions refused because too many are being "
                    "executed")
              .Register(*registry)
              .Add({})),
      overload_refusals(
          prometheus::BuildCounter()
              .Name("apricotwheel_pool_overload_refusals_total")
              .Help("Jobs refused because they would complete too late")
              .Register(*registry)
              .Add({})),
      memory_refusals(
          prometheus::BuildCounter()
              .Name("apricotwheel_pool_memory_refusals_total")
              .Help("Jobs refused because accepted jobs take the memory")
              .Register(*registry)
              .Add({})),
      refused_cancellations(
          prometheus::BuildCounter()
              .Name("apricotwheel_pool_refused_cancellations_total")
              .Help("Cancellations of unknown ids refused as too many")
              .Register(*registry)
              .Add({})),
      moved_jobs(
          prometheus::BuildCounter()
              .Name("apricotwheel_pool_moved_jobs_total")
              .Help("Jobs moved to another partition before they started")
              .Register(*registry)
              .Add({})),
      rejected_keys(prometheus::BuildCounter()
                        .Name("apricotwheel_queue_rejected_keys_total")
                        .Help("Requests rejected for want of a valid key")
                        .Register(*registry)
                        .Add({})),
      forbidden_requests(
          prometheus::BuildCounter()
              .Name("apricotwheel_queue_forbidden_requests_total")
              .Help("Requests for jobs of another organisation")
              .Register(*registry)
              .Add({})),
      confirmation_age_seconds(
          prometheus::BuildHistogram()
              .Name("apricotwheel_pool_confirmation_age_seconds")
              .Help("Time since the key-value service confirmed the ownership "
                    "when the leases of a worker counted as ended")
              .Register(*registry)
              .Add({}, LatencyBuckets())),
      organisation_use(
          prometheus::BuildGauge()
              .Name("apricotwheel_organisation_use")
              .Help("What a limited organisation has running in a partition")
              .Register(*registry)),
      organisation_portion(
          prometheus::BuildGauge()
              .Name("apricotwheel_organisation_portion")
              .Help("What a limited organisation may have running in a "
                    "partition")
              .Register(*registry)),
      limit_writes(prometheus::BuildCounter()
                       .Name("apricotwheel_limit_writes_total")
                       .Help("Changes of the division of a limit")
                       .Register(*registry)
                       .Add({})),
      limit_write_failures(
          prometheus::BuildCounter()
              .Name("apricotwheel_limit_write_failures_total")
              .Help("Changes of the division of a limit that failed or had an "
                    "unknown outcome")
              .Register(*registry)
              .Add({})),
      limit_requests(prometheus::BuildCounter()
                         .Name("apricotwheel_limit_requests_total")
                         .Help("Requests to other owners for a part of a limit")
                         .Register(*registry)
                         .Add({})) {}

void pool_metrics::RecordResponse(const std::string& verb,
                                  const std::string& status, double seconds) {
  responses.Add({{"verb", verb}, {"answer", status}}).Increment();
  response_seconds.Add({{"verb", verb}}, LatencyBuckets()).Observe(seconds);
}

void pool_metrics::SetWorkerSpeeds(const std::string& pool,
                                   const speed_counts& counts) {
  const auto set = [&](const char* speed, std::size_t count) {
    worker_speeds.Add({{"pool", pool}, {"speed", speed}})
        .Set(static_cast<double>(count));
  };
  set("slow", counts.slow);
  set("usual", counts.usual);
  set("fast", counts.fast);
}

void pool_metrics::CountStart(const std::string& result) {
  starts.Add({{"answer", result}}).Increment();
}

}  // namespace apricotwheel

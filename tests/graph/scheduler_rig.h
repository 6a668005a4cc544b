#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "graph/graph_codec.h"
#include "graph/pool_scheduler.h"

namespace apricotwheel::testing {

inline graph_step MakeStep(std::uint32_t tasks, resource_vector need,
                           std::vector<std::uint32_t> after = {}) {
  graph_step step;
  step.task_count = tasks;
  step.need = need;
  step.estimate_ms = 1000;
  step.after = std::move(after);
  return step;
}

// Returns the numbers that are noted for the task.
inline std::vector<std::uint64_t> RunsAt(const run_numbers& runs,
                                         std::uint32_t index) {
  const auto found = runs.find(index);
  return found == runs.end() ? std::vector<std::uint64_t>() : found->second;
}

inline job_submission MakeJob(std::string id, std::vector<graph_step> steps,
                              int priority = 1) {
  job_submission job;
  job.id = std::move(id);
  job.queue.name = "queue";
  job.queue.pool = "pool";
  job.queue.priority = priority;
  job.queue.max_attempts = 3;
  job.queue.slowdown_limit = 2;
  job.queue.target = milliseconds(1000);
  job.graph.payload = "payload of " + job.id;
  job.graph.steps = std::move(steps);
  return job;
}

// A scheduler and simulated workers that carry out its orders when the test
// tells them to. The clock moves only when the test advances it, and by a few
// milliseconds for each report and start.
struct scheduler_rig {
  struct agent {
    pool_worker info;
    std::map<task_key, reported_run> running;
    std::vector<reported_end> ended;
    std::uint64_t last_end_sequence = 0;
  };

  pool_scheduler scheduler;
  time_point now{std::chrono::hours(1)};
  std::map<std::string, agent> agents;
  // All decisions so far.
  std::vector<start_order> starts;
  std::vector<stop_order> stops;
  std::vector<throttle_order> throttles;
  std::vector<approval_request> approvals;
  approval_capacity call_capacity;  // Of each pass.

  explicit scheduler_rig(pool_scheduler_options options = {})
      : scheduler(std::move(options)) {}

  void AddWorker(const std::string& id, resource_vector capacity,
                 bool claim = true) {
    agent& target = agents[id];
    target.info.id = id;
    target.info.pool = "pool";
    target.info.capacity = capacity;
    target.info.incarnation = 1;
    scheduler.SetWorker(target.info, now);
    if (claim) ReportWorker(id);
  }

  void AdvanceClock(duration span) { now += span; }

  worker_report MakeReport(const std::string& id) {
    const agent& target = agents[id];
    worker_report report;
    report.incarnation = target.info.incarnation;
    for (const auto& [task, run] : target.running)
      report.running.push_back(run);
    for (const auto& end : target.ended) {
      if (end.sequence > scheduler.LastStoredEnd(id))
        report.ended.push_back(end);
    }
    return report;
  }

  // Delivers a report of one worker to the scheduler.
  void ReportWorker(const std::string& id) {
    const auto sent_at = now;
    AdvanceClock(milliseconds(2));
    scheduler.ApplyReport(id, MakeReport(id), sent_at, now);
    AdvanceClock(milliseconds(1));
  }
  void ReportAll() {
    for (const auto& [id, worker] : agents) ReportWorker(id);
  }

  // Runs one pass and records its decisions without carrying them out.
  pool_decisions Decide(std::int64_t wall_clock_ms = 0) {
    pool_decisions decisions =
        scheduler.Decide(now, wall_clock_ms, call_capacity);
    starts.insert(starts.end(), decisions.starts.begin(),
                  decisions.starts.end());
    stops.insert(stops.end(), decisions.stops.begin(), decisions.stops.end());
    throttles.insert(throttles.end(), decisions.throttles.begin(),
                     decisions.throttles.end());
    approvals.insert(approvals.end(), decisions.approvals.begin(),
                     decisions.approvals.end());
    return decisions;
  }

  // Carries out a start order.
  void CarryOutStart(const start_order& order) {
    reported_run run;
    run.task = order.task;
    run.run = order.run;
    agents[order.worker].running[order.task] = run;
    scheduler.OnStartResult(order, start_result::kStarted, now);
    AdvanceClock(milliseconds(1));
  }

  // Runs one pass and carries out its decisions. Stopped runs end immediately.
  pool_decisions DecideAndCarryOut(std::int64_t wall_clock_ms = 0) {
    const pool_decisions decisions = Decide(wall_clock_ms);
    for (const stop_order& order : decisions.stops) {
      agent& target = agents[order.worker];
      if (target.running.contains(order.task)) {
        EndRun(order.worker, order.task, run_outcome::kStopped);
      }
      scheduler.OnStopResult(order, true, now);
    }
    for (const start_order& order : decisions.starts) CarryOutStart(order);
    return decisions;
  }

  // Ends a run on its worker; the next report lists the end.
  void EndRun(const std::string& worker, const task_key& task,
              run_outcome outcome, std::string checkpoint = {}) {
    agent& target = agents[worker];
    const auto found = target.running.find(task);
    reported_end end;
    end.sequence = ++target.last_end_sequence;
    end.task = task;
    end.run = found->second.run;
    end.outcome = outcome;
    end.checkpoint = std::move(checkpoint);
    target.running.erase(found);
    target.ended.push_back(end);
  }

  // Ends all runs on all workers and reports the ends.
  void EndAll(run_outcome outcome) {
    for (auto& [id, target] : agents) {
      std::vector<task_key> tasks;
      for (const auto& [task, run] : target.running) tasks.push_back(task);
      for (const task_key& task : tasks) EndRun(id, task, outcome);
    }
    ReportAll();
  }

  std::size_t CountRunningTasks() const {
    std::size_t count = 0;
    for (const auto& [id, target] : agents) count += target.running.size();
    return count;
  }

  // Stores all pending progress successfully.
  progress_batch StoreProgress() {
    progress_batch batch = scheduler.TakeProgress();
    scheduler.OnProgressStored(batch);
    return batch;
  }
};

}  // namespace apricotwheel::testing

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

inline graph_step StepOf(std::uint32_t tasks, resource_vector need,
                         std::vector<std::uint32_t> after = {}) {
  graph_step step;
  step.task_count = tasks;
  step.need = need;
  step.estimate_ms = 1000;
  step.after = std::move(after);
  return step;
}

inline job_submission JobOf(std::string id, std::vector<graph_step> steps,
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

// A pool whose workers do what the scheduler orders, as far as a test lets
// them. The clock stands still until a test moves it.
struct scheduler_rig {
  struct agent {
    pool_worker info;
    std::map<task_key, reported_run> running;
    std::vector<reported_end> ended;
    std::uint64_t last_end = 0;
  };

  pool_scheduler scheduler;
  time_point now{std::chrono::hours(1)};
  std::map<std::string, agent> agents;
  std::vector<start_order> starts;  // All orders so far.
  std::vector<stop_order> stops;
  std::vector<pace_order> paces;
  std::vector<approval_request> approvals;

  explicit scheduler_rig(pool_scheduler_options options = {})
      : scheduler(std::move(options)) {}

  void AddWorker(const std::string& id, resource_vector capacity,
                 bool claim = true) {
    agent& one = agents[id];
    one.info.id = id;
    one.info.pool = "pool";
    one.info.capacity = capacity;
    one.info.incarnation = 1;
    scheduler.SetWorker(one.info, now);
    if (claim) Report(id);
  }

  void Pass(duration span) { now += span; }

  worker_report ReportOf(const std::string& id) {
    const agent& one = agents[id];
    worker_report report;
    report.incarnation = one.info.incarnation;
    for (const auto& [task, run] : one.running) report.running.push_back(run);
    for (const auto& end : one.ended) {
      if (end.sequence > scheduler.StoredEnd(id)) report.ended.push_back(end);
    }
    return report;
  }

  void Report(const std::string& id) {
    const auto sent_at = now;
    Pass(milliseconds(2));
    scheduler.Report(id, ReportOf(id), sent_at, now);
    Pass(milliseconds(1));
  }
  void ReportAll() {
    for (const auto& [id, one] : agents) Report(id);
  }

  // Takes the decisions without carrying them out.
  pool_decisions Decide(std::int64_t wall_clock_ms = 0) {
    pool_decisions made = scheduler.Decide(now, wall_clock_ms);
    starts.insert(starts.end(), made.starts.begin(), made.starts.end());
    stops.insert(stops.end(), made.stops.begin(), made.stops.end());
    paces.insert(paces.end(), made.paces.begin(), made.paces.end());
    approvals.insert(approvals.end(), made.approvals.begin(),
                     made.approvals.end());
    return made;
  }

  void Run(const start_order& order) {
    reported_run run;
    run.task = order.task;
    run.run = order.run;
    agents[order.worker].running[order.task] = run;
    scheduler.StartAnswered(order, start_answer::kStarted, now);
    Pass(milliseconds(1));
  }

  // Decides and carries all out; stopped runs end at once.
  pool_decisions Step(std::int64_t wall_clock_ms = 0) {
    const pool_decisions made = Decide(wall_clock_ms);
    for (const stop_order& order : made.stops) {
      agent& one = agents[order.worker];
      if (one.running.contains(order.task)) {
        End(order.worker, order.task, run_end::kStopped);
      }
      scheduler.StopAnswered(order, true, now);
    }
    for (const start_order& order : made.starts) Run(order);
    return made;
  }

  void End(const std::string& worker, const task_key& task, run_end how,
           std::string checkpoint = {}) {
    agent& one = agents[worker];
    const auto found = one.running.find(task);
    reported_end end;
    end.sequence = ++one.last_end;
    end.task = task;
    end.run = found->second.run;
    end.how = how;
    end.checkpoint = std::move(checkpoint);
    one.running.erase(found);
    one.ended.push_back(end);
  }

  // Ends all runs of all workers and reports them.
  void EndAll(run_end how) {
    for (auto& [id, one] : agents) {
      std::vector<task_key> tasks;
      for (const auto& [task, run] : one.running) tasks.push_back(task);
      for (const task_key& task : tasks) End(id, task, how);
    }
    ReportAll();
  }

  std::size_t Running() const {
    std::size_t count = 0;
    for (const auto& [id, one] : agents) count += one.running.size();
    return count;
  }

  progress_batch Store() {
    progress_batch batch = scheduler.TakeProgress();
    scheduler.ProgressStored(batch);
    return batch;
  }
};

}  // namespace apricotwheel::testing

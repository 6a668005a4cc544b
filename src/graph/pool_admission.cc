// The work that waits in each queue, and the estimate for a new job.
#include <algorithm>
#include <set>
#include <string_view>

#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// The waiting tasks are counted anew at this interval. In between, admitted
// jobs and starts update the counts.
constexpr auto kLoadCountInterval = milliseconds(100);

}  // namespace

void pool_scheduler::UpdateQueueLoads(time_point now,
                                      std::int64_t wall_clock_ms) {
  if (now - loads_counted_at_ < kLoadCountInterval) return;
  loads_counted_at_ = now;
  CountQueueLoads(now, wall_clock_ms);
  const duration length = now - load_interval_began_at_;
  if (length < duration(kLoadInterval)) return;
  load_interval_began_at_ = now;
  // After a pause, nothing is known about the time in between.
  const bool is_measured = length < 2 * duration(kLoadInterval);
  for (auto& [queue, load] : queue_loads_) {
    if (!is_measured) load.ready_at_begin = 0;
    EndLoadInterval(load, length, now);
  }
}

void pool_scheduler::CountQueueLoads(time_point now,
                                     std::int64_t wall_clock_ms) {
  pool_capacity_ = {};
  resource_vector largest;
  std::set<std::string_view> labels;
  for (const auto& [id, worker] : workers_) {
    if (!worker.is_listed) continue;
    pool_capacity_ = pool_capacity_ + worker.info.capacity;
    largest = ElementwiseMax(largest, worker.info.capacity);
    labels.insert(worker.info.labels.begin(), worker.info.labels.end());
  }
  for (auto& [queue, load] : queue_loads_) {
    load.waiting = {};
    load.waiting_by_organisation.clear();
    load.ready_tasks = 0;
  }
  const bool is_settled = IsTakeoverComplete(now);
  for (const graph_job* job : open_jobs_) {
    if (job->is_moving) continue;
    const job_graph& graph = job->submission.graph;
    const bool is_scheduled = graph.schedule.repetitions > 0;
    queue_load& load = queue_loads_[job->submission.queue.name];
    for (std::uint32_t n = 0; n < job->occurrences.size(); ++n) {
      for (std::uint32_t i = 0; i < graph.steps.size(); ++i) {
        const step_state& step = job->occurrences[n][i];
        const graph_step& spec = graph.steps[i];
        if (step.waiting == 0 || spec.is_service) continue;
        // Work that no worker can run holds up no other work.
        if (!Fits(spec.need, largest) ||
            (!spec.required_label.empty() &&
             !labels.contains(spec.required_label))) {
          continue;
        }
        // Loaded jobs that cannot start yet say nothing about the rate.
        const bool is_ready = (is_settled || !job->is_loaded) &&
                              IsReady(*job, n, i, wall_clock_ms);
        if (is_scheduled && !is_ready) continue;
        const task_load added = LoadOf(spec, step.waiting, pool_capacity_);
        load.waiting += added;
        if (!job->is_beyond_rate) {
          CountOrganisationLoad(load, job->submission, added);
        }
        if (is_ready) load.ready_tasks += step.waiting;
      }
    }
  }
}

void pool_scheduler::CountAdmittedJob(const graph_job& job) {
  const job_graph& graph = job.submission.graph;
  if (graph.schedule.repetitions > 0 || job.submission.guest) return;
  queue_load& load = queue_loads_[job.submission.queue.name];
  for (const graph_step& step : graph.steps) {
    if (step.is_service) continue;
    const task_load added = LoadOf(step, step.task_count, pool_capacity_);
    load.waiting += added;
    if (!job.is_beyond_rate) {
      CountOrganisationLoad(load, job.submission, added);
    }
    if (step.after.empty()) load.ready_tasks += step.task_count;
  }
}

std::optional<admission_estimate> pool_scheduler::FindOverload(
    const job_submission& job, time_point now) {
  const bool lasts =
      std::any_of(job.graph.steps.begin(), job.graph.steps.end(),
                  [](const graph_step& step) { return step.is_service; });
  if (lasts || job.graph.schedule.repetitions > 0) return std::nullopt;
  const auto found = queue_loads_.find(job.queue.name);
  if (found == queue_loads_.end()) return std::nullopt;
  const std::int64_t path_ms = CriticalPathMs(job.graph, job.queue);
  const auto estimate = EstimateAdmissionOf(
      found->second, job,
      {milliseconds(path_ms), LatencyObjective(job.queue, path_ms)}, now);
  if (!estimate.is_refused) return std::nullopt;
  // What an organisation sends beyond its rate is no reason to give its queue
  // turns outside the order.
  if (shares_.TimeToEntitlement(job.organisation, now) <= duration{}) {
    found->second.refused_at = now;
  }
  return estimate;
}

queue_load pool_scheduler::LoadOfQueue(std::string_view queue) const {
  const auto found = queue_loads_.find(queue);
  return found == queue_loads_.end() ? queue_load{} : found->second;
}

void pool_scheduler::CountStarts(const candidate& step, std::size_t count) {
  if (count == 0 || IsService(step)) return;
  const job_submission& job = step.job->submission;
  queue_load& load = queue_loads_[job.queue.name];
  const task_load started = LoadOf(job.graph.steps[step.step],
                                   static_cast<double>(count), pool_capacity_);
  load.started += started;
  load.waiting -= started;
  const auto own = load.waiting_by_organisation.find(job.organisation);
  if (own != load.waiting_by_organisation.end() && !step.job->is_beyond_rate) {
    own->second -= started;
  }
  load.ready_tasks = std::max(0.0, load.ready_tasks - started.tasks);
}

}  // namespace apricotwheel

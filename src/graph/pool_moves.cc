// Jobs that wait here while another partition of the pool has room for them.
#include <algorithm>
#include <tuple>

#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// A job may exceed the amount that is to be moved by this factor. Larger ones
// would only turn the difference around.
constexpr double kMaxExcess = 1.2;

double BusyShare(const resource_vector& used, const resource_vector& capacity) {
  const auto share = [](std::int64_t part, std::int64_t whole) {
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole)
                     : 0.0;
  };
  return std::max({share(used.cpu_milli, capacity.cpu_milli),
                   share(used.memory_mib, capacity.memory_mib),
                   share(used.accelerators, capacity.accelerators)});
}

// Returns true if the work of the job is part of the backlog: lasting tasks and
// scheduled jobs are not.
bool IsCountedWork(const job_graph& graph) {
  return graph.schedule.repetitions == 0 &&
         std::none_of(graph.steps.begin(), graph.steps.end(),
                      [](const graph_step& step) { return step.is_service; });
}

}  // namespace

pool_load pool_scheduler::MeasureLoad() const {
  pool_load load;
  for (const auto& [queue, waiting] : queue_loads_) {
    load.backlog_seconds += waiting.waiting.pool_seconds;
  }
  resource_vector used;
  resource_vector capacity;
  for (const auto& [id, worker] : workers_) {
    if (!worker.is_listed) continue;
    used = used + worker.used;
    capacity = capacity + worker.info.capacity;
  }
  load.busy_share = BusyShare(used, capacity);
  load.has_workers = capacity != resource_vector{};
  return load;
}

std::optional<double> pool_scheduler::MovableWork(const graph_job& job,
                                                  time_point now) const {
  const job_graph& graph = job.submission.graph;
  // An earlier owner may have ordered starts that are not known yet.
  if (job.is_loaded && !IsTakeoverComplete(now)) return std::nullopt;
  if (job.submission.guest) return std::nullopt;
  // A crash of a worker shows that a task was ordered, by an earlier owner too.
  if (job.is_moving || job.progress.state != job_state::kQueued ||
      job.progress.has_started || !job.crashed_tasks.empty()) {
    return std::nullopt;
  }
  double work = 0;
  for (const std::vector<step_state>& steps : job.occurrences) {
    for (std::size_t i = 0; i < steps.size(); ++i) {
      // A task that was ever ordered may still start where it was ordered.
      const bool is_untouched =
          steps[i].waiting == steps[i].tasks.size() &&
          std::all_of(
              steps[i].tasks.begin(), steps[i].tasks.end(),
              [](const graph_task& task) { return task.last_run == 0; });
      if (!is_untouched) return std::nullopt;
      work +=
          LoadOf(graph.steps[i], steps[i].waiting, pool_capacity_).pool_seconds;
    }
  }
  return work;
}

std::vector<job_submission> pool_scheduler::HoldJobs(
    double pool_seconds, std::size_t limit,
    const std::function<bool(std::string_view)>& may_move, time_point now) {
  struct option {
    graph_job* job = nullptr;
    double work = 0;
    bool is_too_late = false;
    bool has_approvals = false;
  };
  const bool has_workers = pool_capacity_ != resource_vector{};
  std::vector<option> options;
  for (graph_job* job : open_jobs_) {
    if (dirty_jobs_.contains(job) || !may_move(job->submission.id)) continue;
    const auto work = MovableWork(*job, now);
    if (!work || (has_workers && !IsCountedWork(job->submission.graph))) {
      continue;
    }
    waiting_step whole;
    whole.submitted_at = job->admitted_at;
    whole.objective =
        LatencyObjective(job->submission.queue, job->critical_path_ms);
    whole.remaining_path = milliseconds(job->critical_path_ms);
    const bool has_approvals =
        std::any_of(job->occurrences[0].begin(), job->occurrences[0].end(),
                    [](const step_state& step) {
                      return step.approvals.is_call_in_flight ||
                             !step.approvals.by_worker.empty();
                    });
    options.push_back(
        {job, *work,
         ForecastCompletion(whole, now) == completion_forecast::kTooLate,
         has_approvals});
  }
  // Jobs that can still be in time gain by the move. What the advisor has
  // approved is lost, and the newest jobs would start last.
  std::sort(
      options.begin(), options.end(),
      [](const option& left, const option& right) {
        return std::tuple(left.is_too_late, left.has_approvals,
                          right.job->admitted_at, left.job->submission.id) <
               std::tuple(right.is_too_late, right.has_approvals,
                          left.job->admitted_at, right.job->submission.id);
      });
  std::vector<job_submission> held;
  for (const option& each : options) {
    if (held.size() >= limit || pool_seconds <= 0) break;
    if (each.work > pool_seconds * kMaxExcess) continue;
    pool_seconds -= each.work;
    each.job->is_moving = true;
    held.push_back(each.job->submission);
  }
  return held;
}

void pool_scheduler::ReleaseJob(std::string_view job_id) {
  if (graph_job* job = FindJob(job_id)) job->is_moving = false;
}

void pool_scheduler::RemoveMovedJob(std::string_view job_id) {
  graph_job* job = FindJob(job_id);
  if (job == nullptr) return;
  ForgetJob(*job);
}

}  // namespace apricotwheel

// The use of the workers' estimated speeds.
#include <algorithm>
#include <cmath>
#include <utility>

#include "graph/graph_events.h"
#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// Standard deviation of the logarithm of run times within one step.
constexpr double kRunTimeDeviation = 0.25;
// Differences in value below a tenth don't matter: estimates are too uncertain.
constexpr double kValueStep = 0.1;

}  // namespace

void pool_scheduler::CountSpeeds() {
  if (!std::exchange(has_new_speeds_, false)) return;
  std::vector<const speed_estimate*> estimates;
  estimates.reserve(workers_.size());
  for (const auto& [id, worker] : workers_) estimates.push_back(&worker.speed);
  UpdateUsualSpeed(estimates, pool_speed_);
  speed_counts_ = {};
  for (const speed_estimate* each : estimates) {
    if (each->weight <= 0) continue;
    const int speed_class = SpeedClassOf(*each, pool_speed_);
    ++(speed_class == 0  ? speed_counts_.usual
       : speed_class < 0 ? speed_counts_.slow
                         : speed_counts_.fast);
  }
  const std::size_t different = speed_counts_.slow + speed_counts_.fast;
  const bool was_uneven = is_uneven_;
  is_uneven_ = options_.uses_worker_speeds &&
               IsUneven(different + speed_counts_.usual, different);
  if (is_uneven_ == was_uneven) return;
  Log(graph_events::kWorkersUneven,
      {Field("uneven", is_uneven_ ? 1 : 0), Field("slow", speed_counts_.slow),
       Field("usual", speed_counts_.usual), Field("fast", speed_counts_.fast)});
}

completion_bounds pool_scheduler::BoundsOf(const graph_job& job,
                                           time_point now) {
  const duration objective =
      LatencyObjective(job.submission.queue, job.critical_path_ms);
  const duration age = now - job.admitted_at;
  return {objective - age, kLateLimitFactor * objective - age};
}

const run_time_ratio& pool_scheduler::RatioOf(const graph_job& job) const {
  static const run_time_ratio unknown;
  const auto found = run_time_ratios_.find(job.submission.queue.name);
  return found == run_time_ratios_.end() ? unknown : found->second;
}

remaining_work pool_scheduler::WorkOf(const candidate& waiting) const {
  const graph_job& job = *waiting.job;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  const run_time_ratio& ratio = RatioOf(job);
  const duration path =
      CorrectEstimate(ratio, milliseconds(job.longest_path_ms[waiting.step]));
  remaining_work work;
  work.first = CorrectEstimate(ratio, milliseconds(spec.estimate_ms));
  work.rest = path - work.first;
  // What the ratio doesn't explain, and the differences within a step.
  work.deviation =
      std::sqrt(ratio.variance + kRunTimeDeviation * kRunTimeDeviation);
  work.tasks = std::max<std::size_t>(StateOf(waiting).waiting, 1);
  return work;
}

double pool_scheduler::ValueAt(const candidate& waiting, double slowdown,
                               time_point now) const {
  remaining_work work = WorkOf(waiting);
  work.first = std::chrono::duration_cast<duration>(work.first * slowdown);
  return ExpectedValue(BoundsOf(*waiting.job, now), work);
}

pool_scheduler::speed_preference pool_scheduler::PreferenceOf(
    const candidate& waiting, time_point now) const {
  speed_preference preference;
  if (!is_uneven_) return preference;
  const graph_step& spec = waiting.job->submission.graph.steps[waiting.step];
  // The users of serving tasks feel a slow worker.
  preference.spares_fast_workers = spec.latency_target_ms == 0;
  if (spec.is_service) return preference;
  for (int each = -kMaxSpeedClass; each <= kMaxSpeedClass; ++each) {
    preference.loss[speed_preference::IndexOf(each)] =
        -static_cast<int>(std::lround(
            ValueAt(waiting, 1 / SpeedOfClass(each), now) / kValueStep));
  }
  return preference;
}

}  // namespace apricotwheel

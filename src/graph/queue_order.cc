#include "graph/queue_order.h"

namespace apricotwheel {

duration LatencyObjective(const queue_rules& queue,
                          std::int64_t critical_path_ms) {
  return queue.target +
         milliseconds(static_cast<std::int64_t>(
             queue.slowdown_limit * static_cast<double>(critical_path_ms)));
}

completion_forecast ForecastCompletion(const waiting_step& step,
                                       time_point now) {
  if (step.is_service) return completion_forecast::kInTime;
  const duration end = now + step.remaining_path - step.submitted_at;
  if (end <= step.objective) return completion_forecast::kInTime;
  return end <= kLateLimitFactor * step.objective
             ? completion_forecast::kLate
             : completion_forecast::kTooLate;
}

placement_rank RankOf(const waiting_step& step, time_point now) {
  placement_rank rank;
  rank.is_first_start = !step.is_restart;
  rank.priority = step.priority;
  rank.forecast = ForecastCompletion(step, now);
  rank.remaining_work = step.remaining_work;
  rank.submitted_at = step.submitted_at;
  return rank;
}

}  // namespace apricotwheel

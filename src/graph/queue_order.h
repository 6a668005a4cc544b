#pragma once

#include <cstdint>
#include <tuple>

#include "graph/job_graph.h"
#include "kernel/clock.h"

namespace apricotwheel {

// A result that takes longer than this multiple of the objective is worth
// nothing to the caller.
inline constexpr int kLateLimitFactor = 3;

// Properties of a waiting step that decide its place in the queue.
struct waiting_step {
  int priority = 0;
  bool is_service = false;
  // Lasting tasks of a job that has started, which must be at work again soon.
  bool is_restart = false;
  time_point submitted_at{};
  duration objective{};             // Latency objective of the job.
  duration remaining_path{};        // Critical path from this step on.
  std::int64_t remaining_work = 0;  // Resources times run time.
};

// Returns the latency objective of a job of the queue.
duration LatencyObjective(const queue_rules& queue,
                          std::int64_t critical_path_ms);

// When a job is expected to complete, compared with its latency objective.
enum class completion_forecast { kInTime, kLate, kTooLate };

// Estimates the completion of the job if the step starts now.
completion_forecast ForecastCompletion(const waiting_step& step,
                                       time_point now);

// Place of a step in the queue. Restarts come first: they are few, and callers
// see their job as active. Then come the steps that are overdue, and those that
// have a turn although the order holds them back. The order of the others is by
// queue priority, by expected completion, by the least remaining work and by
// submission time. With organisations, the jobs within their rates come first
// within a priority, and then what each organisation has of its share decides.
struct placement_rank {
  bool is_first_start = true;  // Restarts have false, which sorts first.
  bool is_not_overdue = true;
  bool has_no_turn = true;
  int priority = 0;
  // Equal for all steps without organisations, like the next one.
  bool is_beyond_rate = false;
  std::int64_t share_place = 0;  // See `fair_share::Places`.
  completion_forecast forecast = completion_forecast::kInTime;
  std::int64_t remaining_work = 0;
  time_point submitted_at{};

  friend bool operator<(const placement_rank& left,
                        const placement_rank& right) {
    return std::tie(left.is_first_start, left.is_not_overdue, left.has_no_turn,
                    left.priority, left.is_beyond_rate, left.share_place,
                    left.forecast, left.remaining_work, left.submitted_at) <
           std::tie(right.is_first_start, right.is_not_overdue,
                    right.has_no_turn, right.priority, right.is_beyond_rate,
                    right.share_place, right.forecast, right.remaining_work,
                    right.submitted_at);
  }
};

placement_rank RankOf(const waiting_step& step, time_point now);

}  // namespace apricotwheel

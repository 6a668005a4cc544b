#pragma once

#include <cstdint>

#include "kernel/clock.h"

namespace apricotwheel {

// What the order of waiting steps depends on.
struct waiting_step {
  int priority = 0;
  bool is_service = false;
  time_point submitted_at{};
  duration objective{};             // Latency objective of the whole job.
  duration remaining_path{};        // Critical path from this step on.
  std::int64_t remaining_work = 0;  // Scarce resource times time, any unit.
};

// How much of its value a job can still earn.
enum class completion_forecast { kInTime, kLate, kTooLate };

completion_forecast ForecastCompletion(const waiting_step& step,
                                       time_point now);

// True if `left` is placed before `right`: more urgent queues first, then jobs
// that can still meet their objective, then those that need the least.
bool IsPlacedBefore(const waiting_step& left, const waiting_step& right,
                    time_point now);

}  // namespace apricotwheel

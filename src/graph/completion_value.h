#pragma once

#include <cstddef>

#include "kernel/clock.h"

namespace apricotwheel {

// What is left of the bounds of a job's completion; negative if passed.
struct completion_bounds {
  duration objective{};  // Until then the result counts fully.
  duration limit{};      // Until then it counts a little, later nothing.
};

// The work that is left of a job.
struct remaining_work {
  duration first{};  // Usual run time of the tasks that start now.
  duration rest{};   // After them.
  // Standard deviation of the logarithm of run times.
  double deviation = 0.25;
  std::size_t tasks = 1;  // That start now. The job waits for the last.
};

// Returns what the result is expected to be worth, from 0 to 1.
double ExpectedValue(const completion_bounds& bounds,
                     const remaining_work& work);

}  // namespace apricotwheel

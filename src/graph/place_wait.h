#pragma once

#include <cstddef>

#include "graph/completion_value.h"
#include "kernel/clock.h"

namespace apricotwheel {

// Decides whether the tasks of a step start now at a place that slows them
// down, or wait for a better one until a bound.

struct place_choice {
  completion_bounds bounds;
  remaining_work work;  // Without a slowdown.
  double slowdown_now = 1;
  double slowdown_later = 1;
  duration free_in{};  // Expected time until the better place is free.
  // The tasks are slow because of the place, not the worker, so that they use
  // more capacity of the pool.
  bool costs_capacity = false;
};

// Returns how long the step waits at most; zero if it should start now.
duration MaxPlaceWait(const place_choice& choice);

// The wait of a step. A step waits once, for all its tasks, so that the sum of
// its waits is bounded.
struct place_wait {
  bool has_begun = false;
  bool is_over = false;
  double slowdown = 1;  // Of the place that was rejected.
  time_point ends_at{};
  std::size_t tasks = 0;  // That waited when it began.
};

}  // namespace apricotwheel

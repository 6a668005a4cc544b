#pragma once

#include <map>
#include <optional>
#include <string>

#include "graph/admission.h"
#include "kernel/clock.h"

namespace apricotwheel {

// The load of another partition, as its owner reported it.
struct reported_load {
  pool_load load;
  time_point received_at{};
};

struct balance_plan {
  std::string target;
  double pool_seconds = 0;  // Work to move.
};

// Decides whether a partition moves waiting work to another one of its pool.
// Partitions are of about equal size, so the waiting work in pool-seconds is
// the time for which a new job waits in each. A partition without workers moves
// all of its jobs. Reports that are too old do not count.
std::optional<balance_plan> PlanMoves(
    const pool_load& own, const std::map<std::string, reported_load>& others,
    time_point now);

}  // namespace apricotwheel

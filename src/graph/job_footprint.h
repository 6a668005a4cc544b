#pragma once

#include <cstddef>

#include "graph/job_graph.h"

namespace apricotwheel {

// What a scheduler keeps of a finished job: its id, state and organisation.
inline constexpr std::size_t kFinishedJobBytes = 1024;

// Returns about the memory that an open job takes at its owner: its graph, the
// state of all its steps and tasks, their runs, and their progress while that
// is stored.
std::size_t EstimateJobMemory(const job_submission& job);

}  // namespace apricotwheel

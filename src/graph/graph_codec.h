#pragma once

#include <string>
#include <string_view>

#include "graph/job_graph.h"
#include "kernel/error.h"

namespace apricotwheel {

// JSON encoding of jobs and their progress, for the key-value service and for
// messages between daemons. Decoders fail with `corrupt`.
std::string EncodeSubmission(const job_submission& job);
result<job_submission> DecodeSubmission(std::string_view json);

std::string EncodeProgress(const job_progress& progress);
// Fails unless the numbers of occurrences, steps and tasks match `graph`.
result<job_progress> DecodeProgress(std::string_view json,
                                    const job_graph& graph);
// Decodes only the state, for readers that do not have the graph.
result<job_state> DecodeProgressState(std::string_view json);
struct progress_summary {
  job_state state = job_state::kQueued;
  std::string organisation;  // Of the job; empty if it names none.
  bool is_guest = false;     // See `job_progress`.
};
result<progress_summary> DecodeProgressSummary(std::string_view json);

// Returns the progress of a job that has not started.
job_progress InitialProgress(const job_graph& graph);
// The same for a job of which only some tasks run here: the others count as
// done.
job_progress InitialProgress(const job_submission& job);

std::string_view ToString(job_state state);
result<job_state> ParseJobState(std::string_view name);

}  // namespace apricotwheel
